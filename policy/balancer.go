package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	endpointLatencySmoothing = 0.4             // weight of one answer in the smoothed latency of its endpoint
	latencyDriftTime         = 4 * time.Second // time in which an unused endpoint drifts to the fleet mean
	crossZonePenalty         = 1.1             // factor on the cost of endpoints in other zones
	triedEndpointPenalty     = 4               // factor on the cost of endpoints that the request has tried
	costJitter               = 0.02            // random part of a cost; spreads load over similar endpoints
	minSecondsPerUnit        = 1e-6            // least latency per unit in the cost of an endpoint
	minWarmCandidates        = 2.0             // warm endpoints that are considered in any case
	warmCandidatesPerUnit    = 1.0             // further warm endpoints considered for each unit in flight
	queueRetriesPerObjective = 16              // dispatches of a queued request per latency objective
)

// endpoint is the state of an upstream server at this gateway.
type endpoint struct {
	Endpoint
	rank           uint64 // order in which this gateway considers endpoints; differs between gateways
	discovered     bool   // the latest endpoint list contains the endpoint
	inEndpointList bool   // Engine.endpointList contains the endpoint

	latencyPerUnit       float64       // seconds per unit, smoothed
	latencyMeasuredAt    time.Duration // time of the last update of latencyPerUnit
	lastResponseAt       time.Duration // time of the last response, or of the first attempt after an idle time
	newestAnsweredSentAt time.Duration // latest start of an attempt that the endpoint has answered
	inFlight             int           // attempts in flight from this gateway
	inFlightUnits        float64       // units in flight from this gateway
	limit                float64       // concurrency limit on this gateway's units in flight
	nextDecreaseAt       time.Duration // earliest time at which limit may be lowered again

	ejected         bool          // excluded after failures, except for trial requests
	nextTrialAt     time.Duration // earliest time of the next trial request
	ejectionBackoff time.Duration // time between trial requests; doubles with each failed one

	warmUpBucket     tokenBucket   // units that slow start allows to be forwarded now
	warmUpUpdatedAt  time.Duration // time of the last refill of warmUpBucket
	admittedAtRefill float64       // Engine.admittedUnits at the last refill of warmUpBucket
}

// UpdateEndpoints applies an update of the endpoint list. Draining and removed endpoints receive no more
// requests. After a failed call, the updates are requested again.
func (e *Engine) UpdateEndpoints(now time.Duration, kind UpdateKind, list []Endpoint) {
	if kind == UpdateFailed {
		e.actions.StartTimer(minEjection, Timer{Kind: TimerWatch})
		return
	}
	e.updateRates(now)
	if kind != UpdateDelta {
		for _, ep := range e.endpointList {
			ep.discovered = false // an endpoint that is absent from a complete list is removed
		}
	}
	for _, entry := range list {
		e.updateEndpoint(now, entry)
	}
	e.removeAbsentEndpoints()
	slices.SortFunc(e.endpointList, func(a, b *endpoint) int { return cmp.Compare(a.rank, b.rank) })
	if e.gatewayLimit == 0 {
		e.gatewayLimit = max(1, e.initialLimitShare()*float64(len(e.endpointList)))
	}
}

// updateEndpoint applies one entry of the endpoint list.
func (e *Engine) updateEndpoint(now time.Duration, entry Endpoint) {
	ep, known := e.endpoints[entry.ID]
	if !known && entry.State == StateRemoved {
		return
	}
	if !known {
		rank, limit := rand.NewPCG(uint64(entry.ID), uint64(e.cfg.GatewayIndex)).Uint64(),
			max(1, e.initialLimitShare())
		ep = &endpoint{rank: rank, limit: limit, latencyPerUnit: e.latencyPerUnit, latencyMeasuredAt: now}
		e.endpoints[entry.ID] = ep
	}
	if entry.StartedAt != ep.StartedAt {
		ep.admittedAtRefill = e.admittedUnits
	}
	if known && entry.StartedAt != ep.StartedAt {
		// A restart under the same ID is a new process, to which the ejection and latency of the old one do not
		// apply.
		ep.ejected, ep.ejectionBackoff = false, 0
		ep.latencyPerUnit = e.latencyPerUnit
	}
	if entry.Weight <= 0 || math.IsNaN(entry.Weight) {
		entry.Weight = 1
	}
	ep.Endpoint, ep.discovered = entry, entry.State != StateRemoved
	if ep.discovered && !ep.inEndpointList {
		// An endpoint that was removed while it had attempts in flight is still in e.endpoints when it returns, but
		// no longer in e.endpointList.
		ep.inEndpointList = true
		e.endpointList = append(e.endpointList, ep)
	}
}

