package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	latencySmoothing = 0.4             // weight of one answer in an endpoint's latency
	latencyDecay     = 4 * time.Second // an unvisited endpoint's latency drifts to the mean in this time
	crossZonePenalty = 1.1             // factor on the cost of endpoints of another zone
	triedPenalty     = 4               // and of endpoints that the request has tried
	tieSpread        = 0.02            // random part of a cost, which spreads near ties
	minCostPerUnit   = 1e-6            // seconds
	minReach         = 2.0             // warm endpoints that a gateway considers,
	reachPerUnit     = 1.0             // and more for each unit in flight
	queueRetries     = 16              // a queued request is retried in this part of its objective
)

// endpoint is an upstream server as the engine knows it.
type endpoint struct {
	Endpoint
	rank    uint64 // the order in which this gateway considers endpoints
	current bool   // the endpoint list has it
	listed  bool   // it is in Engine.endpointList

	latencyPerUnit float64       // seconds, smoothed
	measuredAt     time.Duration // when that was last measured
	lastResponse   time.Duration // or the start of the present wait
	newestAnswered time.Duration // send time of the latest sent of the attempts that it has answered
	inFlight       int
	inFlightUnits  float64
	limit          float64       // units in flight that are allowed from here
	nextDecrease   time.Duration // the limit is not lowered again before

	ejected   bool
	nextTrial time.Duration // an ejected endpoint gets no request before
	backoff   time.Duration

	warmUpBucket    tokenBucket // slow start: units that may be forwarded now
	warmUpUpdatedAt time.Duration
	admittedSeen    float64 // Engine.admittedUnits when the bucket was last refilled
}

// UpdateEndpoints takes an update of the list. Endpoints that drain or are removed get nothing from now on.
func (e *Engine) UpdateEndpoints(now time.Duration, kind UpdateKind, list []Endpoint) {
	if kind == UpdateFailed {
		e.actions.StartTimer(minEjection, Timer{Kind: TimerWatch})
		return
	}
	if kind != UpdateDelta {
		for _, ep := range e.endpointList {
			ep.current = false // absent from a complete list means removed
		}
	}
	for _, in := range list {
		e.updateEndpoint(now, in)
	}
	e.removeAbsentEndpoints()
	slices.SortFunc(e.endpointList, func(a, b *endpoint) int { return cmp.Compare(a.rank, b.rank) })
	if e.limit == 0 {
		e.limit = max(1, e.initialLimit()*float64(len(e.endpointList)))
	}
}

func (e *Engine) updateEndpoint(now time.Duration, in Endpoint) {
	ep, known := e.endpoints[in.ID]
	if !known {
		rank, limit := rand.NewPCG(uint64(in.ID), uint64(e.cfg.GatewayIndex)).Uint64(), max(1, e.initialLimit())
		ep = &endpoint{rank: rank, limit: limit, latencyPerUnit: e.latencyPerUnit, measuredAt: now}
		e.endpoints[in.ID] = ep
	}
	if in.StartedAt != ep.StartedAt {
		ep.admittedSeen = e.admittedUnits
	}
	if known && in.StartedAt != ep.StartedAt {
		// A restart under the same id is a new process: warming up, with a clean record.
		ep.ejected, ep.backoff = false, 0
		ep.latencyPerUnit = e.latencyPerUnit
	}
	if in.Weight <= 0 || math.IsNaN(in.Weight) {
		in.Weight = 1
	}
	ep.Endpoint, ep.current = in, in.State != StateRemoved
	if ep.current && !ep.listed {
		// One that was removed with attempts in flight is still known by its id when it returns.
		ep.listed = true
		e.endpointList = append(e.endpointList, ep)
	}
}

