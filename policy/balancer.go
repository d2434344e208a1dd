package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	endpointLatencySmoothing = 0.4             // weight of one answer in an endpoint's latency
	latencyDriftTime         = 4 * time.Second // an unvisited endpoint's latency drifts to the mean in this time
	crossZonePenalty         = 1.1             // factor on the cost of endpoints of another zone
	triedEndpointPenalty     = 4               // and of endpoints that the request has tried
	costJitter               = 0.02            // random part of a cost, which spreads near ties
	minSecondsPerUnit        = 1e-6            // seconds
	minWarmCandidates        = 2.0             // warm endpoints that a gateway considers,
	warmCandidatesPerUnit    = 1.0             // and more for each unit in flight
	queueRetriesPerObjective = 16              // a queued request is retried in this part of its objective
)

// endpoint is an upstream server as the engine knows it.
type endpoint struct {
	Endpoint
	rank           uint64 // the order in which this gateway considers endpoints
	discovered     bool   // the endpoint list has it
	inEndpointList bool   // it is in Engine.endpointList

	latencyPerUnit       float64       // seconds, smoothed
	latencyMeasuredAt    time.Duration // when that was last measured
	lastResponseAt       time.Duration // or the start of the present wait
	newestAnsweredSentAt time.Duration // send time of the latest sent of the attempts that it has answered
	inFlight             int
	inFlightUnits        float64
	limit                float64       // units in flight that are allowed from here
	nextDecreaseAt       time.Duration // the limit is not lowered again before

	ejected         bool
	nextTrialAt     time.Duration // an ejected endpoint gets no request before
	ejectionBackoff time.Duration

	warmUpBucket     tokenBucket // slow start: units that may be forwarded now
	warmUpUpdatedAt  time.Duration
	admittedAtRefill float64 // Engine.admittedUnits when the bucket was last refilled
}

// UpdateEndpoints takes an update of the list. Endpoints that drain or are removed get nothing from now on.
func (e *Engine) UpdateEndpoints(now time.Duration, kind UpdateKind, list []Endpoint) {
	if kind == UpdateFailed {
		e.actions.StartTimer(minEjection, Timer{Kind: TimerWatch})
		return
	}
	if kind != UpdateDelta {
		for _, ep := range e.endpointList {
			ep.discovered = false // absent from a complete list means removed
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

func (e *Engine) updateEndpoint(now time.Duration, entry Endpoint) {
	ep, known := e.endpoints[entry.ID]
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
		// A restart under the same id is a new process: warming up, with a clean record.
		ep.ejected, ep.ejectionBackoff = false, 0
		ep.latencyPerUnit = e.latencyPerUnit
	}
	if entry.Weight <= 0 || math.IsNaN(entry.Weight) {
		entry.Weight = 1
	}
	ep.Endpoint, ep.discovered = entry, entry.State != StateRemoved
	if ep.discovered && !ep.inEndpointList {
		// One that was removed with attempts in flight is still known by its id when it returns.
		ep.inEndpointList = true
		e.endpointList = append(e.endpointList, ep)
	}
}

// removeAbsentEndpoints drops the endpoints that have left the list, and sums up the ready ones.
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

// dispatch forwards a request to the cheapest endpoint that may take it. With none it is queued for a little.
func (e *Engine) dispatch(now time.Duration, r *request) {
	cannotBeInTime := now+e.expectedLatency(r.Units) > r.arrivedAt+r.class.LatencyObjective
	if now >= r.deadline {
		e.finish(r, RefusedExpired)
		return
	}
	if e.overloaded && r.attempts == 0 && cannotBeInTime {
		e.finish(r, RefusedTooLate)
		return
	}
	ep := e.chooseEndpoint(now, r)
	limited := now < e.pausedUntil || e.inFlightUnits > 0 && e.inFlightUnits+r.Units > e.gatewayLimit
	if ep != nil && !limited {
		e.forward(now, r, ep)
		return
	}
	// The limits keep latencies low, so a lack of capacity is the sign of overload.
	e.recordLatencyRatio(maxLatencyRatio)
	delay := r.class.LatencyObjective / queueRetriesPerObjective
	if r.attempts == 0 && now+delay < min(r.deadline, r.arrivedAt+r.maxQueueDelay()) {
		e.enqueue(r, delay)
		return
	}
	e.finish(r, RefusedNoCapacity)
}

func (e *Engine) forward(now time.Duration, r *request, ep *endpoint) {
	ep.warmUpBucket.tokens -= r.Units // of no account once it is warm
	if !r.forwarded {
		r.forwarded = true
		r.customer.active = true
		r.customer.openRequests++
		r.customer.recentUnits += r.Units
	}
	e.forwardedUnits += r.Units
	if ep.inFlight == 0 {
		ep.lastResponseAt = now
	}
	ep.inFlight, e.inFlight = ep.inFlight+1, e.inFlight+1
	ep.inFlightUnits += r.Units
	e.inFlightUnits += r.Units
	if ep.ejected {
		ep.nextTrialAt = now + max(ep.ejectionBackoff, minEjection) // one trial at a time
	}
	r.currentEndpoint, r.currentAttempt, r.sentAt, r.limitLowered = ep, r.attempts, now, false
	r.attempts++
	r.triedEndpoints = append(r.triedEndpoints, ep.ID)
	e.actions.Forward(r.ID, ep.ID, r.deadline)
	e.actions.StartTimer(e.silenceTimeout(r), Timer{TimerSilence, r.ID, r.currentAttempt})
}

// chooseEndpoint returns the cheapest endpoint that the rules allow, or nil. It considers few of the warm
// ones, to keep few connections; those in slow start are bounded by their budget.
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

// eligible reports whether a request may be forwarded to an endpoint now.
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

// requestCost is the cost of a request at an endpoint, with the preferences among endpoints.
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

// cost is the seconds that units should take at an endpoint. One that is silent for longer than usual with
// attempts in flight costs that time on top: this guards against stalls and crashes.
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

// recordLatency averages the seconds that a unit took, at the endpoint and over all of them.
func (e *Engine) recordLatency(now time.Duration, ep *endpoint, perUnit float64) {
	e.latencyPerUnit = cmp.Or(e.latencyPerUnit, perUnit)
	e.latencyPerUnit += fleetLatencySmoothing * (perUnit - e.latencyPerUnit)
	ep.latencyPerUnit = cmp.Or(ep.latencyPerUnit, perUnit)
	ep.latencyPerUnit += endpointLatencySmoothing * (perUnit - ep.latencyPerUnit)
	ep.latencyMeasuredAt, ep.lastResponseAt = now, now
}

// releaseInFlight ends an attempt's part of the units in flight: exactly that, or the limits close for ever.
func (e *Engine) releaseInFlight(ep *endpoint, units float64) {
	ep.inFlight, e.inFlight = ep.inFlight-1, e.inFlight-1
	ep.inFlightUnits, e.inFlightUnits = max(0, ep.inFlightUnits-units), max(0, e.inFlightUnits-units)
	if e.inFlight == 0 {
		e.inFlightUnits = 0 // sums of fractions leave a rest
	}
	if ep.inFlight == 0 {
		ep.inFlightUnits = 0
		if !ep.inEndpointList {
			delete(e.endpoints, ep.ID)
		}
	}
}
