package policy

import "time"

// Latencies in these constants are relative to the latency objective of a request's class.
const (
	overloadEnter     = 0.6  // smoothed latency at which the back end counts as overloaded
	overloadLeave     = 0.4  // and at which it no longer does
	pressureSmoothing = 0.05 // weight of one answer in that average
	maxPressureSample = 2.0  // a rejection weighs as an answer at twice the objective

	initialEndpointLimit  = 24.0 // units in flight at a new endpoint, from all gateways together
	endpointLateThreshold = 0.2  // latency above which an endpoint's limit is lowered
	endpointLimitFactor   = 0.7  // by this factor, at most once in a latency
	lateThreshold         = 0.5  // latency above which the limit on all endpoints is lowered
	limitIncrease         = 0.1  // units by which a unit answered in time raises it
	limitDecrease         = 0.8  // units by which a late one lowers it, once an attempt
	minFleetLimit         = 0.05 // least limit on all endpoints: below one unit, a share of the time
	minUnitsPerEndpoint   = 6.0  // units in flight at each endpoint, from all gateways, that stay allowed
	lowPriorityReserve    = 0.5  // share of a limit that the lowest priority may not use under overload
)

// addPressure follows latencies against the objective, with hysteresis.
func (e *Engine) addPressure(sample float64) {
	e.pressure += pressureSmoothing * (min(sample, maxPressureSample) - e.pressure)
	e.overloaded = e.pressure > overloadEnter || e.overloaded && e.pressure > overloadLeave
}

// expectedLatency is what a request of these units should take.
func (e *Engine) expectedLatency(units float64) time.Duration {
	return seconds(e.latencyPerUnit * units)
}

// adjustLimits sets how many units may be in flight after an attempt that took the given time. An endpoint's
// limit rises by a request a round while answers are early, and falls by a factor otherwise.
func (e *Engine) adjustLimits(now time.Duration, ep *endpoint, r *request, late bool, took time.Duration) {
	switch {
	case late && now >= ep.nextDecrease:
		ep.limit, ep.nextDecrease = max(1, ep.limit*endpointLimitFactor), now+took
	case !late && ep.inFlightUnits+r.Units >= ep.limit/2:
		ep.limit += min(ep.limit, r.Units*r.Units/ep.limit)
	}
	e.adjustFleetLimit(now, r, took)
}

// adjustFleetLimit moves the limit on all endpoints by a part of each answer: one that is seldom used tells
// too late. Below one unit the limit is a share of the time, and the gateway pauses between requests.
func (e *Engine) adjustFleetLimit(now time.Duration, r *request, took time.Duration) {
	if took.Seconds() < lateThreshold*r.class.LatencyObjective.Seconds() {
		if e.inFlightUnits+r.Units >= e.limit/2 || e.limit < e.initialLimit()*float64(len(e.endpointList)) {
			e.limit += limitIncrease * r.Units
		}
	} else if !r.countedLate {
		r.countedLate = true
		e.limit = max(e.minLimit(now), e.limit-limitDecrease*r.Units)
		e.pausedUntil = now + min(maxEjection, seconds(took.Seconds()*(1/e.limit-1))) // past, from one unit up
	}
}

// minLimit is this gateway's share of minUnitsPerEndpoint at every ready endpoint, by warmth. So little makes
// no queue, and with few answers a lower limit would take minutes to rise again.
func (e *Engine) minLimit(now time.Duration) float64 {
	warm := 0.0
	for _, ep := range e.endpointList {
		if ep.State == StateReady {
			warm += e.warmth(now, ep)
		}
	}
	return max(minFleetLimit, minUnitsPerEndpoint*warm/float64(max(1, e.cfg.GatewayCount)))
}

// initialLimit is this gateway's share of the units in flight at an endpoint that has not answered.
func (e *Engine) initialLimit() float64 {
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
