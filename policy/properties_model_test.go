package policy

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// rule describes a rule that an engine must keep for any sequence of events.
type rule string

const (
	ruleOneAnswer     rule = "exactly one final answer, by the deadline"
	ruleReadyEndpoint rule = "forward to ready endpoints only"
	ruleNonIdempotent rule = "no retry of a non-idempotent request that may have been executed"
	ruleKeyScope      rule = "retry of a deduplicated request only within the scope and lifetime of its key"
	ruleRejection     rule = "no rejection after a possible execution"
	ruleInFlight      rule = "units in flight are counted, and released when the attempt ends"
	ruleLimits        rule = "the configured limits are kept"
)

// unitsTolerance bounds the rounding errors of sums of units, relative to the peak of units in flight.
const unitsTolerance = 1e-9

// modelGateway implements Actions as a real gateway would, ends each attempt by its deadline, and records each action
// that breaks a rule. It is deterministic: the same scenario leads to the same run.
type modelGateway struct {
	engine           *Engine
	cfg              Config
	now              time.Duration
	queue            eventQueue    // timers, and attempts that time out or are cancelled
	shutdownDeadline time.Duration // 0 until a shutdown begins
	dropStaleTimers  bool          // drops timers that are not pending instead of firing them

	endpoints         map[EndpointID]Endpoint // the endpoint list that the engine has received
	requests          []*modelRequest         // in order of their ids, which start at 1
	peakInFlightUnits float64                 // highest sum of units in flight so far
	log               []action                // all actions of the engine
	violated          map[rule][]string       // descriptions of the violations, by rule
	occurrences       map[situation]int       // number of times that each situation occurred
}

// action records one call of Actions.
type action struct {
	at       time.Duration
	name     string
	request  RequestID
	endpoint EndpointID
	attempt  int
	timer    Timer
	duration time.Duration // the call's duration or point in time, if any
}

// modelRequest holds a client's request, its attempts and the answers that the client has received.
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
	endpoint Endpoint // its list entry when the attempt was forwarded
	sentAt   time.Duration
	ended    bool
	status   Status
}

func newModelGateway(cfg Config, dropStaleTimers bool) *modelGateway {
	m := &modelGateway{
		cfg: cfg, now: time.Hour, dropStaleTimers: dropStaleTimers,
		endpoints: map[EndpointID]Endpoint{}, violated: map[rule][]string{}, occurrences: map[situation]int{},
	}
	m.engine = New(cfg, m)
	m.engine.Start(m.now)
	return m
}

func (m *modelGateway) recordViolation(violated rule, format string, values ...any) {
	m.violated[violated] = append(m.violated[violated], fmt.Sprintf("%v ", m.now)+fmt.Sprintf(format, values...))
}

func (m *modelGateway) record(called action) {
	called.at = m.now
	m.log = append(m.log, called)
}

// answeredOrDisconnected reports whether the request needs no further answer.
func (r *modelRequest) answeredOrDisconnected() bool { return r.answers > 0 || r.disconnected }

// inFlight returns the attempt that has not ended, or nil if there is none.
func (r *modelRequest) inFlight() *modelAttempt {
	for _, attempt := range r.attempts {
		if !attempt.ended {
			return attempt
		}
	}
	return nil
}

