package policy

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// rule names one of the rules that every engine keeps, whatever events it gets.
type rule string

const (
	ruleOneAnswer     rule = "exactly one final answer, by the deadline"
	ruleReadyEndpoint rule = "forward to ready endpoints only"
	ruleNonIdempotent rule = "no repeat of a non-idempotent request that may have run"
	ruleKeyScope      rule = "a deduplicated request is repeated within the scope and life of its key only"
	ruleRejection     rule = "no rejection after a possible execution"
	ruleRelease       rule = "what is in flight is counted, and released at its end"
	ruleLimits        rule = "the configured limits are kept"
)

// unitsTolerance bounds the rounding errors of sums, relative to their largest term.
const unitsTolerance = 1e-9

// modelGateway is a gateway around an engine. It carries out the engine's actions as a real gateway would, ends each
// attempt in time, and notes where an action breaks a rule. The same scenario leads to the same run.
type modelGateway struct {
	engine     *Engine
	cfg        Config
	now        time.Duration
	queue      eventQueue // timers, time-outs and cancellations
	answerBy   time.Duration
	dropTimers bool // timers that are not pending are dropped instead of fired

	endpoints    map[EndpointID]Endpoint // as the engine was last told
	requests     []*modelRequest         // by id, from 1
	mostInFlight float64                 // units at once, up to now
	log          []action                // all of them
	broken       map[rule][]string
	seen         map[situation]int
}

// action is one call of Actions.
type action struct {
	at       time.Duration
	name     string
	request  RequestID
	endpoint EndpointID
	attempt  int
	timer    Timer
	duration time.Duration // or a time
}

// modelRequest is a request as its client knows it.
type modelRequest struct {
	Request
	class        Class
	deadline     time.Duration
	answers      int
	disconnected bool
	attempts     []*modelAttempt
}

type modelAttempt struct {
	request  *modelRequest
	number   int
	endpoint Endpoint // as it was listed when the attempt was forwarded
	sentAt   time.Duration
	ended    bool
	status   Status
}

func newModelGateway(cfg Config, dropTimers bool) *modelGateway {
	m := &modelGateway{
		cfg: cfg, now: time.Hour, dropTimers: dropTimers,
		endpoints: map[EndpointID]Endpoint{}, broken: map[rule][]string{}, seen: map[situation]int{},
	}
	m.engine = New(cfg, m)
	m.engine.Start(m.now)
	return m
}

func (m *modelGateway) violate(broken rule, format string, values ...any) {
	m.broken[broken] = append(m.broken[broken], fmt.Sprintf("%v ", m.now)+fmt.Sprintf(format, values...))
}

func (m *modelGateway) record(done action) {
	done.at = m.now
	m.log = append(m.log, done)
}

// closed reports whether nothing is owed to the client any more.
func (r *modelRequest) closed() bool { return r.answers > 0 || r.disconnected }

// inFlight returns the attempt that has not ended, or nil.
func (r *modelRequest) inFlight() *modelAttempt {
	for _, attempt := range r.attempts {
		if !attempt.ended {
			return attempt
		}
	}
	return nil
}

// mayHaveRun returns the first attempt that may have been executed, or nil. One in flight is among them.
func (r *modelRequest) mayHaveRun() *modelAttempt {
	for _, attempt := range r.attempts {
		neverRan := attempt.status == StatusRejected || attempt.status == StatusConnectFailed ||
			attempt.status == StatusNotSent
		if !attempt.ended || !neverRan {
			return attempt
		}
	}
	return nil
}

func (m *modelGateway) request(id RequestID) *modelRequest {
	if id == 0 || int(id) > len(m.requests) {
		return nil
	}
	return m.requests[id-1]
}

// advance fires what is due within the given time.
func (m *modelGateway) advance(by time.Duration) {
	until := m.now + by
	for due, ok := m.queue.popDue(until); ok; due, ok = m.queue.popDue(until) {
		m.now = due.at
		due.run()
	}
	m.now = until
}

func (m *modelGateway) submit(request Request) {
	request.ID = RequestID(len(m.requests) + 1)
	if m.answerBy > 0 {
		request.TimeLeft = min(request.TimeLeft, m.answerBy-m.now)
	}
	r := &modelRequest{Request: request, deadline: m.now + max(0, request.TimeLeft)}
	if request.Class >= 0 && request.Class < len(m.cfg.Classes) {
		r.class = m.cfg.Classes[request.Class]
	}
	m.requests = append(m.requests, r)
	m.engine.Submit(m.now, request)
}

