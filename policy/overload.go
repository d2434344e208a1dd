package policy

import "time"

// A latency ratio is a latency, divided by the latency objective of the request's class.
const (
	overloadEnterRatio    = 0.6  // smoothed latency ratio above which the back end counts as overloaded
	overloadExitRatio     = 0.4  // smoothed latency ratio at which overload ends
	latencyRatioSmoothing = 0.05 // weight of one answer in the smoothed latency ratio
	maxLatencyRatio       = 2.0  // cap on a latency ratio; used for rejections, timeouts and lack of capacity

	initialEndpointLimit  = 24.0 // limit on units in flight at a new endpoint, from all gateways together
	endpointLateThreshold = 0.2  // latency ratio above which an endpoint's limit is lowered
	endpointLimitDecrease = 0.7  // factor that lowers an endpoint's limit, at most once in the time of a latency
	gatewayLateThreshold  = 0.5  // latency ratio from which the gateway limit is lowered
	gatewayLimitIncrease  = 0.1  // units by which the gateway limit rises for each unit answered in time
	gatewayLimitDecrease  = 0.8  // units by which the gateway limit falls for each late unit, once per attempt
	minGatewayLimit       = 0.05 // least gateway limit, in units; below one unit it is a share of the time
	minUnitsPerEndpoint   = 6.0  // units in flight per endpoint, from all gateways, that are always allowed
	priorityReserve       = 0.5  // share of an endpoint's limit denied to the lowest priority under overload
)

// recordLatencyRatio adds a ratio of latency to latency objective to the smoothed one, which decides with
// hysteresis on overload.
func (e *Engine) recordLatencyRatio(sample float64) {
	e.latencyRatio += latencyRatioSmoothing * (min(sample, maxLatencyRatio) - e.latencyRatio)
	e.overloaded = e.latencyRatio > overloadEnterRatio || e.overloaded && e.latencyRatio > overloadExitRatio
}

// expectedLatency is the expected latency of a request of the given units.
func (e *Engine) expectedLatency(units float64) time.Duration {
	return seconds(e.latencyPerUnit * units)
}

// latencyIsStale reports whether nothing is in flight and no attempt has started for the latency objective of
// a request. No answer would then lower the expected latency, so it is no reason to reject the request.
func (e *Engine) latencyIsStale(now time.Duration, r *request) bool {
	return e.inFlight == 0 && now >= e.lastForwardedAt+r.class.LatencyObjective
}

// adjustLimits adjusts the concurrency limits after an attempt of the given latency. While answers are early
// and at least half of its limit is used, an endpoint's limit rises by one request per round trip; a late
// attempt lowers it by a factor (additive increase, multiplicative decrease).
func (e *Engine) adjustLimits(now time.Duration, ep *endpoint, r *request, late bool, latency time.Duration) {
	switch {
	case late && now >= ep.nextDecreaseAt:
		ep.limit, ep.nextDecreaseAt = max(1, ep.limit*endpointLimitDecrease), now+latency
	case !late && ep.inFlightUnits+r.Units >= ep.limit/2:
		ep.limit += min(ep.limit, r.Units*r.Units/ep.limit)
	}
	e.adjustGatewayLimit(now, r, latency)
}

// adjustGatewayLimit adjusts the limit on all endpoints together by a step for each attempt, because the
// limit of an endpoint that is seldom used reacts too late. Below one unit the limit is a share of the time:
// the gateway pauses between requests.
func (e *Engine) adjustGatewayLimit(now time.Duration, r *request, latency time.Duration) {
	if latency.Seconds() < gatewayLateThreshold*r.class.LatencyObjective.Seconds() {
		if e.inFlightUnits+r.Units >= e.gatewayLimit/2 ||
			e.gatewayLimit < e.initialLimitShare()*float64(len(e.endpointList)) {
			e.gatewayLimit += gatewayLimitIncrease * r.Units
		}
	} else if !r.limitLowered {
		r.limitLowered = true
		e.gatewayLimit = max(e.gatewayLimitFloor(now), e.gatewayLimit-gatewayLimitDecrease*r.Units)
		// The pause ends in the past, and so has no effect, if the limit is one unit or more.
		e.pausedUntil = now + min(maxEjection, seconds(latency.Seconds()*(1/e.gatewayLimit-1)))
	}
}

// gatewayLimitFloor is the least gateway limit: this gateway's share of minUnitsPerEndpoint for every ready
// endpoint, scaled by its capacity during warm-up. So few units cause no queueing. A lower limit would take
// minutes to rise again, since few answers would arrive.
func (e *Engine) gatewayLimitFloor(now time.Duration) float64 {
	capacity := 0.0
	for _, ep := range e.endpointList {
		if ep.State == StateReady {
			capacity += e.capacityShare(now, ep)
		}
	}
	return max(minGatewayLimit, minUnitsPerEndpoint*capacity/float64(max(1, e.cfg.GatewayCount)))
}

// initialLimitShare is this gateway's share of the limit of an endpoint that has not answered yet.
func (e *Engine) initialLimitShare() float64 {
	return initialEndpointLimit / float64(max(1, e.cfg.GatewayCount))
}

// relativePriority is the value of a unit of the request, relative to the most valuable class and plan.
func (e *Engine) relativePriority(r *request) float64 {
	highest := 0.0
	for _, class := range e.cfg.Classes {
		for _, plan := range e.cfg.Plans {
			highest = max(highest, class.PriorityWeight*plan.PriceFactor)
		}
	}
	if highest <= 0 {
		return 1
	}
	return r.class.PriorityWeight * r.customer.plan.PriceFactor / highest
}