// firstPossibleExecution returns the first attempt that may have been executed, or nil. An attempt in flight counts.
func (r *modelRequest) firstPossibleExecution() *modelAttempt {
	for _, attempt := range r.attempts {
		notExecuted := attempt.status == StatusRejected || attempt.status == StatusConnectFailed ||
			attempt.status == StatusNotSent || attempt.status == StatusLocalFailure
		if !attempt.ended || !notExecuted {
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

// advance runs the events that are due within the given duration.
func (m *modelGateway) advance(duration time.Duration) {
	until := m.now + duration
	for due, ok := m.queue.popDue(until); ok; due, ok = m.queue.popDue(until) {
		m.now = due.at
		due.run()
	}
	m.now = until
}

func (m *modelGateway) submit(request Request) {
	request.ID = RequestID(len(m.requests) + 1)
	if m.shutdownDeadline > 0 {
		request.TimeLeft = min(request.TimeLeft, m.shutdownDeadline-m.now)
	}
	r := &modelRequest{Request: request, deadline: m.now + max(0, request.TimeLeft)}
	if request.Class >= 0 && request.Class < len(m.cfg.Classes) {
		r.class = m.cfg.Classes[request.Class]
	}
	m.requests = append(m.requests, r)
	m.engine.Submit(m.now, request)
}

// finish ends an attempt. A successful attempt is the final answer of its request.
func (m *modelGateway) finish(attempt *modelAttempt, result AttemptResult) {
	if attempt.ended {
		return
	}
	r := attempt.request
	attempt.ended, attempt.status = true, result.Status
	if result.Status == StatusOK && !r.answeredOrDisconnected() {
		r.answers++
	}
	result.Request, result.Attempt, result.Endpoint = r.ID, attempt.number, attempt.endpoint.ID
	result.RequestDone = r.answeredOrDisconnected()
	m.engine.AttemptFinished(m.now, result)
}

// endAt schedules the end of an attempt that has not ended by the given time.
func (m *modelGateway) endAt(at time.Duration, attempt *modelAttempt, status Status) {
	m.queue.add(max(m.now, at), func() {
		m.finish(attempt, AttemptResult{Status: status, Latency: m.now - attempt.sentAt})
	})
}

func (m *modelGateway) disconnect(r *modelRequest) {
	if r.answeredOrDisconnected() {
		return
	}
	if r.inFlight() != nil {
		m.occurrences[disconnectedDuringAttempt]++
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

func (m *modelGateway) shutDown(shutdownDeadline time.Duration) {
	if m.shutdownDeadline > 0 {
		return
	}
	m.shutdownDeadline = max(m.now, shutdownDeadline)
	for _, r := range m.requests {
		if r.answeredOrDisconnected() {
			continue
		}
		r.deadline = min(r.deadline, m.shutdownDeadline)
		if attempt := r.inFlight(); attempt != nil {
			m.endAt(r.deadline, attempt, StatusTimedOut)
		} else {
			m.occurrences[shutdownWhileQueued]++
		}
	}
	m.engine.BeginShutdown(m.now, shutdownDeadline)
}

func (m *modelGateway) fireTimer(timer Timer) {
	if !m.engine.TimerPending(timer) {
		m.occurrences[timerNotPending]++
		if m.dropStaleTimers {
			return
		}
	}
	m.engine.TimerFired(m.now, timer)
}

// checkOpenRequests checks the number of open requests against the configured limit.
func (m *modelGateway) checkOpenRequests() {
	open := 0
	for _, r := range m.requests {
		if !r.answeredOrDisconnected() {
			open++
		}
	}
	if m.cfg.MaxOpenRequests > 0 && open > m.cfg.MaxOpenRequests {
		m.recordViolation(ruleLimits, "%d requests are open, more than the limit", open)
	}
}

// checkInFlight compares the engine's counts of units in flight with the sums over the attempts in flight, within
// rounding errors.
func (m *modelGateway) checkInFlight() {
	want, wantAt := 0.0, map[EndpointID]float64{}
	for _, r := range m.requests {
		if attempt := r.inFlight(); attempt != nil {
			want += r.effectiveUnits()
			wantAt[attempt.endpoint.ID] += r.effectiveUnits()
		}
	}
	m.peakInFlightUnits = max(m.peakInFlightUnits, want)
	differ := func(a, b float64) bool { return math.Abs(a-b) > unitsTolerance*m.peakInFlightUnits }
	if differ(m.engine.inFlightUnits, want) {
		m.recordViolation(ruleInFlight, "%v units are counted in flight, want %v", m.engine.inFlightUnits, want)
	}
	for _, ep := range m.engine.endpointList {
		if differ(ep.inFlightUnits, wantAt[ep.ID]) {
			m.recordViolation(ruleInFlight, "%v units counted at endpoint %d, want %v", ep.inFlightUnits, ep.ID, wantAt[ep.ID])
		}
	}
}

// effectiveUnits returns the units that the engine counts for the request: 1 if the given units are invalid.
func (r *modelRequest) effectiveUnits() float64 {
	if !(r.Units > 0) || math.IsInf(r.Units, 0) {
		return 1
	}
	return r.Units
}

// completeAndCheck lets all regular deadlines pass, ends the attempts that are still in flight, and checks that each
// request has been answered and nothing is left in flight.
func (m *modelGateway) completeAndCheck() {
	m.advance(2 * maxRegularTimeLeft)
	for _, r := range m.requests {
		if attempt := r.inFlight(); attempt != nil {
			m.finish(attempt, AttemptResult{Latency: m.now - attempt.sentAt})
		}
	}
	for _, r := range m.requests {
		if r.answers == 0 && !r.disconnected {
			m.recordViolation(ruleOneAnswer, "request %d has no answer", r.ID)
		}
	}
	e := m.engine
	if len(e.requests) != 0 || len(e.orphans) != 0 || e.inFlightUnits != 0 {
		m.recordViolation(ruleInFlight, "%d requests, %d orphans and %v units are left",
			len(e.requests), len(e.orphans), e.inFlightUnits)
	}
	for _, ep := range e.endpointList {
		if ep.inFlight != 0 || ep.inFlightUnits != 0 {
			m.recordViolation(ruleInFlight, "endpoint %d has %d attempts, %v units left", ep.ID, ep.inFlight, ep.inFlightUnits)
		}
	}
	for _, c := range e.customerList {
		if c.openRequests != 0 || c.queuedRequests != 0 {
			m.recordViolation(ruleInFlight, "customer %d: %d open, %d queued requests", c.id, c.openRequests, c.queuedRequests)
		}
	}
}

// Forward implements Actions.
func (m *modelGateway) Forward(id RequestID, endpoint EndpointID, giveUpAt time.Duration) {
	m.record(action{name: "forward", request: id, endpoint: endpoint, duration: giveUpAt})
	r := m.request(id)
	if r == nil || r.answeredOrDisconnected() || m.now >= r.deadline || r.inFlight() != nil {
		m.recordViolation(ruleOneAnswer, "request %d is answered, late or in flight but forwarded", id)
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

// checkForward checks the rules on endpoints, retries and the number of attempts.
func (m *modelGateway) checkForward(r *modelRequest, endpoint EndpointID) {
	if m.cfg.MaxAttempts > 0 && len(r.attempts) >= m.cfg.MaxAttempts {
		m.recordViolation(ruleLimits, "request %d is forwarded after %d attempts", r.ID, len(r.attempts))
	}
	m.occurrences[requestForwarded]++
	ep := m.endpoints[endpoint]
	if ep.State != StateReady {
		m.recordViolation(ruleReadyEndpoint, "request %d is forwarded to endpoint %d in state %d", r.ID, endpoint, ep.State)
	}
	first := r.firstPossibleExecution()
	switch {
	case first == nil && len(r.attempts) > 0:
		m.occurrences[retriedAfterNoExecution]++
	case first == nil || r.class.Idempotency == Idempotent:
	case r.class.Idempotency == NonIdempotent:
		m.recordViolation(ruleNonIdempotent, "request %d is retried after status %d", r.ID, first.status)
	default:
		m.occurrences[retriedByIdempotencyKey]++
		sameZone := r.class.KeyScope != KeyScopeZone || ep.Zone == first.endpoint.Zone
		sameCell := r.class.KeyScope != KeyScopeCell || ep.Cell == first.endpoint.Cell
		if age := m.now - first.sentAt; age >= r.class.KeyTTL || !sameZone || !sameCell {
			m.recordViolation(ruleKeyScope, "request %d is retried: age of key %v, same zone %v, same cell %v",
				r.ID, age, sameZone, sameCell)
		}
	}
}

// recordAnswer counts a final answer by the engine. It returns nil if the request must not get one.
func (m *modelGateway) recordAnswer(id RequestID) *modelRequest {
	r := m.request(id)
	if r == nil || r.answeredOrDisconnected() || m.now > r.deadline {
		m.recordViolation(ruleOneAnswer, "request %d is unknown, already answered or late but gets an answer", id)
		return nil
	}
	r.answers++
	return r
}

// Reject implements Actions.
func (m *modelGateway) Reject(id RequestID, retryAfter time.Duration) {
	m.record(action{name: "reject", request: id, duration: retryAfter})
	r := m.recordAnswer(id)
	if r == nil {
		return
	}
	if first := r.firstPossibleExecution(); first != nil && r.class.Idempotency != Idempotent {
		m.recordViolation(ruleRejection, "request %d is rejected after status %d", id, first.status)
	}
}

// Fail implements Actions.
func (m *modelGateway) Fail(id RequestID) {
	m.record(action{name: "fail", request: id})
	m.occurrences[requestFailed]++
	m.recordAnswer(id)
}

// CancelAttempt implements Actions. The attempt's result follows as a separate event.
func (m *modelGateway) CancelAttempt(id RequestID, number int) {
	m.record(action{name: "cancel", request: id, attempt: number})
	if !m.cfg.CanCancel {
		m.recordViolation(ruleLimits, "request %d is cancelled though cancelling is off", id)
	}
	r := m.request(id)
	if r == nil {
		return
	}
	i := slices.IndexFunc(r.attempts, func(attempt *modelAttempt) bool { return attempt.number == number })
	if i >= 0 {
		m.occurrences[attemptCancelled]++
		m.endAt(m.now, r.attempts[i], StatusCancelled)
	}
}

// StartTimer implements Actions.
func (m *modelGateway) StartTimer(after time.Duration, timer Timer) {
	m.record(action{name: "start timer", timer: timer, duration: after})
	m.queue.add(m.now+max(0, after), func() { m.fireTimer(timer) })
}

// WatchEndpoints implements Actions.
func (m *modelGateway) WatchEndpoints(on bool) {
	m.record(action{name: map[bool]string{true: "watch", false: "stop watching"}[on]})
}
