package invariant

import (
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// gateway is what the checker knows of a gateway.
type gateway struct {
	down bool // its process has ended, and no other has started
	// killed is the position of its last killing among the observations.
	killed uint64
	// closing holds since when the gateway counts as notified that an endpoint drains or has been removed.
	closing map[policy.EndpointID]time.Duration
}

// notify records an endpoint's state. A further notice of a drain or a removal does not extend the grace period.
func (g *gateway) notify(at time.Duration, endpoint policy.EndpointID, state policy.EndpointState) {
	if state == policy.StateReady {
		delete(g.closing, endpoint)
		return
	}
	if _, known := g.closing[endpoint]; known {
		return
	}
	if g.closing == nil {
		g.closing = make(map[policy.EndpointID]time.Duration)
	}
	g.closing[endpoint] = at
}

// location is where an endpoint is.
type location struct{ zone, cell int }

// LocateEndpoint tells the zone and the cell of an endpoint. The observations do not hold them, and without them the
// checker cannot tell whether a retry stays within the scope of an idempotency key. See ObserveLists.
func (c *Checker) LocateEndpoint(endpoint policy.EndpointID, zone, cell int) {
	place := location{zone: zone, cell: cell}
	if known, ok := c.locations[endpoint]; !ok || known != place {
		c.locations[endpoint] = place
	}
}

// ObserveLists returns a function that makes the same deciders and lets the checker learn the zones and cells of the
// endpoints from the lists that the deciders are given.
func (c *Checker) ObserveLists(newDecider emulator.NewDecider) emulator.NewDecider {
	if !c.scoped() {
		return newDecider
	}
	return func(cfg policy.Config, actions policy.Actions, truth emulator.Truth) emulator.Decider {
		return &listObserver{Decider: newDecider(cfg, actions, truth), checker: c}
	}
}

// scoped tells whether a class has idempotency keys that not all endpoints share.
func (c *Checker) scoped() bool {
	for _, class := range c.classes {
		if class.idempotency == policy.IdempotentByKey && class.scope != policy.KeyScopeFleet {
			return true
		}
	}
	return false
}

// listObserver is a decider that tells a checker of the endpoint lists which it is given.
type listObserver struct {
	emulator.Decider
	checker *Checker
}

// UpdateEndpoints implements emulator.Decider.
func (o *listObserver) UpdateEndpoints(now time.Duration, kind policy.UpdateKind, list []policy.Endpoint) {
	for _, endpoint := range list {
		o.checker.LocateEndpoint(endpoint.ID, endpoint.Zone, endpoint.Cell)
	}
	o.Decider.UpdateEndpoints(now, kind, list)
}

// sameScope tells whether two endpoints share the idempotency keys of a class, and whether that is known.
func (c *Checker) sameScope(scope policy.KeyScope, first, second policy.EndpointID) (same, known bool) {
	if scope == policy.KeyScopeFleet || first == second {
		return true, true
	}
	firstPlace, firstKnown := c.locations[first]
	secondPlace, secondKnown := c.locations[second]
	if !firstKnown || !secondKnown {
		return false, false
	}
	if scope == policy.KeyScopeZone {
		return firstPlace.zone == secondPlace.zone, true
	}
	return firstPlace.cell == secondPlace.cell, true
}
