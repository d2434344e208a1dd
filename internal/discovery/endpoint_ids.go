package discovery

import (
	"hash/fnv"

	"springfield/policy"
)

// endpointIDs assigns the policy's numeric IDs to endpoint names.
type endpointIDs struct {
	idByName map[string]policy.EndpointID
	names    map[policy.EndpointID]string
}

func newEndpointIDs() endpointIDs {
	return endpointIDs{idByName: map[string]policy.EndpointID{}, names: map[policy.EndpointID]string{}}
}

// assign returns the ID of a name. A new ID is the hash of the name or, if another name has it, the next free number.
// The policy ranks endpoints by ID, so an endpoint should have the same ID in every run.
func (e *endpointIDs) assign(name string) policy.EndpointID {
	if id, ok := e.idByName[name]; ok {
		return id
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	id := policy.EndpointID(hash.Sum32())
	for e.names[id] != "" {
		id++
	}
	e.idByName[name], e.names[id] = id, name
	return id
}

// releaseUnlisted releases the IDs of the endpoints that the update removes and, unless it is a delta, of those that it
// does not list. Without this the maps would grow for as long as endpoints with new names appear. It returns the names
// of the released endpoints.
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
			delete(e.idByName, e.names[id])
			delete(e.names, id)
		}
	}
	return names
}