// removeAbsentEndpoints drops the endpoints that have left the list, and sums up the ready ones.
func (e *Engine) removeAbsentEndpoints() {
	kept := e.endpointList[:0]
	e.readyWeight = 0
	for _, ep := range e.endpointList {
		if !ep.current {
			ep.listed = false
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
	limited := now < e.pausedUntil || e.inFlightUnits > 0 && e.inFlightUnits+r.Units > e.limit
	if ep != nil && !limited {
		e.forward(now, r, ep)
		return
	}
	// The limits keep latencies low, so a lack of capacity is the sign of overload.
	e.addPressure(maxPressureSample)
	delay := r.class.LatencyObjective / queueRetries
	if r.attempts == 0 && now+delay < min(r.deadline, r.arrivedAt+r.maxHold()) {
		e.hold(r, delay)
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
		ep.lastResponse = now
	}
	ep.inFlight, e.inFlight = ep.inFlight+1, e.inFlight+1
	ep.inFlightUnits += r.Units
	e.inFlightUnits += r.Units
	if ep.ejected {
		ep.nextTrial = now + max(ep.backoff, minEjection) // one trial at a time
	}
	r.inFlight, r.attempt, r.sentAt, r.countedLate = ep, r.attempts, now, false
	r.attempts++
	r.triedEndpoints = append(r.triedEndpoints, ep.ID)
	e.actions.Forward(r.ID, ep.ID, r.deadline)
	e.actions.StartTimer(e.silenceTimeout(r), Timer{TimerSilence, r.ID, r.attempt})
}

// chooseEndpoint returns the cheapest endpoint that the rules allow, or nil. It considers few of the warm
// ones, to keep few connections; those in slow start are bounded by their budget.
func (e *Engine) chooseEndpoint(now time.Duration, r *request) *endpoint {
	var best *endpoint
	bestCost, reach := math.Inf(1), minReach+reachPerUnit*e.inFlightUnits
	for _, ep := range e.endpointList {
		warm := e.warmth(now, ep) >= 1
		if warm && reach <= 0 || !e.eligible(now, r, ep) {
			continue
		}
		if warm {
			reach--
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
		allowed *= 1 - lowPriorityReserve*(1-e.relativePriority(r))
	}
	return ep.inFlight == 0 || ep.inFlightUnits+r.Units <= allowed
}

// requestCost is the cost of a request at an endpoint, with the preferences among endpoints.
func (e *Engine) requestCost(now time.Duration, r *request, ep *endpoint) float64 {
	cost := e.cost(now, ep, r.Units)
	if slices.Contains(r.triedEndpoints, ep.ID) {
		cost *= triedPenalty
	}
	if ep.Zone != e.cfg.Zone {
		cost *= crossZonePenalty
	}
	return cost * (1 + tieSpread*e.rng.Float64())
}

// cost is the seconds that units should take at an endpoint. One that is silent for longer than usual with
// attempts in flight costs that time on top: this guards against stalls and crashes.
func (e *Engine) cost(now time.Duration, ep *endpoint, units float64) float64 {
	drift := min(1, (now-ep.measuredAt).Seconds()/latencyDecay.Seconds())
	perUnit := ep.latencyPerUnit + drift*(e.latencyPerUnit-ep.latencyPerUnit)
	cost := max(perUnit, minCostPerUnit) * (ep.inFlightUnits + units) / ep.Weight
	if ep.inFlight > 0 {
		usual := 2 * e.latencyPerUnit * ep.inFlightUnits / float64(ep.inFlight)
		if silence := (now - ep.lastResponse).Seconds(); silence > usual {
			cost += silence
		}
	}
	return cost
}

// recordLatency averages the seconds that a unit took, at the endpoint and over all of them.
func (e *Engine) recordLatency(now time.Duration, ep *endpoint, perUnit float64) {
	e.latencyPerUnit = cmp.Or(e.latencyPerUnit, perUnit)
	e.latencyPerUnit += fleetSmoothing * (perUnit - e.latencyPerUnit)
	ep.latencyPerUnit = cmp.Or(ep.latencyPerUnit, perUnit)
	ep.latencyPerUnit += latencySmoothing * (perUnit - ep.latencyPerUnit)
	ep.measuredAt, ep.lastResponse = now, now
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
		if !ep.listed {
			delete(e.endpoints, ep.ID)
		}
	}
}
