package discovery

import (
	"errors"
	"slices"
	"time"

	"springfield/policy"
)

// maxStartedMS is the latest start time that is accepted, far in the future. It keeps the nanoseconds of a
// time.Duration from overflowing.
const maxStartedMS = 1 << 42

var (
	errNoServers   = errors.New("the list has no field \"servers\"")
	errNotComplete = errors.New("the list is not complete")
)

// EndpointList is a list of endpoints in the JSON form of discovery and of the configuration: the complete list, or the
// entries that have changed.
type EndpointList struct {
	Version uint64
	Full    bool // the list is complete
	Servers []Instance
}

// Instance is one entry of an EndpointList.
type Instance struct {
	ID, Addr, Zone, State string
	Cell                  int
	Weight                float64
	StartedMS             int64 `json:"started_ms"` // Unix time in milliseconds; 0: long ago
}

// The states of an instance that the client distinguishes. Any other state, such as "draining", means that the
// endpoint completes its requests and gets no new ones.
const (
	stateUp      = "up"
	stateRemoved = "removed"
)

// validate rejects a list without servers, as opposed to an empty one: taken for the complete list, it would leave the
// gateway without endpoints.
func (l *EndpointList) validate() error {
	if l.Servers == nil {
		return errNoServers
	}
	return nil
}

// valid reports whether an entry names the endpoint and, unless it has been removed, its address.
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

func (i *Instance) startedAt() time.Duration {
	return time.Duration(max(0, min(i.StartedMS, maxStartedMS))) * time.Millisecond
}

// decoder converts lists from their JSON form into the policy's form.
type decoder struct {
	zones []string
	ids   endpointIDs
}

func newDecoder(zones []string) decoder { return decoder{zones: zones, ids: newEndpointIDs()} }

// update converts a list. Invalid entries are skipped. The numbers of endpoints that are no longer listed
// are released.
func (d *decoder) update(kind policy.UpdateKind, list EndpointList) Update {
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
				StartedAt: instance.startedAt(),
			},
			Address: instance.Addr,
		})
	}
	d.ids.releaseUnlisted(update)
	return update
}
