package invariant

import (
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// minSweepThreshold is the minimum number of buckets at which full buckets are removed.
const minSweepThreshold = 1024

// roundingTolerance is the number of units by which a bucket may be overdrawn because of floating-point rounding.
const roundingTolerance = 1e-6

// ceilings holds a token bucket for each customer that has a ceiling. A bucket starts full, refills at the rate of the
// ceiling and counts the requests of all gateways together. Full buckets are removed, since a new bucket is full too.
type ceilings struct {
	plans          []emulator.Plan
	buckets        map[policy.CustomerID]*ceilingBucket
	sweepThreshold int // number of buckets at which the full ones are removed
}

// ceilingBucket is the token bucket of one customer's ceiling.
type ceilingBucket struct {
	plan      int
	units     float64 // what the bucket holds; below zero when overdrawn
	updatedAt time.Duration
}

func newCeilings(plans []emulator.Plan) *ceilings {
	return &ceilings{
		plans:          plans,
		buckets:        make(map[policy.CustomerID]*ceilingBucket),
		sweepThreshold: minSweepThreshold,
	}
}

// take removes units from a customer's bucket. It returns the units that are left and whether the ceiling is respected.
func (c *ceilings) take(now time.Duration, customer policy.CustomerID, plan int, units float64) (float64, bool) {
	if plan < 0 || plan >= len(c.plans) || c.plans[plan].CeilingRate <= 0 {
		return 0, true
	}
	bucket := c.buckets[customer]
	if bucket == nil {
		c.removeFullBuckets(now)
		bucket = &ceilingBucket{plan: plan, units: c.plans[plan].CeilingBurst, updatedAt: now}
		c.buckets[customer] = bucket
	}
	bucket.refill(now, &c.plans[plan])
	bucket.units -= units
	return bucket.units, bucket.units >= -c.plans[plan].CeilingSlack-roundingTolerance
}

// refill adds the units that have accrued since the last update.
func (b *ceilingBucket) refill(now time.Duration, plan *emulator.Plan) {
	b.units = min(plan.CeilingBurst, b.units+plan.CeilingRate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

// removeFullBuckets removes the buckets that are full again. It waits until there are twice as many buckets as its last
// run left, so that the average cost per new bucket is constant.
func (c *ceilings) removeFullBuckets(now time.Duration) {
	if len(c.buckets) < c.sweepThreshold {
		return
	}
	for customer, bucket := range c.buckets {
		plan := &c.plans[bucket.plan]
		bucket.refill(now, plan)
		if bucket.units >= plan.CeilingBurst {
			delete(c.buckets, customer)
		}
	}
	c.sweepThreshold = max(minSweepThreshold, 2*len(c.buckets))
}
