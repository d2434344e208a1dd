package invariant

import (
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// gateway is the state of a gateway as far as the checks need it.
type gateway struct {
	down bool // its process has ended and no new one has started
	// killSequence is the sequence number of the observation that reported its last kill; 0 if there was none.
	killSequence uint64
	// unavailable holds the time since which the gateway counts as notified that an endpoint drains or was removed.
	unavailable map[policy.EndpointID]time.Duration
}

// recordNotification records that the gateway was notified of an endpoint's state. A repeated notification of a drain
// or a removal does not extend the grace period.
func (g *gateway) recordNotification(at time.Duration, endpoint policy.EndpointID, state policy.EndpointState) {
	if state == policy.StateReady {
		delete(g.unavailable, endpoint)
		return
	}
	if _, known := g.unavailable[endpoint]; known {
		return
	}
	if g.unavailable == nil {
		g.unavailable = make(map[policy.EndpointID]time.Duration)
	}
	g.unavailable[endpoint] = at
}

// location is the zone and the cell of an endpoint.
type location struct{ zone, cell int }

// SetEndpointLocation sets the zone and the cell of an endpoint. The checker needs them to decide whether a retry stays
// within the scope of an idempotency key. emulator.EndpointStarted sets them, and ObserveLists sets them from the
// endpoint lists.
func (c *Checker) SetEndpointLocation(endpoint policy.EndpointID, zone, cell int) {
	current := location{zone: zone, cell: cell}
	if previous, known := c.locations[endpoint]; !known || previous != current {
		c.locations[endpoint] = current
	}
}

// ObserveLists wraps newDecider such that the checker takes the zones and cells of the endpoints from the lists that
// the deciders receive.
func (c *Checker) ObserveLists(newDecider emulator.NewDecider) emulator.NewDecider {
	if !c.hasScopedKeys() {
		return newDecider
	}
	return func(cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
		return &listObserver{Decider: newDecider(cfg, actions, groundTruth), checker: c}
	}
}

// hasScopedKeys reports whether any class has idempotency keys that only some endpoints share.
func (c *Checker) hasScopedKeys() bool {
	for _, class := range c.classes {
		if class.idempotency == policy.IdempotentByKey && class.scope != policy.KeyScopeFleet {
			return true
		}
	}
	return false
}

// listObserver is a decider that passes the locations in the endpoint lists it receives to a checker.
type listObserver struct {
	emulator.Decider
	checker *Checker
}

// UpdateEndpoints implements emulator.Decider.
func (o *listObserver) UpdateEndpoints(now time.Duration, kind policy.UpdateKind, list []policy.Endpoint) {
	for _, endpoint := range list {
		o.checker.SetEndpointLocation(endpoint.ID, endpoint.Zone, endpoint.Cell)
	}
	o.Decider.UpdateEndpoints(now, kind, list)
}

// sameScope reports whether two endpoints share the idempotency keys of a class. Known is false if the location of an
// endpoint is missing.
func (c *Checker) sameScope(scope policy.KeyScope, first, second policy.EndpointID) (same, known bool) {
	if scope == policy.KeyScopeFleet || first == second {
		return true, true
	}
	firstLocation, firstKnown := c.locations[first]
	secondLocation, secondKnown := c.locations[second]
	if !firstKnown || !secondKnown {
		return false, false
	}
	if scope == policy.KeyScopeZone {
		return firstLocation.zone == secondLocation.zone, true
	}
	return firstLocation.cell == secondLocation.cell, true
}
