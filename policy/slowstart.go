package policy

import "time"

const (
	warmUpMargin           = 0.8  // share of the warm-up budget that is used
	minInitialCapacity     = 0.01 // share of its capacity at which an endpoint starts at least
	minRateAveragingPasses = 10   // least averaging time of forwardRate, in passes of the manager

	// safeDemandShare is the part of what is requested that endpoints surely bear once they are warm: all but
	// requests of over 2.5 times their capacity.
	safeDemandShare = 0.4

	// warmUpFreeRequests is how many calls in each window the whole fleet may make at an endpoint whatever it
	// bears. The operators leave three for chance where it bears nothing at all.
	warmUpFreeRequests = 2

	minWarmUpTokens = 1e-9 // units; lets a request pass that the bucket has just earned
)

// capacityShare is the least share of its capacity that an endpoint has by now.
func (e *Engine) capacityShare(now time.Duration, ep *endpoint) float64 {
	age := now - ep.StartedAt
	if ep.StartedAt <= 0 || e.cfg.WarmUpDuration <= 0 || age >= e.cfg.WarmUpDuration {
		return 1
	}
	initial := min(1, max(minInitialCapacity, e.cfg.WarmUpInitialCapacity))
	return initial + (1-initial)*max(0, age.Seconds())/e.cfg.WarmUpDuration.Seconds()
}

// warmUpShare is the part of a rate of the whole that an endpoint in slow start may get: its share among
// equal warm endpoints, times what it bears by now.
func (e *Engine) warmUpShare(now time.Duration, ep *endpoint) float64 {
	budget := warmUpMargin * max(1, e.cfg.WarmUpOverloadFactor) * e.capacityShare(now, ep)
	return budget * ep.Weight / e.readyWeight
}

// warmUpBudgetAllows keeps the rule on slow start by a bucket that a request may take below zero. It starts
// below zero at random, to spread the first requests of many gateways that learn of a start at once. A few
// calls of the whole fleet are free, which the rule leaves for chance.
func (e *Engine) warmUpBudgetAllows(now time.Duration, ep *endpoint, units float64) bool {
	if e.capacityShare(now, ep) >= 1 {
		return true
	}
	if ep.warmUpUpdatedAt <= ep.StartedAt {
		ep.warmUpUpdatedAt = max(ep.StartedAt, now)
		ep.warmUpBucket.tokens = -units * e.rng.Float64()
		if e.rng.Float64()*float64(e.cfg.GatewayCount) < warmUpFreeRequests {
			ep.warmUpBucket.tokens = minWarmUpTokens
		}
	}
	e.refillWarmUpBucket(now, ep, units)
	return ep.warmUpBucket.tokens > 0
}

// refillWarmUpBucket adds what the endpoint bears since the last time. The rate of the whole is what this
// gateway has forwarded, on an average that remembers the time before a fault. Where that tells nothing, as
// in a new gateway or after a quiet time, a safe part of what is requested here takes its place.
func (e *Engine) refillWarmUpBucket(now time.Duration, ep *endpoint, units float64) {
	share := e.warmUpShare(now, ep)
	window := e.cfg.WarmUpOverloadWindow.Seconds()
	elapsed := (now - ep.warmUpUpdatedAt).Seconds()
	freeRate := 0.0
	if window > 0 {
		freeRate = warmUpFreeRequests * units / window / float64(max(1, e.cfg.GatewayCount))
	}
	rate := max(share*e.forwardRate, freeRate)
	addedUnits := rate * elapsed
	if e.forwardRate <= safeDemandShare*e.demandRate {
		rate = max(share*safeDemandShare*e.demandRate, freeRate)
		addedUnits = max(share*safeDemandShare*(e.admittedUnits-ep.admittedAtRefill), freeRate*elapsed)
	}
	ep.warmUpBucket.refill(addedUnits, max(rate*window/2, minWarmUpTokens))
	ep.warmUpUpdatedAt, ep.admittedAtRefill = now, e.admittedUnits
}

// updateRates averages the units forwarded and admitted since the manager's last pass.
func (e *Engine) updateRates(now, elapsed time.Duration) {
	elapsedSeconds := elapsed.Seconds()
	if elapsedSeconds <= 0 {
		return
	}
	averaging := max(minRateAveragingPasses*bandwidthManagerPeriod,
		min(now-e.startedAt, 2*e.cfg.WarmUpDuration)).Seconds()
	e.forwardRate += min(1, elapsedSeconds/averaging) * (e.forwardedUnits/elapsedSeconds - e.forwardRate)
	e.forwardedUnits = 0
	demandAveraging := (minRateAveragingPasses * bandwidthManagerPeriod).Seconds()
	e.demandRate += min(1, elapsedSeconds/demandAveraging) *
		((e.admittedUnits-e.admittedAtLastPass)/elapsedSeconds - e.demandRate)
	e.admittedAtLastPass = e.admittedUnits
}
