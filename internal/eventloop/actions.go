package eventloop

import (
	"context"
	"log/slog"
	"time"

	"springfield/internal/counters"
	"springfield/internal/invariant"
	"springfield/internal/upstream"
	"springfield/policy"
)

// actions implements policy.Actions for the event loop. The engine calls it while the loop handles an event.
type actions struct{ loop *Loop }

var _ policy.Actions = actions{}

// Forward starts an attempt, which is aborted at the given time or at the call's deadline, whichever is earlier. An
// abortAt of 0 stands for the deadline.
func (a actions) Forward(id policy.RequestID, endpoint policy.EndpointID, abortAt time.Duration) {
	l := a.loop
	c := l.calls[id]
	if c == nil {
		return
	}
	if abortAt <= 0 || abortAt > c.deadline {
		abortAt = c.deadline
	}
	target := l.endpoints[endpoint]
	if allowed, reason := c.attemptAllowed(l.now, &l.classes[c.request.Class]); !allowed {
		invariant.RecordViolation(invariant.Repeating, c.id, reason)
		target = nil // an attempt without an endpoint is not sent
	}
	c.attempt = &attempt{
		upstream: upstream.NewAttempt(target, l.clock.ToTime(abortAt)),
		endpoint: endpoint,
		number:   c.attempts,
		sentAt:   l.now,
	}
	c.attempts++
	c.attempt.timeout = timer{dueAt: abortAt, attempt: c.attempt}
	l.timers.add(&c.attempt.timeout)
	c.commands <- Forward{Attempt: c.attempt.upstream}
}

// Reject ends a call with a response that allows its client to retry safely.
func (a actions) Reject(id policy.RequestID, retryAfter time.Duration) {
	a.loop.endCall(id, Reject{RetryAfter: retryAfter}, counters.RequestRejected)
}

// Fail ends a call whose request may have been executed.
func (a actions) Fail(id policy.RequestID) { a.loop.endCall(id, Fail{}, counters.RequestFailed) }

// CancelAttempt aborts an attempt if it is the latest of its call. Its result follows once its connection is closed.
func (a actions) CancelAttempt(id policy.RequestID, number int) {
	c := a.loop.calls[id]
	if c != nil && c.attempt != nil && c.attempt.number == number {
		c.attempt.upstream.Abort(policy.StatusCancelled)
	}
}

// StartTimer starts a timer for the engine.
func (a actions) StartTimer(after time.Duration, t policy.Timer) {
	a.loop.timers.add(&timer{dueAt: a.loop.now + after, engine: t})
}

// WatchEndpoints does nothing, because the discovery client always watches the endpoint list.
func (a actions) WatchEndpoints(bool) {}

// logDecision logs at the debug level why the engine ended a call.
func (l *Loop) logDecision(c *Call) {
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("decided", "request", c.id, "reason", l.engine.LastReason().String())
	}
}

// endCall sends a call its last command, unless the call has already ended.
func (l *Loop) endCall(id policy.RequestID, lastCommand Command, event counters.Event) {
	c := l.calls[id]
	if c == nil {
		return
	}
	delete(l.calls, id)
	counters.Count(event, c.id)
	l.logDecision(c)
	c.commands <- lastCommand
}
