package discovery

import (
	"errors"
	"slices"
	"time"

	"springfield/policy"
)

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

// decoder converts lists from their JSON form into the policy's form.
type decoder struct {
	zones  []string
	ids    endpointIDs
	starts startTimes
}

func newDecoder(zones []string) decoder {
	return decoder{zones: zones, ids: newEndpointIDs(), starts: newStartTimes()}
}

// update converts a list that has arrived at the given time. Invalid entries are skipped. The numbers of endpoints that
// are no longer listed are released.
func (d *decoder) update(now moment, kind policy.UpdateKind, list EndpointList) Update {
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
		d.starts.unlist(now.monotonic, name)
	}
	d.starts.forget(now.monotonic)
	return update
}

// startedAt returns when an endpoint has started. Of one that is removed that is of no account.
func (d *decoder) startedAt(now moment, instance *Instance) time.Duration {
	if instance.State == stateRemoved {
		return 0
	}
	return d.starts.record(now, instance.ID, instance.StartedMS)
}
