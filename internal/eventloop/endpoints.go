package eventloop

import (
	"context"

	"springfield/internal/discovery"
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

// updateEndpoints applies an update to the connection pool before it informs the engine: from then on no attempt sends
// its first byte to an endpoint that is not ready.
func (l *Loop) updateEndpoints(update endpointUpdate) {
	l.now = l.clock.Now()
	list := make([]policy.Endpoint, len(update.Endpoints))
	for i, endpoint := range update.Endpoints {
		list[i] = endpoint.Endpoint
		l.updateEndpoint(endpoint)
	}
	if update.Kind != policy.UpdateDelta {
		l.closeUnlisted(list)
	}
	l.engine.UpdateEndpoints(l.now, update.Kind, list)
	close(update.applied)
}

func (l *Loop) updateEndpoint(listed discovery.Endpoint) {
	endpoint := l.endpoints[listed.ID]
	if endpoint != nil && (endpoint.Address() != listed.Address || endpoint.StartedAt() != listed.StartedAt) {
		// Another process or machine has replaced this endpoint, so attempts in flight there get no response.
		endpoint.CloseReplaced()
		endpoint = nil
	}
	if listed.State == policy.StateRemoved {
		if endpoint != nil {
			endpoint.Close()
		}
		delete(l.endpoints, listed.ID)
		return
	}
	if endpoint == nil {
		endpoint = l.pool.AddEndpoint(listed.Address, listed.StartedAt)
		l.endpoints[listed.ID] = endpoint
	}
	endpoint.SetReady(listed.State == policy.StateReady)
}

// closeUnlisted closes the endpoints that a complete list leaves out.
func (l *Loop) closeUnlisted(list []policy.Endpoint) {
	listed := make(map[policy.EndpointID]bool, len(list))
	for _, endpoint := range list {
		listed[endpoint.ID] = true
	}
	for id, endpoint := range l.endpoints {
		if !listed[id] {
			endpoint.Close()
			delete(l.endpoints, id)
		}
	}
}