// removeAbsentEndpoints drops the endpoints that are no longer listed, and sums up the weights of the ready
// ones.
func (e *Engine) removeAbsentEndpoints() {
	kept := e.endpointList[:0]
	e.readyWeight = 0
	for _, ep := range e.endpointList {
		if !ep.discovered {
			ep.inEndpointList = false
			if ep.inFlight == 0 {
				delete(e.endpoints, ep.ID)
			}
			continue
		}
		kept = append(kept, ep)
		if ep.State == StateReady {
			e.readyWeight += ep.Weight
		}
	}
	e.endpointList = kept
}

// dispatch forwards a request to the eligible endpoint of the lowest cost. If the ceiling does not
// cover it any more, or no endpoint or gateway limit has room for it, a first attempt is queued for a short
// time, and a retry is given up.
func (e *Engine) dispatch(now time.Duration, r *request) {
	cannotBeInTime := now+e.expectedLatency(r.Units) > r.arrivedAt+r.class.LatencyObjective &&
		!e.latencyIsStale(now, r)
	if now >= r.deadline {
		e.finish(r, RefusedExpired)
		return
	}
	if e.overloaded && r.attempts == 0 && cannotBeInTime {
		e.finish(r, RefusedTooLate)
		return
	}
	if delay := e.ceilingSendDelay(now, r); delay > 0 {
		e.waitOrFinish(now, r, delay, RefusedHoldTooLong)
		return
	}
	ep := e.chooseEndpoint(now, r)
	limited := now < e.pausedUntil || e.inFlightUnits > 0 && e.inFlightUnits+r.Units > e.gatewayLimit
	if ep != nil && !limited {
		e.forward(now, r, ep)
		return
	}
	// Concurrency limits keep latencies low under overload as well, so a lack of capacity also counts as a sign
	// of overload.
	e.recordLatencyRatio(maxLatencyRatio)
	e.waitOrFinish(now, r, r.class.LatencyObjective/queueRetriesPerObjective, RefusedNoCapacity)
}

// waitOrFinish queues a first attempt if it can be sent in time after the delay. Otherwise the request gets
// its final answer at once.
func (e *Engine) waitOrFinish(now time.Duration, r *request, delay time.Duration, reason Reason) {
	if r.attempts == 0 && now+delay < min(r.deadline, r.arrivedAt+r.maxQueueDelay()) {
		e.enqueue(r, delay)
		return
	}
	e.finish(r, reason)
}

// forward starts an attempt at an endpoint and counts its units in flight.
func (e *Engine) forward(now time.Duration, r *request, ep *endpoint) {
	r.takeCeiling()
	ep.warmUpBucket.tokens -= r.Units // not used once the endpoint is warm
	if !r.forwarded {
		r.forwarded = true
		r.customer.active, r.customer.wasForwarded = true, true
		r.customer.openRequests++
		r.customer.recentUnits += r.Units
	}
	e.lastForwardedAt = now
	if ep.inFlight == 0 {
		ep.lastResponseAt = now
	}
	ep.inFlight, e.inFlight = ep.inFlight+1, e.inFlight+1
	ep.inFlightUnits += r.Units
	e.inFlightUnits += r.Units
	if ep.ejected {
		ep.nextTrialAt = now + max(ep.ejectionBackoff, minEjection) // one trial request at a time
	}
	r.currentEndpoint, r.currentAttempt, r.sentAt, r.limitLowered = ep, r.attempts, now, false
	r.attempts++
	r.triedEndpoints = append(r.triedEndpoints, ep.ID)
	e.actions.Forward(r.ID, ep.ID, r.deadline)
	e.actions.StartTimer(e.silenceTimeout(r), Timer{TimerSilence, r.ID, r.currentAttempt})
}

