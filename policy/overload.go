package policy

import "time"

// Latencies in these constants are relative to the latency objective of a request's class.
const (
	overloadEnterRatio    = 0.6  // smoothed latency at which the back end counts as overloaded
	overloadExitRatio     = 0.4  // and at which it no longer does
	latencyRatioSmoothing = 0.05 // weight of one answer in that average
	maxLatencyRatio       = 2.0  // a rejection weighs as an answer at twice the objective

	initialEndpointLimit  = 24.0 // units in flight at a new endpoint, from all gateways together
	endpointLateThreshold = 0.2  // latency above which an endpoint's limit is lowered
	endpointLimitDecrease = 0.7  // by this factor, at most once in a latency
	gatewayLateThreshold  = 0.5  // latency above which the limit on all endpoints is lowered
	gatewayLimitIncrease  = 0.1  // units by which a unit answered in time raises it
	gatewayLimitDecrease  = 0.8  // units by which a late one lowers it, once an attempt
	minGatewayLimit       = 0.05 // least limit on all endpoints: below one unit, a share of the time
	minUnitsPerEndpoint   = 6.0  // units in flight at each endpoint, from all gateways, that stay allowed
	priorityReserve       = 0.5  // share of a limit that the lowest priority may not use under overload
)

// recordLatencyRatio follows latencies against the objective, with hysteresis.
func (e *Engine) recordLatencyRatio(sample float64) {
	e.latencyRatio += latencyRatioSmoothing * (min(sample, maxLatencyRatio) - e.latencyRatio)
	e.overloaded = e.latencyRatio > overloadEnterRatio || e.overloaded && e.latencyRatio > overloadExitRatio
}

// expectedLatency is what a request of these units should take.
func (e *Engine) expectedLatency(units float64) time.Duration {
	return seconds(e.latencyPerUnit * units)
}

// adjustLimits sets how many units may be in flight after an attempt that took the given time. An endpoint's
// limit rises by a request a round while answers are early, and falls by a factor otherwise.
func (e *Engine) adjustLimits(now time.Duration, ep *endpoint, r *request, late bool, latency time.Duration) {
	switch {
	case late && now >= ep.nextDecreaseAt:
		ep.limit, ep.nextDecreaseAt = max(1, ep.limit*endpointLimitDecrease), now+latency
	case !late && ep.inFlightUnits+r.Units >= ep.limit/2:
		ep.limit += min(ep.limit, r.Units*r.Units/ep.limit)
	}
	e.adjustGatewayLimit(now, r, latency)
}

// adjustGatewayLimit moves the limit on all endpoints by a part of each answer: one that is seldom used tells
// too late. Below one unit the limit is a share of the time, and the gateway pauses between requests.
func (e *Engine) adjustGatewayLimit(now time.Duration, r *request, latency time.Duration) {
	if latency.Seconds() < gatewayLateThreshold*r.class.LatencyObjective.Seconds() {
		if e.inFlightUnits+r.Units >= e.gatewayLimit/2 ||
			e.gatewayLimit < e.initialLimitShare()*float64(len(e.endpointList)) {
			e.gatewayLimit += gatewayLimitIncrease * r.Units
		}
	} else if !r.limitLowered {
		r.limitLowered = true
		e.gatewayLimit = max(e.gatewayLimitFloor(now), e.gatewayLimit-gatewayLimitDecrease*r.Units)
		e.pausedUntil = now + min(maxEjection, seconds(latency.Seconds()*(1/e.gatewayLimit-1))) // past, from one unit up
	}
}

// gatewayLimitFloor is this gateway's share of minUnitsPerEndpoint at every ready endpoint, by warmth. So little makes
// no queue, and with few answers a lower limit would take minutes to rise again.
func (e *Engine) gatewayLimitFloor(now time.Duration) float64 {
	capacity := 0.0
	for _, ep := range e.endpointList {
		if ep.State == StateReady {
			capacity += e.capacityShare(now, ep)
		}
	}
	return max(minGatewayLimit, minUnitsPerEndpoint*capacity/float64(max(1, e.cfg.GatewayCount)))
}

// initialLimitShare is this gateway's share of the units in flight at an endpoint that has not answered.
func (e *Engine) initialLimitShare() float64 {
	return initialEndpointLimit / float64(max(1, e.cfg.GatewayCount))
}

// relativePriority is the value of a unit of the request against the dearest plan and class.
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
