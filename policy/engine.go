package policy

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Engine makes the decisions of one gateway. It is not safe for concurrent use.
type Engine struct {
	cfg       Config
	actions   Actions
	rng       *rand.Rand
	startedAt time.Duration

	requests map[RequestID]*request
	orphans  map[RequestID]*request // finished requests with an attempt still in flight

	customers    map[CustomerID]*customer
	customerList []*customer // in order of arrival, so that passes of the bandwidth manager are deterministic
	bandwidth    bandwidthManager
	overuse      overuseModel
	reasons      reasonLog

	endpoints    map[EndpointID]*endpoint
	endpointList []*endpoint // listed endpoints in order of rank
	readyWeight  float64     // total weight of the ready endpoints

	latencyRatio    float64       // smoothed ratio of latency to latency objective
	overloaded      bool          // latencyRatio shows overload, with hysteresis
	gatewayLimit    float64       // limit on this gateway's units in flight at all endpoints together
	inFlight        int           // attempts in flight at all endpoints together
	inFlightUnits   float64       // units in flight at all endpoints together
	pausedUntil     time.Duration // end of a pause in forwarding; set while gatewayLimit is below one unit
	latencyPerUnit  float64       // seconds per unit, smoothed over all endpoints
	lastForwardedAt time.Duration // start of the latest attempt
	retryTokens     float64       // retry budget; each retry takes one token

	servedRate           float64       // units per second that endpoints served, a slow moving average
	readyWeightAverage   float64       // moving average of readyWeight over the same time as servedRate
	servedUnits          float64       // units that endpoints served since the last update of the rates
	demandRate           float64       // units per second admitted, a fast moving average
	admittedUnits        float64       // units of all requests admitted since the start
	admittedAtLastUpdate float64       // admittedUnits at the last update of the rates
	ratesUpdatedAt       time.Duration // time of the last update of the rates
}

// request is the state of a request that has been submitted. It is kept until the request has its final
// answer and none of its attempts is in flight.
type request struct {
	Request
	class           *Class
	customer        *customer
	arrivedAt       time.Duration
	deadline        time.Duration // time by which the final answer is due
	queued          bool          // delayed by pacing or a ceiling, or waiting for an endpoint with capacity
	ceilingReserved bool          // its units are reserved in the customer's ceiling
	ceilingAttempt  int           // index of the attempt that took the units of the ceiling
	forwarded       bool          // counted in the customer's usage
	attempts        int           // number of attempts so far
	currentEndpoint *endpoint     // endpoint of the attempt in flight; nil if none is
	currentAttempt  int           // index of the latest attempt
	sentAt          time.Duration // start of the latest attempt
	responseStarted bool          // an answer has begun to stream to the client
	limitLowered    bool          // the latest attempt has already lowered the gateway limit
	mayHaveRunOn    *endpoint     // endpoint of the first attempt that may have been executed, or nil
	mayHaveRunAt    time.Duration // start of the first attempt that may have been executed
	triedEndpoints  []EndpointID
}

// New returns an engine without customers, endpoints or requests.
func New(cfg Config, actions Actions) *Engine {
	return &Engine{
		cfg: cfg, actions: actions, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.GatewayIndex))),
		requests: map[RequestID]*request{}, orphans: map[RequestID]*request{},
		customers: map[CustomerID]*customer{}, endpoints: map[EndpointID]*endpoint{},
		overuse: newOveruseModel(&cfg), retryTokens: maxRetryTokens,
	}
}

// Start starts the bandwidth manager and, if they must be polled, the endpoint updates.
func (e *Engine) Start(now time.Duration) {
	e.startedAt, e.ratesUpdatedAt, e.bandwidth.lastRun = now, now, now
	e.actions.StartTimer(bandwidthManagerPeriod, Timer{Kind: TimerBandwidthManager})
	if e.cfg.PolledEndpoints {
		e.actions.WatchEndpoints(true)
	}
}

// Submit handles a new request of a client, which must get exactly one final answer.
func (e *Engine) Submit(now time.Duration, req Request) {
	if req.Class < 0 || req.Class >= len(e.cfg.Classes) || req.TimeLeft <= 0 {
		e.reasons.record(RefusedInvalid)
		e.actions.Reject(req.ID, 0)
		return
	}
	if !(req.Units > 0) || math.IsInf(req.Units, 0) {
		req.Units = 1
	}
	r := &request{Request: req, class: &e.cfg.Classes[req.Class], arrivedAt: now, deadline: now + req.TimeLeft}
	r.customer = e.customerFor(now, &req)
	e.requests[req.ID] = r
	e.retryTokens = min(maxRetryTokens, e.retryTokens+retryTokensPerRequest)
	e.admit(now, r)
}

