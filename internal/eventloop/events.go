package eventloop

import (
	"time"

	"springfield/internal/counters"
	"springfield/internal/invariant"
	"springfield/internal/upstream"
	"springfield/policy"
)

// event is one input of the event loop. All implementations are shaped like a pointer, so that converting them to the
// interface allocates nothing.
type event interface {
	// apply handles the event on the goroutine of the event loop.
	apply(l *Loop)
}

// Submit passes a new call to the engine, whose commands follow on the call's channel. Once the event loop has stopped
// it rejects the call.
func (l *Loop) Submit(c *Call) {
	if !l.post(callSubmitted{c}) {
		invariant.Violated(invariant.Starting, c.id, "the event loop has stopped")
		c.commands <- Reject{}
	}
}

// FinishAttempt reports the result of the attempt that the last Forward command of the call started. If its status is
// policy.StatusOK the call is over and no more commands follow.
func (l *Loop) FinishAttempt(c *Call, result upstream.Result) {
	c.outcome = attemptOutcome{status: result.Status, hasUsage: result.HasUsage, usage: result.Usage}
	l.post(attemptFinished{c})
}

// DisconnectClient reports that the client of the call has closed its connection.
func (l *Loop) DisconnectClient(c *Call) { l.post(clientDisconnected{c}) }

// BeginShutdown sets a time by which every call is answered, those that come later included.
func (l *Loop) BeginShutdown(answerBy time.Duration) { l.post(&shutdownBegun{answerBy}) }

// post queues an event. It drops the event and reports false once the event loop has stopped.
func (l *Loop) post(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.stopped:
		return false
	}
}

// attemptEvents are the counts of attempts by how they ended.
var attemptEvents = [...]counters.Event{
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

// mayHaveRun reports whether an attempt that ended so, without the response to pass on, may have been executed.
func mayHaveRun(status policy.Status) bool {
	return status == policy.StatusServerError || status == policy.StatusTimedOut || status == policy.StatusReset ||
		status == policy.StatusCancelled
}

type callSubmitted struct{ call *Call }

func (e callSubmitted) apply(l *Loop) {
	c := e.call
	c.request.ID = l.newRequestID()
	if l.answerBy > 0 {
		c.deadline = min(c.deadline, l.answerBy)
	}
	c.request.TimeLeft = c.deadline - l.now
	l.calls[c.request.ID] = c
	l.engine.Submit(l.now, c.request)
}

// newRequestID returns the next id that no open call has. It is never 0.
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
	counters.Count(attemptEvents[c.outcome.status], c.id)
	if !c.mayHaveRun && mayHaveRun(c.outcome.status) {
		c.mayHaveRun, c.ranSince = true, c.attempt.sentAt
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
		// Even where the settings allow no cancellation: no endpoint has received any of it.
		c.attempt.upstream.AbortUnsent()
	}
	l.endCall(id, Abandon{}, counters.RequestAbandoned)
}

type shutdownBegun struct{ answerBy time.Duration }

func (e *shutdownBegun) apply(l *Loop) {
	l.answerBy = e.answerBy
	l.engine.BeginShutdown(l.now, e.answerBy)
	for _, c := range l.calls {
		c.deadline = min(c.deadline, e.answerBy)
		if c.attempt != nil && !c.attempt.finished {
			l.timers.add(&timer{due: c.deadline, attempt: c.attempt})
		}
	}
}
