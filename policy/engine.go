package policy

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Engine decides for one gateway. It is not safe for concurrent use.
type Engine struct {
	cfg       Config
	actions   Actions
	rng       *rand.Rand
	startedAt time.Duration

	requests map[RequestID]*request
	orphans  map[RequestID]*request // finished ones with an attempt still in flight

	customers    map[CustomerID]*customer
	customerList []*customer // in order of arrival, so that the manager's pass is deterministic
	bandwidth    bandwidthManager
	overuse      overuseModel
	reasons      reasonLog

	endpoints    map[EndpointID]*endpoint
	endpointList []*endpoint // the present ones by rank
	readyWeight  float64     // summed weight of the ready endpoints

	latencyRatio       float64       // smoothed latency over latency objective
	overloaded         bool          // pressure is too high
	gatewayLimit       float64       // units in flight that this gateway may have at all endpoints together
	inFlight           int           // attempts at all endpoints together
	inFlightUnits      float64       // and their units
	pausedUntil        time.Duration // no forwarding before; set while limit is under one unit
	latencyPerUnit     float64       // seconds, smoothed over all endpoints
	retryTokens        float64
	forwardRate        float64 // units a second forwarded to all endpoints, a slow average
	forwardedUnits     float64 // since the last pass of the manager
	admittedUnits      float64 // of all requests that the quotas have let in
	demandRate         float64 // units a second of these, a fast average
	admittedAtLastPass float64 // admittedUnits at the last pass of the manager
}

// request is an admitted or queued request that still lacks its final answer.
type request struct {
	Request
	class           *Class
	customer        *customer
	arrivedAt       time.Duration
	deadline        time.Duration // of the final answer
	queued          bool          // held, or waiting for an endpoint
	forwarded       bool          // counted in the customer's usage
	attempts        int
	currentEndpoint *endpoint // of the present attempt, nil without one
	currentAttempt  int       // its number
	sentAt          time.Duration
	responseStarted bool
	limitLowered    bool      // this attempt has lowered the fleet limit
	mayHaveRunOn    *endpoint // of the first attempt that may have been executed
	mayHaveRunAt    time.Duration
	triedEndpoints  []EndpointID
}

// New returns an engine that knows nothing but its configuration.
func New(cfg Config, actions Actions) *Engine {
	return &Engine{
		cfg: cfg, actions: actions, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.GatewayIndex))),
		requests: map[RequestID]*request{}, orphans: map[RequestID]*request{},
		customers: map[CustomerID]*customer{}, endpoints: map[EndpointID]*endpoint{},
		overuse: newOveruseModel(&cfg), retryTokens: maxRetryTokens,
	}
}

// Start begins the engine's life at the given time.
func (e *Engine) Start(now time.Duration) {
	e.startedAt, e.bandwidth.lastRun = now, now
	e.actions.StartTimer(bandwidthManagerPeriod, Timer{Kind: TimerBandwidthManager})
	if e.cfg.PolledEndpoints {
		e.actions.WatchEndpoints(true)
	}
}

// Submit takes a client's request, which is owed one final answer.
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

// ResponseStarted tells that an answer has begun to stream to the client.
func (e *Engine) ResponseStarted(now time.Duration, id RequestID, attempt int, endpoint EndpointID) {
	if ep := e.endpoints[endpoint]; ep != nil {
		ep.lastResponseAt = now
	}
	if r := e.requests[id]; r != nil && r.currentEndpoint != nil && r.currentAttempt == attempt {
		r.responseStarted = true
	}
}

// AttemptFinished takes the result of one attempt, and may start another.
func (e *Engine) AttemptFinished(now time.Duration, result AttemptResult) {
	ep := e.endpoints[result.Endpoint] // releaseInFlight may forget it
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

// ClientDisconnected tells that the client has gone and is owed nothing any more.
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

// BeginShutdown brings the deadline of each open request forward to answerBy. Later ones bring their own.
func (e *Engine) BeginShutdown(now, answerBy time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		r := e.requests[id]
		r.deadline = min(r.deadline, max(now, answerBy))
		if r.queued {
			e.actions.StartTimer(r.deadline-now, Timer{Kind: TimerRelease, Request: id})
		}
	}
}

// TimerFired tells that a timer is due. One that is no longer pending is ignored.
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

// TimerPending reports whether a timer would still have an effect. One that would not may be dropped.
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

// removeRequest forgets a request that has its final answer or needs none.
func (e *Engine) removeRequest(r *request) {
	if r.queued {
		r.queued = false
		r.customer.queuedRequests--
	}
	if r.forwarded {
		r.customer.openRequests--
	}
	if r.currentEndpoint != nil {
		e.orphans[r.ID] = r
	}
	delete(e.requests, r.ID)
}

// seconds converts to a duration; what is not a number or too large becomes a million seconds.
func seconds(s float64) time.Duration {
	if !(s < 1e6) {
		return 1e6 * time.Second
	}
	return time.Duration(s * float64(time.Second))
}
