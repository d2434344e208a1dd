package policy

import (
	"cmp"
	"time"
)

const (
	warmUpMargin       = 0.8  // share of the warm-up budget that is used
	minInitialCapacity = 0.01 // lower limit for Config.WarmUpInitialCapacity

	// minRateAveragingPasses is the averaging time of demandRate, and the least averaging time of servedRate,
	// in passes of the bandwidth manager.
	minRateAveragingPasses = 10

	// safeDemandShare is the share of demandRate that endpoints can certainly serve once they are warm, unless
	// the demand exceeds 2.5 times their capacity.
	safeDemandShare = 0.4

	// warmUpFreeRequests is how many requests per overload window all gateways together may send to an endpoint
	// regardless of its capacity. The operators' slow-start rule tolerates three, as random variation, even at
	// an endpoint without any capacity.
	warmUpFreeRequests = 2

	minWarmUpTokens = 1e-9 // units; a bucket level just above 0, which admits one request
)

// capacityShare is the share of its full capacity that an endpoint has at least by now. It rises linearly
// during warm-up.
func (e *Engine) capacityShare(now time.Duration, ep *endpoint) float64 {
	age := now - ep.StartedAt
	if ep.StartedAt <= 0 || e.cfg.WarmUpDuration <= 0 || age >= e.cfg.WarmUpDuration {
		return 1
	}
	initial := min(1, max(minInitialCapacity, e.cfg.WarmUpInitialCapacity))
	return initial + (1-initial)*max(0, age.Seconds())/e.cfg.WarmUpDuration.Seconds()
}

// warmUpShare is the part of a rate over all endpoints that an endpoint in slow start may receive: its share
// by weight, times its present capacity and the load that it withstands, less a margin. Endpoints that were
// ready count in the total weight for as long as they do in servedRate, since the remaining endpoints cannot
// serve more because others leave.
func (e *Engine) warmUpShare(now time.Duration, ep *endpoint) float64 {
	budget := warmUpMargin * max(1, e.cfg.WarmUpOverloadFactor) * e.capacityShare(now, ep)
	return budget * ep.Weight / max(e.readyWeight, e.readyWeightAverage)
}

// warmUpBudgetAllows enforces slow start with a token bucket: a request is allowed while the level is above 0
// and may take it below 0. The initial level is random and negative, to spread the first requests of many
// gateways that are notified of a start at the same time. A few gateways start with a positive level instead,
// because the operators' slow-start rule tolerates a few requests of the whole fleet.
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

// refillWarmUpBucket adds the units that the endpoint can serve since the last refill: its warm-up share of
// the rate at which endpoints serve this gateway, averaged for long enough to include the time before a
// fault. Where that rate is at most the safe share of the demand, as in a new gateway or after an idle time,
// that share of the demand at this gateway replaces it.
func (e *Engine) refillWarmUpBucket(now time.Duration, ep *endpoint, units float64) {
	share := e.warmUpShare(now, ep)
	window := e.cfg.WarmUpOverloadWindow.Seconds()
	elapsed := (now - ep.warmUpUpdatedAt).Seconds()
	freeRate := 0.0
	if window > 0 {
		freeRate = warmUpFreeRequests * units / window / float64(max(1, e.cfg.GatewayCount))
	}
	rate := max(share*e.servedRate, freeRate)
	addedUnits := rate * elapsed
	if e.servedRate <= safeDemandShare*e.demandRate {
		rate = max(share*safeDemandShare*e.demandRate, freeRate)
		addedUnits = max(share*safeDemandShare*(e.admittedUnits-ep.admittedAtRefill), freeRate*elapsed)
	}
	ep.warmUpBucket.refill(addedUnits, max(rate*window/2, minWarmUpTokens))
	ep.warmUpUpdatedAt, ep.admittedAtRefill = now, e.admittedUnits
}

// updateRates updates the average rates of served and admitted units, and the average ready weight, with
// those since the last update. It must be called before the ready weight changes.
func (e *Engine) updateRates(now time.Duration) {
	elapsedSeconds := (now - e.ratesUpdatedAt).Seconds()
	if elapsedSeconds <= 0 {
		return
	}
	averaging := max(minRateAveragingPasses*bandwidthManagerPeriod,
		min(now-e.startedAt, 2*e.cfg.WarmUpDuration)).Seconds()
	smoothing := min(1, elapsedSeconds/averaging)
	e.servedRate += smoothing * (e.servedUnits/elapsedSeconds - e.servedRate)
	e.readyWeightAverage = cmp.Or(e.readyWeightAverage, e.readyWeight)
	e.readyWeightAverage += smoothing * (e.readyWeight - e.readyWeightAverage)
	e.servedUnits = 0
	demandAveraging := (minRateAveragingPasses * bandwidthManagerPeriod).Seconds()
	e.demandRate += min(1, elapsedSeconds/demandAveraging) *
		((e.admittedUnits-e.admittedAtLastUpdate)/elapsedSeconds - e.demandRate)
	e.ratesUpdatedAt, e.admittedAtLastUpdate = now, e.admittedUnits
}