// finish ends an attempt. A client whose attempt succeeds has its final answer.
func (m *modelGateway) finish(attempt *modelAttempt, result AttemptResult) {
	if attempt.ended {
		return
	}
	r := attempt.request
	attempt.ended, attempt.status = true, result.Status
	if result.Status == StatusOK && !r.closed() {
		r.answers++
	}
	result.Request, result.Attempt, result.Endpoint = r.ID, attempt.number, attempt.endpoint.ID
	result.RequestDone = r.closed()
	m.engine.AttemptFinished(m.now, result)
}

// endAt ends an attempt at the given time unless it has ended by then.
func (m *modelGateway) endAt(at time.Duration, attempt *modelAttempt, status Status) {
	m.queue.add(max(m.now, at), func() {
		m.finish(attempt, AttemptResult{Status: status, Latency: m.now - attempt.sentAt})
	})
}

func (m *modelGateway) disconnect(r *modelRequest) {
	if r.closed() {
		return
	}
	if r.inFlight() != nil {
		m.seen[disconnectedInFlight]++
	}
	r.disconnected = true
	m.engine.ClientDisconnected(m.now, r.ID)
}

func (m *modelGateway) update(kind UpdateKind, list []Endpoint) {
	if kind == UpdateFull || kind == UpdateCached {
		clear(m.endpoints)
	}
	if kind != UpdateFailed {
		for _, ep := range list {
			m.endpoints[ep.ID] = ep
		}
	}
	m.engine.UpdateEndpoints(m.now, kind, list)
}

func (m *modelGateway) shutDown(answerBy time.Duration) {
	if m.answerBy > 0 {
		return
	}
	m.answerBy = max(m.now, answerBy)
	for _, r := range m.requests {
		if r.closed() {
			continue
		}
		r.deadline = min(r.deadline, m.answerBy)
		if attempt := r.inFlight(); attempt != nil {
			m.endAt(r.deadline, attempt, StatusTimedOut)
		} else {
			m.seen[shutdownWhileQueued]++
		}
	}
	m.engine.BeginShutdown(m.now, answerBy)
}

func (m *modelGateway) fire(timer Timer) {
	if !m.engine.TimerPending(timer) {
		m.seen[timerNotPending]++
		if m.dropTimers {
			return
		}
	}
	m.engine.TimerFired(m.now, timer)
}

// checkOpenRequests compares the number of open requests with the limit.
func (m *modelGateway) checkOpenRequests() {
	open := 0
	for _, r := range m.requests {
		if !r.closed() {
			open++
		}
	}
	if m.cfg.MaxOpenRequests > 0 && open > m.cfg.MaxOpenRequests {
		m.violate(ruleLimits, "%d requests are open", open)
	}
}

// checkInFlight compares the units in flight that the engine counts with those of the attempts. Sums of floating-point
// numbers may differ by a little.
func (m *modelGateway) checkInFlight() {
	want, wantAt := 0.0, map[EndpointID]float64{}
	for _, r := range m.requests {
		if attempt := r.inFlight(); attempt != nil {
			want += r.effectiveUnits()
			wantAt[attempt.endpoint.ID] += r.effectiveUnits()
		}
	}
	m.mostInFlight = max(m.mostInFlight, want)
	differ := func(a, b float64) bool { return math.Abs(a-b) > unitsTolerance*m.mostInFlight }
	if differ(m.engine.inFlightUnits, want) {
		m.violate(ruleRelease, "%v units in flight are counted, want %v", m.engine.inFlightUnits, want)
	}
	for _, ep := range m.engine.endpointList {
		if differ(ep.inFlightUnits, wantAt[ep.ID]) {
			m.violate(ruleRelease, "%v units at endpoint %d, want %v", ep.inFlightUnits, ep.ID, wantAt[ep.ID])
		}
	}
}

// effectiveUnits is what the request counts as: 1 if its units make no sense.
func (r *modelRequest) effectiveUnits() float64 {
	if !(r.Units > 0) || math.IsInf(r.Units, 0) {
		return 1
	}
	return r.Units
}

// settle lets all deadlines of a usual length pass, ends the attempts that are then still in flight, and checks what
// must hold in the end.
func (m *modelGateway) settle() {
	m.advance(2 * longestUsualDeadline)
	for _, r := range m.requests {
		if attempt := r.inFlight(); attempt != nil {
			m.finish(attempt, AttemptResult{Latency: m.now - attempt.sentAt})
		}
	}
	for _, r := range m.requests {
		if r.answers == 0 && !r.disconnected {
			m.violate(ruleOneAnswer, "request %d has no answer", r.ID)
		}
	}
	e := m.engine
	if len(e.requests) != 0 || len(e.orphans) != 0 || e.inFlightUnits != 0 {
		m.violate(ruleRelease, "%d requests, %d orphans, %v units", len(e.requests), len(e.orphans), e.inFlightUnits)
	}
	for _, ep := range e.endpointList {
		if ep.inFlight != 0 || ep.inFlightUnits != 0 {
			m.violate(ruleRelease, "endpoint %d: %d attempts, %v units", ep.ID, ep.inFlight, ep.inFlightUnits)
		}
	}
	for _, c := range e.customerList {
		if c.openRequests != 0 || c.queuedRequests != 0 {
			m.violate(ruleRelease, "customer %d: %d open, %d held", c.id, c.openRequests, c.queuedRequests)
		}
	}
}