// chooseEndpoint returns the eligible endpoint of the lowest cost, or nil. It considers only as many warm
// endpoints as the units in flight need, in order of rank, so that the gateway keeps few connections. All
// endpoints in slow start are considered, since their warm-up budget bounds their load.
func (e *Engine) chooseEndpoint(now time.Duration, r *request) *endpoint {
	var best *endpoint
	bestCost, warmCandidates := math.Inf(1), minWarmCandidates+warmCandidatesPerUnit*e.inFlightUnits
	for _, ep := range e.endpointList {
		warm := e.capacityShare(now, ep) >= 1
		if warm && warmCandidates <= 0 || !e.eligible(now, r, ep) {
			continue
		}
		if warm {
			warmCandidates--
		}
		if cost := e.requestCost(now, r, ep); cost < bestCost {
			best, bestCost = ep, cost
		}
	}
	return best
}

// eligible reports whether a request may be forwarded to an endpoint now. An endpoint without attempts in
// flight accepts requests larger than its concurrency limit. Under overload, part of the limit is reserved
// for requests of high priority.
func (e *Engine) eligible(now time.Duration, r *request, ep *endpoint) bool {
	if ep.State != StateReady || !e.attemptAllowed(now, r, ep) || !e.warmUpBudgetAllows(now, ep, r.Units) {
		return false
	}
	if ep.ejected && now < ep.trialTime(r) {
		return false
	}
	allowed := ep.limit
	if e.overloaded {
		allowed *= 1 - priorityReserve*(1-e.relativePriority(r))
	}
	return ep.inFlight == 0 || ep.inFlightUnits+r.Units <= allowed
}

// requestCost is the cost of a request at an endpoint. It is higher at endpoints that the request has tried
// and in other zones, and has a random part.
func (e *Engine) requestCost(now time.Duration, r *request, ep *endpoint) float64 {
	cost := e.cost(now, ep, r.Units)
	if slices.Contains(r.triedEndpoints, ep.ID) {
		cost *= triedEndpointPenalty
	}
	if ep.Zone != e.cfg.Zone {
		cost *= crossZonePenalty
	}
	return cost * (1 + costJitter*e.rng.Float64())
}

// cost is the expected time in seconds that the units take at an endpoint. If the endpoint has attempts in
// flight and has been silent for longer than usual, the cost includes the length of that silence, which keeps
// load away from stalled or crashed endpoints.
func (e *Engine) cost(now time.Duration, ep *endpoint, units float64) float64 {
	drift := min(1, (now-ep.latencyMeasuredAt).Seconds()/latencyDriftTime.Seconds())
	perUnit := ep.latencyPerUnit + drift*(e.latencyPerUnit-ep.latencyPerUnit)
	cost := max(perUnit, minSecondsPerUnit) * (ep.inFlightUnits + units) / ep.Weight
	if ep.inFlight > 0 {
		usualSilence := 2 * e.latencyPerUnit * ep.inFlightUnits / float64(ep.inFlight)
		if silence := (now - ep.lastResponseAt).Seconds(); silence > usualSilence {
			cost += silence
		}
	}
	return cost
}

// recordLatency adds an answer to the smoothed latencies of its endpoint and of the fleet, in seconds per
// unit. A negative latency counts as 0, because requests would be queued past their deadlines otherwise.
func (e *Engine) recordLatency(now time.Duration, ep *endpoint, perUnit float64) {
	perUnit = max(0, perUnit)
	e.latencyPerUnit = cmp.Or(e.latencyPerUnit, perUnit)
	e.latencyPerUnit += fleetLatencySmoothing * (perUnit - e.latencyPerUnit)
	ep.latencyPerUnit = cmp.Or(ep.latencyPerUnit, perUnit)
	ep.latencyPerUnit += endpointLatencySmoothing * (perUnit - ep.latencyPerUnit)
	ep.latencyMeasuredAt, ep.lastResponseAt = now, now
}

// releaseInFlight removes an attempt from the counts in flight. It must subtract exactly the units that
// forward has added, or the concurrency limits would stay exhausted for good.
func (e *Engine) releaseInFlight(ep *endpoint, units float64) {
	ep.inFlight, e.inFlight = ep.inFlight-1, e.inFlight-1
	ep.inFlightUnits, e.inFlightUnits = max(0, ep.inFlightUnits-units), max(0, e.inFlightUnits-units)
	if e.inFlight == 0 {
		e.inFlightUnits = 0 // removes the rounding error of fractional units
	}
	if ep.inFlight == 0 {
		ep.inFlightUnits = 0
		if !ep.inEndpointList {
			delete(e.endpoints, ep.ID)
		}
	}
}
