package virtual

import (
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// Durations of a gateway's watch of discovery, which model those of package internal/discovery.
const (
	// watchTimeout is how long a watch may be silent before the gateway closes it.
	watchTimeout = 3500 * time.Millisecond

	// maxReopenPause is the upper bound of the random pause before a watch is opened again.
	maxReopenPause = time.Second
)

// openWatch opens a watch of discovery and cancels the previous one.
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

// handleUpdate handles an update from discovery. After a failed call, the gateway calls again after a pause.
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

// updateEndpoints applies an update of the endpoint list to the gateway's connections, and then passes it to the
// decider.
func (g *gateway) updateEndpoints(kind policy.UpdateKind, list []policy.Endpoint) {
	if kind != policy.UpdateDelta {
		g.removeAbsent(list)
	}
	for i := range list {
		g.applyEntry(&list[i])
	}
	g.decider.UpdateEndpoints(g.world.scheduler.Now(), kind, list)
}

// applyEntry applies a list entry to the gateway's view of the endpoint. An endpoint that appears for the first time
// counts as changed only if it is not ready or has a start time, because the gateway assumes that unknown
// endpoints have been ready for a long time.
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

// removeAbsent marks the known endpoints that are missing in a complete list as removed.
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

// countAsNotified records that the gateway counts as notified of changes that are overdue and have not arrived.
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

// view returns the gateway's view of an endpoint, which is empty for an unknown endpoint.
func (g *gateway) view(id policy.EndpointID) *endpointView {
	if int(id) > len(g.views) {
		views := make([]endpointView, max(int(id), len(g.world.endpoints)))
		copy(views, g.views)
		g.views = views
	}
	return &g.views[id-1]
}

// cachedList returns the endpoint list as the gateway knows it, without removed endpoints.
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
