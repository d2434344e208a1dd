package virtual

import (
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// How a gateway watches discovery, as internal/discovery does.
const (
	// watchTimeout is after how long without a line a gateway gives a watch up.
	watchTimeout = 3500 * time.Millisecond

	// maxReopenPause bounds the random pause before a watch is opened again.
	maxReopenPause = time.Second
)

// openWatch opens the gateway's watch in the place of the present one.
func (g *gateway) openWatch() {
	if g.cancelWatch != nil {
		g.cancelWatch()
	}
	g.cancelWatch = g.world.discovery.Watch(g.number, g.handleUpdate)
}

// reopenWatch opens a new watch after a delay and a random pause.
func (g *gateway) reopenWatch(delay time.Duration) {
	w, incarnation := g.world, g.incarnation
	pause := time.Duration(w.gatewayRandom.Float64() * float64(maxReopenPause))
	w.scheduler.After(delay+pause, func() {
		if g.running && g.incarnation == incarnation {
			g.openWatch()
		}
	})
}

// handleUpdate takes what discovery brings. A call that has failed is repeated after a pause.
func (g *gateway) handleUpdate(kind policy.UpdateKind, _ uint64, list []policy.Endpoint) {
	if !g.running {
		return
	}
	if kind == policy.UpdateFailed {
		g.reopenWatch(0)
		return
	}
	g.updateEndpoints(kind, list)
}

// updateEndpoints applies an update of the endpoint list to the connections, and then tells the decider.
func (g *gateway) updateEndpoints(kind policy.UpdateKind, list []policy.Endpoint) {
	if kind != policy.UpdateDelta {
		g.removeAbsent(list)
	}
	for i := range list {
		g.applyEntry(&list[i])
	}
	g.decider.UpdateEndpoints(g.world.scheduler.Now(), kind, list)
}

// applyEntry takes an entry over. Without a change to what an unknown endpoint is taken for, ready for long, there is
// nothing to be notified of.
func (g *gateway) applyEntry(entry *policy.Endpoint) {
	view := g.view(entry.ID)
	changed := view.state != entry.State || view.startedAt != entry.StartedAt
	if !view.known {
		changed = entry.State != policy.StateReady || entry.StartedAt != 0
	}
	replaced := view.known && view.startedAt != entry.StartedAt
	view.known, view.state, view.startedAt = true, entry.State, entry.StartedAt
	if entry.State != policy.StateReady || replaced {
		view.closeIdle()
	}
	if changed {
		g.observeNotified(view, entry)
	}
}

// removeAbsent takes the endpoints that a complete list does not name for removed.
func (g *gateway) removeAbsent(list []policy.Endpoint) {
	listed := make([]bool, len(g.world.endpoints)+1)
	for i := range list {
		listed[list[i].ID] = true
	}
	for i := range g.views {
		id := policy.EndpointID(i + 1)
		if view := &g.views[i]; view.known && !listed[id] && view.state != policy.StateRemoved {
			g.applyEntry(&policy.Endpoint{ID: id, State: policy.StateRemoved, StartedAt: view.startedAt})
		}
	}
}

// countAsNotified handles that changes count as notified although they have not arrived.
func (g *gateway) countAsNotified(list []policy.Endpoint) {
	if !g.running {
		return
	}
	for i := range list {
		g.observeNotified(g.view(list[i].ID), &list[i])
	}
}

func (g *gateway) observeNotified(view *endpointView, entry *policy.Endpoint) {
	view.notifiedStart = max(view.notifiedStart, entry.StartedAt)
	g.world.observe(emulator.EndpointNotified{
		Gateway:  g.number,
		Endpoint: entry.ID,
		State:    entry.State,
		Started:  entry.StartedAt,
	})
}

// view returns what the gateway knows of an endpoint.
func (g *gateway) view(id policy.EndpointID) *endpointView {
	if int(id) > len(g.views) {
		views := make([]endpointView, max(int(id), len(g.world.endpoints)))
		copy(views, g.views)
		g.views = views
	}
	return &g.views[id-1]
}

// cachedList returns the list as the gateway knows it.
func (g *gateway) cachedList() []policy.Endpoint {
	var list []policy.Endpoint
	for i := range g.views {
		view := &g.views[i]
		if !view.known || view.state == policy.StateRemoved {
			continue
		}
		e := g.world.endpoints[i]
		list = append(list, policy.Endpoint{
			ID: e.id, Weight: 1, State: view.state, Zone: e.zone, Cell: e.cell, StartedAt: view.startedAt,
		})
	}
	return list
}
