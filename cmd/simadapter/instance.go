package main

import (
	"fmt"
	"runtime/debug"
	"strings"
	"time"

	"springfield/internal/settings"
	"springfield/internal/simwire"
	"springfield/policy"
)

// The part of the stack trace that the report of a panic contains.
const (
	stackSkippedBytes = 300 // frames of the recovery itself, which come first
	stackShownChars   = 600
)

// instance is one simulated gateway. It implements policy.Actions by appending each action to the reply.
type instance struct {
	id      uint32
	engine  *policy.Engine
	reply   *simwire.Reply
	columns []string // names of the values in a load report, in order
	failed  bool     // the policy has panicked and must not be called again
}

var _ policy.Actions = (*instance)(nil)

// newInstance returns the instance that an EventStart describes. Its engine starts when the instance handles that
// event.
func newInstance(start *simwire.Event, reply *simwire.Reply) *instance {
	return &instance{id: start.Instance, reply: reply, columns: start.Settings.Report.Columns}
}

// handleEvent passes an event to the policy. A panic of the policy is reported to the simulator.
func (in *instance) handleEvent(now time.Duration, event *simwire.Event) {
	if in.failed {
		return
	}
	defer func() {
		if reason := recover(); reason != nil {
			in.failed = true
			in.reply.ReportPanic(in.id, panicReport(reason, string(debug.Stack())))
		}
	}()
	in.dispatch(now, event)
}

// panicReport describes a panic on one line.
func panicReport(reason any, stack string) string {
	stack = strings.ReplaceAll(stack, "\n", " | ")
	stack = stack[min(len(stack), stackSkippedBytes):]
	return fmt.Sprintf("panic: %v at %.*s", reason, stackShownChars, stack)
}

// dispatch calls the engine's method for an event. It ignores events that only answer actions which the policy never
// takes.
func (in *instance) dispatch(now time.Duration, event *simwire.Event) {
	request := policy.RequestID(event.RequestID)
	switch event.Code {
	case simwire.EventStart:
		in.engine = policy.New(settings.PolicyConfig(event.Settings, event.Seed), in)
		in.engine.Start(now)
	case simwire.EventEndpointUpdate:
		in.engine.UpdateEndpoints(now, updateKinds[event.UpdateKind], policyEndpoints(event.Endpoints))
	case simwire.EventRequest:
		in.engine.Submit(now, policyRequest(event))
	case simwire.EventResponseStarted:
		in.engine.ResponseStarted(now, request, int(event.Attempt), policy.EndpointID(event.EndpointID))
	case simwire.EventAttemptFinished:
		in.engine.AttemptFinished(now, policyAttemptResult(event, in.columns))
	case simwire.EventClientDisconnected:
		in.engine.ClientDisconnected(now, request)
	case simwire.EventTimerFired:
		in.engine.TimerFired(now, parseTimerToken(event.Token))
	}
}

// Forward implements policy.Actions.
func (in *instance) Forward(id policy.RequestID, endpoint policy.EndpointID, giveUpAt time.Duration) {
	in.reply.Forward(in.id, uint32(id), uint32(endpoint), milliseconds(giveUpAt))
}

// Reject implements policy.Actions.
func (in *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	in.reply.Reject(in.id, uint32(id), milliseconds(retryAfter))
}

// Fail implements policy.Actions.
func (in *instance) Fail(id policy.RequestID) {
	in.reply.Fail(in.id, uint32(id))
}

// CancelAttempt implements policy.Actions.
func (in *instance) CancelAttempt(id policy.RequestID, attempt int) {
	in.reply.CancelAttempt(in.id, uint32(id), uint8(attempt))
}

// StartTimer implements policy.Actions.
func (in *instance) StartTimer(after time.Duration, timer policy.Timer) {
	in.reply.StartTimer(in.id, milliseconds(after), timerToken(timer))
}

// WatchEndpoints implements policy.Actions.
func (in *instance) WatchEndpoints(on bool) {
	in.reply.WatchEndpoints(in.id, on)
}
