package policy

import "time"

const (
	maxDebtSeconds        = 5.0 // largest debt of estimatedBucket with conclusive readings, in seconds of quota
	minBucketRequestShare = 0.6 // least capacity of gatewayBucket, as a share of the largest request
	minSplitUnits         = 0.5 // least burst per gateway that is not sparsely spread: half the smallest request
)

// tokenBucket holds the units that may still be used. Its level may be negative.
type tokenBucket struct{ tokens float64 }

// refill adds units up to the bucket's capacity. Negative units drain it.
func (b *tokenBucket) refill(units, capacity float64) { b.tokens = min(capacity, b.tokens+units) }

// overQuota reports whether the quotas reject a request. While meteredBucket is empty, requests are rejected
// at random with the reject probability. The meter lags behind a surge, and gives no readings where answers
// are rare, so the buckets that the units admitted here drain are checked first.
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
		return true // half of the units, since both they and this gateway's share are estimates
	}
	return c.hasReading && c.meteredBucket.tokens < r.Units && e.rng.Float64() < c.rejectProbability
}

// readingConclusive reports whether a single reading can show that a customer is over quota. It can if the
// quota of a metering period holds the largest request.
func (e *Engine) readingConclusive(c *customer) bool {
	return c.plan.QuotaRate*e.cfg.MeterPeriod.Seconds() >= max(1, e.cfg.MaxRequestUnits)
}

// quotaByMeterAlone reports whether the meter alone decides on the quota of a customer with a conclusive
// reading. gatewayBucket is then ignored, because a sparsely spread customer empties it with each request. It
// is not ignored for plans whose usage over quota costs at least what it would earn within the quota.
func (e *Engine) quotaByMeterAlone(c *customer) bool {
	return c.sparselySpread() && c.plan.OverQuotaCost < 1 && e.readingConclusive(c)
}

// sparselySpread reports whether an even split of the burst over the customer's gateways holds less than half
// of the smallest request. Each gateway then receives only one or two requests of the customer a minute.
func (c *customer) sparselySpread() bool { return c.plan.Burst/c.setSize < minSplitUnits }

// takeTokens takes the units of an admitted request from the customer's quota buckets, and reserves them in
// its ceiling.
func (e *Engine) takeTokens(r *request) {
	c := r.customer
	r.reserveCeiling()
	c.lastEstimatedUnits = r.Units / e.usageShare(c)
	c.gatewayBucket.tokens -= r.Units
	c.estimatedBucket.tokens -= c.lastEstimatedUnits / e.overcommitFactor(c)
	// The debt is bounded so that a request is forwarded now and then and brings a reading.
	if e.readingConclusive(c) {
		c.estimatedBucket.tokens = max(c.estimatedBucket.tokens, -maxDebtSeconds*c.plan.QuotaRate)
	}
}

// refillBuckets refills a customer's buckets for the elapsed seconds and drains meteredBucket by the usage.
func (e *Engine) refillBuckets(c *customer, elapsed float64) {
	p := c.plan
	usage := c.meteredRate
	if lag := e.meterLagSeconds(); lag > 0 && e.quotaByMeterAlone(c) {
		usage = max(usage, c.recentUnits/lag) // units forwarded here are known before the meter shows them
	}
	c.meteredBucket.tokens = min(p.Burst, max(0, c.meteredBucket.tokens+(p.QuotaRate-usage)*elapsed))
	c.gatewayBucket.refill(p.QuotaRate*e.usageShare(c)*elapsed, e.gatewayBurst(c))
	estimatedRate := p.QuotaRate * e.overcommitFactor(c)
	if c.hasReading && !e.overloaded && c.lastEstimatedUnits > p.Burst {
		// A single request takes more than the burst: quota that is unused by the readings is granted in addition.
		unused := max(0, p.QuotaRate-c.avgUsage)
		estimatedRate += unused / e.usageShare(c) * (1 - p.Burst/c.lastEstimatedUnits) * max(0, 1-p.OverQuotaCost)
	}
	c.estimatedBucket.refill(estimatedRate*elapsed, p.Burst)
	c.ceilingBucket.refill(c.ceilingShareRate()*elapsed, c.ceilingCapacity())
}

// gatewayBurst is the capacity of gatewayBucket: this gateway's share of the burst, but at least one unit and
// at least minBucketRequestShare of the largest request.
func (e *Engine) gatewayBurst(c *customer) float64 {
	return max(c.plan.Burst*e.usageShare(c), minBucketRequestShare*e.cfg.MaxRequestUnits, 1)
}