// Forward implements Actions.
func (m *modelGateway) Forward(id RequestID, endpoint EndpointID, giveUpAt time.Duration) {
	m.record(action{name: "forward", request: id, endpoint: endpoint, duration: giveUpAt})
	r := m.request(id)
	if r == nil || r.closed() || m.now >= r.deadline || r.inFlight() != nil {
		m.violate(ruleOneAnswer, "request %d is closed, late or in flight and is forwarded", id)
		return
	}
	m.checkForward(r, endpoint)
	listed := m.endpoints[endpoint]
	listed.ID = endpoint
	attempt := &modelAttempt{request: r, number: len(r.attempts), endpoint: listed, sentAt: m.now}
	r.attempts = append(r.attempts, attempt)
	end := r.deadline
	if giveUpAt > 0 {
		end = min(end, giveUpAt)
	}
	m.endAt(end, attempt, StatusTimedOut)
}

// checkForward checks the rules on endpoints and on repeats.
func (m *modelGateway) checkForward(r *modelRequest, endpoint EndpointID) {
	if m.cfg.MaxAttempts > 0 && len(r.attempts) >= m.cfg.MaxAttempts {
		m.violate(ruleLimits, "request %d after %d attempts", r.ID, len(r.attempts))
	}
	m.seen[forwarded]++
	ep := m.endpoints[endpoint]
	if ep.State != StateReady {
		m.violate(ruleReadyEndpoint, "request %d to endpoint %d in state %d", r.ID, endpoint, ep.State)
	}
	first := r.mayHaveRun()
	switch {
	case first == nil && len(r.attempts) > 0:
		m.seen[retriedNeverRun]++
	case first == nil || r.class.Idempotency == Idempotent:
	case r.class.Idempotency == NonIdempotent:
		m.violate(ruleNonIdempotent, "request %d after status %d", r.ID, first.status)
	default:
		m.seen[repeatedByKey]++
		sameZone := r.class.KeyScope != KeyScopeZone || ep.Zone == first.endpoint.Zone
		sameCell := r.class.KeyScope != KeyScopeCell || ep.Cell == first.endpoint.Cell
		if age := m.now - first.sentAt; age >= r.class.KeyTTL || !sameZone || !sameCell {
			m.violate(ruleKeyScope, "request %d: key of age %v, same zone %v, same cell %v", r.ID, age, sameZone, sameCell)
		}
	}
}

// answer counts a final answer that the engine gives.
func (m *modelGateway) answer(id RequestID) *modelRequest {
	r := m.request(id)
	if r == nil || r.closed() || m.now > r.deadline {
		m.violate(ruleOneAnswer, "request %d is unknown, closed or late and gets an answer", id)
		return nil
	}
	r.answers++
	return r
}

// Reject implements Actions.
func (m *modelGateway) Reject(id RequestID, retryAfter time.Duration) {
	m.record(action{name: "reject", request: id, duration: retryAfter})
	r := m.answer(id)
	if r == nil {
		return
	}
	if first := r.mayHaveRun(); first != nil && r.class.Idempotency != Idempotent {
		m.violate(ruleRejection, "request %d after status %d", id, first.status)
	}
}

// Fail implements Actions.
func (m *modelGateway) Fail(id RequestID) {
	m.record(action{name: "fail", request: id})
	m.seen[failed]++
	m.answer(id)
}

// CancelAttempt implements Actions. The result is an event of its own.
func (m *modelGateway) CancelAttempt(id RequestID, number int) {
	m.record(action{name: "cancel", request: id, attempt: number})
	if !m.cfg.CanCancel {
		m.violate(ruleLimits, "request %d is cancelled", id)
	}
	r := m.request(id)
	if r == nil {
		return
	}
	i := slices.IndexFunc(r.attempts, func(attempt *modelAttempt) bool { return attempt.number == number })
	if i >= 0 {
		m.seen[cancelled]++
		m.endAt(m.now, r.attempts[i], StatusCancelled)
	}
}

// StartTimer implements Actions.
func (m *modelGateway) StartTimer(after time.Duration, timer Timer) {
	m.record(action{name: "start timer", timer: timer, duration: after})
	m.queue.add(m.now+max(0, after), func() { m.fire(timer) })
}

// WatchEndpoints implements Actions.
func (m *modelGateway) WatchEndpoints(on bool) {
	m.record(action{name: map[bool]string{true: "watch", false: "stop watching"}[on]})
}
