package invariant

import (
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// minCeilingSweep is the number of customers from which on full ceilings are looked for to be forgotten.
const minCeilingSweep = 1024

// roundingTolerance is by how many units a store may seem to be passed for the rounding of floating-point numbers.
const roundingTolerance = 1e-6

// ceilings holds what is left under each customer's ceiling: a store of units that starts full, fills at the ceiling's
// rate and is one for all gateways.
type ceilings struct {
	plans  []emulator.Plan
	stores map[policy.CustomerID]*ceilingStore
	sweep  int // number of stores at which the full ones are forgotten
}

type ceilingStore struct {
	plan      int
	units     float64
	updatedAt time.Duration
}

func newCeilings(plans []emulator.Plan) *ceilings {
	return &ceilings{
		plans:  plans,
		stores: make(map[policy.CustomerID]*ceilingStore),
		sweep:  minCeilingSweep,
	}
}

// take takes units from a customer's store. It returns what is left and whether the ceiling is kept.
func (c *ceilings) take(now time.Duration, customer policy.CustomerID, plan int, units float64) (float64, bool) {
	if plan < 0 || plan >= len(c.plans) || c.plans[plan].CeilingRate <= 0 {
		return 0, true
	}
	store := c.stores[customer]
	if store == nil {
		c.forgetFull(now)
		store = &ceilingStore{plan: plan, units: c.plans[plan].CeilingBurst, updatedAt: now}
		c.stores[customer] = store
	}
	store.fill(now, &c.plans[plan])
	store.units -= units
	return store.units, store.units >= -c.plans[plan].CeilingSlack-roundingTolerance
}

// fill adds what has come in since the last update.
func (s *ceilingStore) fill(now time.Duration, plan *emulator.Plan) {
	s.units = min(plan.CeilingBurst, s.units+plan.CeilingRate*(now-s.updatedAt).Seconds())
	s.updatedAt = now
}

// forgetFull forgets the stores that are full again, once there are twice as many as were left the last time.
func (c *ceilings) forgetFull(now time.Duration) {
	if len(c.stores) < c.sweep {
		return
	}
	for customer, store := range c.stores {
		plan := &c.plans[store.plan]
		store.fill(now, plan)
		if store.units >= plan.CeilingBurst {
			delete(c.stores, customer)
		}
	}
	c.sweep = max(minCeilingSweep, 2*len(c.stores))
}
