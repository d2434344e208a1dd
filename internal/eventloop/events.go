package eventloop

import (
	"time"

	"springfield/internal/counters"
	"springfield/internal/invariant"
	"springfield/internal/upstream"
	"springfield/policy"
)

// event is one input of the event loop. Every implementation is pointer-shaped, so that converting it to the interface
// allocates nothing.
type event interface {
	// apply handles the event. It runs on the event loop's goroutine.
	apply(l *Loop)
}

// Submit passes a new call to the engine. The engine's commands follow on the call's channel. If the event loop has
// stopped, the call is rejected.
func (l *Loop) Submit(c *Call) {
	if !l.post(callSubmitted{c}) {
		invariant.RecordViolation(invariant.Starting, c.id, "the event loop has stopped")
		c.commands <- Reject{}
	}
}

// FinishAttempt reports the result of the attempt that the call's latest Forward command started. If the status is
// policy.StatusOK, the call has ended and no more commands follow.
func (l *Loop) FinishAttempt(c *Call, result upstream.Result) {
	c.outcome = attemptOutcome{status: result.Status, hasUsage: result.HasUsage, usage: result.Usage}
	l.post(attemptFinished{c})
}

// DisconnectClient reports that the call's client has closed its connection.
func (l *Loop) DisconnectClient(c *Call) { l.post(clientDisconnected{c}) }

// BeginShutdown sets a deadline for all calls, including those that are submitted later.
func (l *Loop) BeginShutdown(deadline time.Duration) { l.post(&shutdownBegun{deadline}) }

// post queues an event. It drops the event and reports false once the event loop has stopped.
func (l *Loop) post(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.stopped:
		return false
	}
}

// attemptEventByStatus maps the status of an attempt to the event under which the attempt is counted.
var attemptEventByStatus = [...]counters.Event{
	policy.StatusOK:            counters.AttemptOK,
	policy.StatusServerError:   counters.AttemptServerError,
	policy.StatusRejected:      counters.AttemptRejected,
	policy.StatusTimedOut:      counters.AttemptTimedOut,
	policy.StatusConnectFailed: counters.AttemptConnectFailed,
	policy.StatusReset:         counters.AttemptReset,
	policy.StatusCancelled:     counters.AttemptCancelled,
	policy.StatusNotSent:       counters.AttemptNotSent,
	policy.StatusLocalFailure:  counters.AttemptLocalFailure,
}

// mayHaveRun reports whether an attempt with this status may have been executed without delivering a response that can
// be passed on.
func mayHaveRun(status policy.Status) bool {
	return status == policy.StatusServerError || status == policy.StatusTimedOut || status == policy.StatusReset ||
		status == policy.StatusCancelled
}

type callSubmitted struct{ call *Call }

func (e callSubmitted) apply(l *Loop) {
	c := e.call
	c.request.ID = l.newRequestID()
	if l.shutdownDeadline > 0 {
		c.deadline = min(c.deadline, l.shutdownDeadline)
	}
	c.request.TimeLeft = c.deadline - l.now
	l.calls[c.request.ID] = c
	l.engine.Submit(l.now, c.request)
}

// newRequestID returns the next ID that no open call uses. It is never 0.
func (l *Loop) newRequestID() policy.RequestID {
	for {
		l.lastRequestID++
		if l.lastRequestID != 0 && l.calls[l.lastRequestID] == nil {
			return l.lastRequestID
		}
	}
}

type attemptFinished struct{ call *Call }

func (e attemptFinished) apply(l *Loop) {
	c, id := e.call, e.call.request.ID
	c.attempt.finished = true
	counters.Count(attemptEventByStatus[c.outcome.status], c.id)
	if !c.mayHaveRun && mayHaveRun(c.outcome.status) {
		c.mayHaveRun, c.mayHaveRunSince = true, c.attempt.sentAt
	}
	open := l.calls[id] == c
	succeeded := c.outcome.status == policy.StatusOK
	if open && succeeded {
		delete(l.calls, id) // the client's goroutine is already writing the response
		counters.Count(counters.RequestServed, c.id)
	}
	l.engine.AttemptFinished(l.now, policy.AttemptResult{
		Request:     id,
		Attempt:     c.attempt.number,
		Endpoint:    c.attempt.endpoint,
		Status:      c.outcome.status,
		Latency:     l.now - c.attempt.sentAt,
		RequestDone: succeeded || !open,
		HasUsage:    c.outcome.hasUsage,
		Usage:       c.outcome.usage,
	})
}

type clientDisconnected struct{ call *Call }

func (e clientDisconnected) apply(l *Loop) {
	c, id := e.call, e.call.request.ID
	if l.calls[id] != c {
		return
	}
	l.engine.ClientDisconnected(l.now, id)
	if c.attempt != nil {
		// An attempt that has not been sent is aborted even if the settings forbid cancellation, because no endpoint has
		// received any part of it.
		c.attempt.upstream.AbortUnsent()
	}
	l.endCall(id, Abandon{}, counters.RequestAbandoned)
}

type shutdownBegun struct{ shutdownDeadline time.Duration }

func (e *shutdownBegun) apply(l *Loop) {
	l.shutdownDeadline = e.shutdownDeadline
	l.engine.BeginShutdown(l.now, e.shutdownDeadline)
	for _, c := range l.calls {
		c.deadline = min(c.deadline, e.shutdownDeadline)
		if c.attempt != nil && !c.attempt.finished {
			l.timers.add(&timer{dueAt: c.deadline, attempt: c.attempt})
		}
	}
}
