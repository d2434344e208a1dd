package discovery

import (
	"errors"
	"slices"
	"time"

	"springfield/policy"
)

var (
	errMissingServers = errors.New("endpoint list has no \"servers\" field")
	errNotFullList    = errors.New("endpoint list is not complete")
)

// EndpointList is a list of endpoints in the JSON form that discovery and the configuration use: the complete list, or
// only the entries that have changed.
type EndpointList struct {
	Version uint64
	Full    bool // the list is complete, not a change
	Servers []Instance
}

// Instance is one entry of an EndpointList.
type Instance struct {
	ID, Addr, Zone, State string
	Cell                  int
	Weight                float64
	StartedMS             int64 `json:"started_ms"` // Unix time in milliseconds; 0 means long ago
}

// Instance states that the client distinguishes. In any other state, such as "draining", an endpoint completes its
// requests and gets no new ones.
const (
	stateUp      = "up"
	stateRemoved = "removed"
)

// validate rejects a list in which the servers field is missing or null. An empty field is valid. A list without the
// field, if treated as complete, would leave the gateway without endpoints.
func (l *EndpointList) validate() error {
	if l.Servers == nil {
		return errMissingServers
	}
	return nil
}

// valid reports whether an entry has an ID and, unless the endpoint has been removed, an address.
func (i *Instance) valid() bool {
	return i.ID != "" && (i.Addr != "" || i.State == stateRemoved)
}

func (i *Instance) policyState() policy.EndpointState {
	switch i.State {
	case stateUp:
		return policy.StateReady
	case stateRemoved:
		return policy.StateRemoved
	default:
		return policy.StateDraining
	}
}

// decoder converts lists from their JSON form to the policy's form.
type decoder struct {
	zones  []string
	ids    endpointIDs
	starts startTimes
}

func newDecoder(zones []string) decoder {
	return decoder{zones: zones, ids: newEndpointIDs(), starts: newStartTimes()}
}

// update converts a list that was received at the given time. It skips invalid entries and releases the IDs of
// endpoints that are no longer listed.
func (d *decoder) update(now clockReading, kind policy.UpdateKind, list EndpointList) Update {
	update := Update{Kind: kind}
	for i := range list.Servers {
		instance := &list.Servers[i]
		if !instance.valid() {
			continue
		}
		update.Endpoints = append(update.Endpoints, Endpoint{
			Endpoint: policy.Endpoint{
				ID:        d.ids.assign(instance.ID),
				Weight:    instance.Weight,
				State:     instance.policyState(),
				Zone:      slices.Index(d.zones, instance.Zone),
				Cell:      instance.Cell,
				StartedAt: d.startedAt(now, instance),
			},
			Address: instance.Addr,
		})
	}
	for _, name := range d.ids.releaseUnlisted(update) {
		d.starts.markUnlisted(now.monotonic, name)
	}
	d.starts.expireUnlisted(now.monotonic)
	return update
}

// startedAt returns when an endpoint started, on the monotonic clock. The start of a removed endpoint is irrelevant and
// is returned as 0.
func (d *decoder) startedAt(now clockReading, instance *Instance) time.Duration {
	if instance.State == stateRemoved {
		return 0
	}
	return d.starts.record(now, instance.ID, instance.StartedMS)
}