// ResponseStarted records that an answer has begun to stream to the client.
func (e *Engine) ResponseStarted(now time.Duration, id RequestID, attempt int, endpoint EndpointID) {
	if ep := e.endpoints[endpoint]; ep != nil {
		ep.lastResponseAt = now
	}
	if r := e.requests[id]; r != nil && r.currentEndpoint != nil && r.currentAttempt == attempt {
		r.responseStarted = true
	}
}

// AttemptFinished handles the result of one attempt and may start another attempt.
func (e *Engine) AttemptFinished(now time.Duration, result AttemptResult) {
	ep := e.endpoints[result.Endpoint] // looked up first, because releaseInFlight may delete it
	r := e.requests[result.Request]
	current := r != nil && r.currentEndpoint != nil && r.currentAttempt == result.Attempt
	units := 1.0
	if current {
		units = r.Units
		e.releaseInFlight(r.currentEndpoint, units)
	} else if orphan, ok := e.orphans[result.Request]; ok && r == nil {
		units = orphan.Units
		e.releaseInFlight(orphan.currentEndpoint, units)
		delete(e.orphans, result.Request)
	}
	if ep != nil {
		e.recordResult(now, ep, result, units, r)
	}
	if r == nil {
		return
	}
	e.recordReading(now, r, result, current)
	switch result.Status {
	case StatusOK:
		e.recordLatencyRatio(result.Latency.Seconds() / r.class.LatencyObjective.Seconds())
	case StatusRejected, StatusTimedOut:
		e.recordLatencyRatio(maxLatencyRatio)
	}
	if current {
		r.endAttempt(result.Status)
		e.returnCeiling(now, r, result.Status)
	}
	switch {
	case result.RequestDone:
		e.removeRequest(r)
	case current && result.Status == StatusLocalFailure:
		e.requeueOrFinish(now, r)
	case current:
		e.retryOrFinish(now, r)
	}
}

// ClientDisconnected handles the loss of a client, whose request needs no answer any more.
func (e *Engine) ClientDisconnected(_ time.Duration, id RequestID) {
	r := e.requests[id]
	if r == nil {
		return
	}
	if r.currentEndpoint != nil && e.cfg.CanCancel && !r.responseStarted {
		e.actions.CancelAttempt(id, r.currentAttempt)
	}
	e.removeRequest(r)
}

// BeginShutdown moves the deadline of each open request forward to answerBy. It does not change the deadlines
// of requests that are submitted later.
func (e *Engine) BeginShutdown(now, answerBy time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		r := e.requests[id]
		r.deadline = min(r.deadline, max(now, answerBy))
		if r.queued {
			e.actions.StartTimer(r.deadline-now, Timer{Kind: TimerRelease, Request: id})
		}
	}
}

// TimerFired handles a timer that is due. A timer that is no longer pending is ignored.
func (e *Engine) TimerFired(now time.Duration, timer Timer) {
	if !e.TimerPending(timer) {
		return
	}
	r := e.requests[timer.Request]
	switch timer.Kind {
	case TimerBandwidthManager:
		e.runBandwidthManager(now)
		e.actions.StartTimer(bandwidthManagerPeriod, timer)
	case TimerWatch:
		e.actions.WatchEndpoints(true)
	case TimerRelease:
		r.queued = false
		r.customer.queuedRequests--
		e.dispatch(now, r)
	case TimerSilence:
		e.checkSilence(now, r)
	}
}

// TimerPending reports whether a timer would still have an effect. A timer that would not may be dropped.
func (e *Engine) TimerPending(timer Timer) bool {
	r := e.requests[timer.Request]
	switch timer.Kind {
	case TimerRelease:
		return r != nil && r.queued
	case TimerSilence:
		return r != nil && r.currentEndpoint != nil && r.currentAttempt == timer.Attempt
	}
	return true
}

// removeRequest removes a request that has its final answer or needs none. While an attempt of it is in
// flight, it stays among the orphans, so that the units of the attempt can be released.
func (e *Engine) removeRequest(r *request) {
	if r.queued {
		r.queued = false
		r.customer.queuedRequests--
	}
	r.releaseCeiling()
	if r.forwarded {
		r.customer.openRequests--
	}
	if r.currentEndpoint != nil {
		e.orphans[r.ID] = r
	}
	delete(e.requests, r.ID)
}

// seconds converts seconds to a duration. NaN and values of 1e6 and more become a million seconds.
func seconds(s float64) time.Duration {
	if !(s < 1e6) {
		return 1e6 * time.Second
	}
	return time.Duration(s * float64(time.Second))
}
