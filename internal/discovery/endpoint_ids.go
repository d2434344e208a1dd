package discovery

import (
	"hash/fnv"

	"springfield/policy"
)

// endpointIDs assigns the policy's numbers to the endpoints' names.
type endpointIDs struct {
	byName map[string]policy.EndpointID
	names  map[policy.EndpointID]string
}

func newEndpointIDs() endpointIDs {
	return endpointIDs{byName: map[string]policy.EndpointID{}, names: map[policy.EndpointID]string{}}
}

// assign returns the number of a name. It is a hash of the name, or the next number that is free: the policy ranks
// endpoints by number, so the numbers should be the same in each run.
func (e *endpointIDs) assign(name string) policy.EndpointID {
	if id, ok := e.byName[name]; ok {
		return id
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	id := policy.EndpointID(hash.Sum32())
	for e.names[id] != "" {
		id++
	}
	e.byName[name], e.names[id] = id, name
	return id
}

// releaseUnlisted forgets the endpoints that the update removes and, unless it is a delta, those that it does not list.
// Otherwise the maps would grow as long as endpoints with new names appear. It returns the names.
func (e *endpointIDs) releaseUnlisted(update Update) (names []string) {
	unlisted := map[policy.EndpointID]bool{}
	if update.Kind != policy.UpdateDelta {
		for id := range e.names {
			unlisted[id] = true
		}
	}
	for i := range update.Endpoints {
		endpoint := &update.Endpoints[i]
		unlisted[endpoint.ID] = endpoint.State == policy.StateRemoved
	}
	for id, release := range unlisted {
		if release {
			names = append(names, e.names[id])
			delete(e.byName, e.names[id])
			delete(e.names, id)
		}
	}
	return names
}
