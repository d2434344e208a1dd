package loopback

import (
	"springfield/internal/emulator"
	"springfield/policy"
)

// markNotified records that the gateway counts as notified of entries of the endpoint list.
func (g *gateway) markNotified(list []policy.Endpoint) {
	for _, entry := range list {
		g.known[entry.ID] = entry
		if g.state == gatewayDown {
			continue
		}
		g.world.observe(emulator.EndpointNotified{
			Gateway:  g.index,
			Endpoint: entry.ID,
			State:    entry.State,
			Started:  entry.StartedAt,
		})
	}
}

// observeAvailable observes that the gateway may use the endpoints of a list that are ready, although it does not count
// as notified of their starts.
func (g *gateway) observeAvailable(list []policy.Endpoint) {
	if g.state == gatewayDown {
		return
	}
	for _, entry := range list {
		if entry.State == policy.StateReady {
			g.world.observe(emulator.EndpointNotified{
				Gateway:  g.index,
				Endpoint: entry.ID,
				State:    entry.State,
				Started:  entry.StartedAt,
			})
		}
	}
}

// knowsStart reports whether the gateway counts as notified of the latest start of an endpoint.
func (g *gateway) knowsStart(e *endpoint) bool {
	entry, known := g.known[e.id]
	return known && entry.State != policy.StateRemoved && entry.StartedAt == e.server.StartedAt()
}
