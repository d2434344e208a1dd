package policy

import "time"

const (
	maxDebtSeconds        = 5.0 // of its quota that estimatedBucket may lack while readings are conclusive
	minBucketRequestShare = 0.6 // least size of gatewayBucket, over the largest request: a usual request
	minSplitUnits         = 0.5 // half of the least request
)

// tokenBucket holds units that may still be used; they may go below zero.
type tokenBucket struct{ tokens float64 }

// refill adds units up to the bucket's capacity; negative units drain it.
func (b *tokenBucket) refill(units, capacity float64) { b.tokens = min(capacity, b.tokens+units) }

// overQuota is the design's quota rule: while the bucket drained by the meter is empty, a request is rejected
// by chance. The meter trails a surge and is silent where answers are rare: own units decide before it.
func (e *Engine) overQuota(now time.Duration, r *request) bool {
	c := r.customer
	if c.plan.MaxConcurrent > 0 && float64(c.openRequests) >= max(1, c.plan.MaxConcurrent/c.setSize) {
		return true
	}
	if c.plan.QuotaRate <= 0 {
		return false
	}
	if !c.hasReading || !e.readingConclusive(c) {
		if c.estimatedBucket.tokens < r.Units || e.rejectsUnknownUsage(now, r) {
			return true
		}
	} else if !e.quotaByMeterAlone(c) && c.gatewayBucket.tokens < r.Units/2 {
		return true // half of the units: they are a guess, and so is this gateway's share
	}
	return c.hasReading && c.meteredBucket.tokens < r.Units && e.rng.Float64() < c.rejectProbability
}

// readingConclusive reports whether one reading tells: the quota of a metering period holds a request.
func (e *Engine) readingConclusive(c *customer) bool {
	return c.plan.QuotaRate*e.cfg.MeterPeriod.Seconds() >= max(1, e.cfg.MaxRequestUnits)
}

// quotaByMeterAlone reports whether gatewayBucket tells nothing, since it is empty after each request. Plans
// whose overuse costs as much as it would earn are kept to it all the same.
func (e *Engine) quotaByMeterAlone(c *customer) bool {
	return c.sparselySpread() && c.plan.OverQuotaCost < 1 && e.readingConclusive(c)
}

// sparselySpread reports whether an even split of the burst over the customer's gateways holds less than half
// of the least request: each gateway meets the customer once or twice in a day.
func (c *customer) sparselySpread() bool { return c.plan.Burst/c.setSize < minSplitUnits }

// takeTokens charges an admitted request to the customer's buckets.
func (e *Engine) takeTokens(r *request) {
	c := r.customer
	c.ceilingBucket.tokens -= r.Units
	c.lastEstimatedUnits = r.Units / e.usageShare(c)
	c.gatewayBucket.tokens -= r.Units
	c.estimatedBucket.tokens -= c.lastEstimatedUnits / e.overcommitFactor(c)
	if e.readingConclusive(c) { // bounded, so that a request is forwarded now and then and brings a reading
		c.estimatedBucket.tokens = max(c.estimatedBucket.tokens, -maxDebtSeconds*c.plan.QuotaRate)
	}
}

// refillBuckets feeds a customer's buckets for the elapsed seconds and drains fleetBucket.
func (e *Engine) refillBuckets(c *customer, elapsed float64) {
	p := c.plan
	usage := c.meteredRate
	if lag := e.meterLagSeconds(); lag > 0 && e.quotaByMeterAlone(c) {
		usage = max(usage, c.recentUnits/lag) // what this gateway forwards shows before the meter
	}
	c.meteredBucket.tokens = min(p.Burst, max(0, c.meteredBucket.tokens+(p.QuotaRate-usage)*elapsed))
	c.gatewayBucket.refill(p.QuotaRate*e.usageShare(c)*elapsed, e.gatewayBurst(c))
	estimatedRate := p.QuotaRate * e.overcommitFactor(c)
	if c.hasReading && !e.overloaded && c.lastEstimatedUnits > p.Burst {
		// One request takes more than the burst: what readings say is unused may be used.
		unused := max(0, p.QuotaRate-c.avgUsage)
		estimatedRate += unused / e.usageShare(c) * (1 - p.Burst/c.lastEstimatedUnits) * max(0, 1-p.OverQuotaCost)
	}
	c.estimatedBucket.refill(estimatedRate*elapsed, p.Burst)
	c.ceilingBucket.refill(p.CeilingRate/c.setSize*elapsed, p.CeilingBurst/c.setSize)
}

// gatewayBurst is the capacity of gatewayBucket: this gateway's share of the burst, a usual request at least.
func (e *Engine) gatewayBurst(c *customer) float64 {
	return max(c.plan.Burst*e.usageShare(c), minBucketRequestShare*e.cfg.MaxRequestUnits, 1)
}
