package eventloop

import (
	"context"
	"time"

	"springfield/internal/discovery"
	"springfield/internal/upstream"
	"springfield/policy"
)

// endpointUpdate is a queued update of the endpoint list.
type endpointUpdate struct {
	discovery.Update
	applied chan struct{} // closed once the update has been applied
}

// PublishEndpoints queues an update of the endpoint list, which takes priority over all other events. The returned
// channel is closed once the update has been applied. The error is ctx.Err() or ErrStopped.
func (l *Loop) PublishEndpoints(ctx context.Context, update discovery.Update) (<-chan struct{}, error) {
	applied := make(chan struct{})
	select {
	case l.updates <- endpointUpdate{Update: update, applied: applied}:
		return applied, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.stopped:
		return nil, ErrStopped
	}
}

// addressHolder is the endpoint with the latest start of those that were listed with an address.
type addressHolder struct {
	id        policy.EndpointID
	startedAt time.Duration
}

// updateEndpoints applies an update to the connection pool before it informs the engine: from then on no attempt sends
// its first byte to an endpoint that is not ready.
func (l *Loop) updateEndpoints(update endpointUpdate) {
	l.now = l.clock.Now()
	list := make([]policy.Endpoint, 0, len(update.Endpoints))
	for _, listed := range update.Endpoints {
		list = l.updateEndpoint(list, listed)
	}
	if update.Kind != policy.UpdateDelta {
		l.closeUnlisted(list)
	}
	l.engine.UpdateEndpoints(l.now, update.Kind, list)
	close(update.applied)
}

// updateEndpoint applies one entry of an update and appends the entries that the engine needs for it.
func (l *Loop) updateEndpoint(list []policy.Endpoint, listed discovery.Endpoint) []policy.Endpoint {
	endpoint := l.endpoints[listed.ID]
	if endpoint != nil && (endpoint.Address() != listed.Address || endpoint.StartedAt() != listed.StartedAt) {
		l.closeReplaced(listed.ID, endpoint)
	}
	if displaced, ok := l.claimAddress(&listed); ok {
		list = append(list, policy.Endpoint{ID: displaced, State: policy.StateRemoved})
	}
	if listed.State == policy.StateRemoved {
		l.closeRemoved(listed.ID)
	} else {
		l.setEndpoint(listed)
	}
	return append(list, listed.Endpoint)
}

// claimAddress compares a listed endpoint with the one that holds its address, because only one process listens there.
// If the listed one started later, it displaces the other one, which is closed. If it started earlier, it is gone, and
// its entry becomes a removal. If both started at the same time, as far as is known, both stay.
func (l *Loop) claimAddress(listed *discovery.Endpoint) (displaced policy.EndpointID, ok bool) {
	if listed.State == policy.StateRemoved {
		return 0, false
	}
	holder, isHeld := l.holders[listed.Address]
	if isHeld && holder.id != listed.ID {
		switch {
		case listed.StartedAt < holder.startedAt:
			listed.State = policy.StateRemoved
			return 0, false
		case listed.StartedAt == holder.startedAt:
			return 0, false
		}
		l.closeReplaced(holder.id, l.endpoints[holder.id])
		displaced, ok = holder.id, true
	}
	l.holders[listed.Address] = addressHolder{id: listed.ID, startedAt: listed.StartedAt}
	return displaced, ok
}

// setEndpoint adds a listed endpoint unless it is known, and sets its state.
func (l *Loop) setEndpoint(listed discovery.Endpoint) {
	endpoint := l.endpoints[listed.ID]
	if endpoint == nil {
		endpoint = l.pool.AddEndpoint(listed.Address, listed.StartedAt)
		l.endpoints[listed.ID] = endpoint
	}
	endpoint.SetReady(listed.State == policy.StateReady)
}

// closeReplaced closes an endpoint whose place another process or machine has taken, so that attempts in flight there
// get no response.
func (l *Loop) closeReplaced(id policy.EndpointID, endpoint *upstream.Endpoint) {
	endpoint.CloseReplaced()
	l.forgetEndpoint(id, endpoint)
}

// closeRemoved closes an endpoint that has left the list, if it is known. Attempts in flight there continue.
func (l *Loop) closeRemoved(id policy.EndpointID) {
	if endpoint := l.endpoints[id]; endpoint != nil {
		endpoint.Close()
		l.forgetEndpoint(id, endpoint)
	}
}

// forgetEndpoint removes a closed endpoint and frees its address.
func (l *Loop) forgetEndpoint(id policy.EndpointID, endpoint *upstream.Endpoint) {
	delete(l.endpoints, id)
	if l.holders[endpoint.Address()].id == id {
		delete(l.holders, endpoint.Address())
	}
}

// closeUnlisted closes the endpoints that a complete list leaves out.
func (l *Loop) closeUnlisted(list []policy.Endpoint) {
	listed := make(map[policy.EndpointID]bool, len(list))
	for _, endpoint := range list {
		listed[endpoint.ID] = true
	}
	for id := range l.endpoints {
		if !listed[id] {
			l.closeRemoved(id)
		}
	}
}
