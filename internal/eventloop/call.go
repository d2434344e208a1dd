package eventloop

import (
	"time"

	"springfield/internal/upstream"
	"springfield/policy"
)

// commandCapacity is the most commands that can be unread: to make an attempt, and that the client has disconnected.
const commandCapacity = 2

// mayRepeat is the guard against repeats, apart from the policy that decides on them: a request has one attempt at a
// time, and once one may have run it has another only where its class allows that.
func (c *Call) mayRepeat(now time.Duration, class *policy.Class) (allowed bool, reason string) {
	switch {
	case c.attempt != nil && !c.attempt.finished:
		return false, "an attempt is out"
	case !c.mayHaveRun || class.Idempotency == policy.Idempotent:
		return true, ""
	case class.Idempotency == policy.NonIdempotent:
		return false, "it may have run"
	case now >= c.ranSince+class.KeyTTL:
		return false, "its idempotency key may be forgotten"
	default:
		return true, ""
	}
}

// Call is a client's request from its admission to its last command. The goroutine that serves the client carries out
// the commands, so that an attempt needs no goroutine of its own.
type Call struct {
	commands chan Command
	id       string // of the client's request, for the log

	// outcome is that of the latest attempt. The client's goroutine sets it before the event that reports it.
	outcome attemptOutcome

	// The event loop owns the fields below from Submit on.
	request    policy.Request
	deadline   time.Duration // when the last command must have been given
	attempt    *attempt      // the latest; nil: none has started
	attempts   int           // how many have started
	mayHaveRun bool          // an attempt may have been executed,
	ranSince   time.Duration // the first of which was sent then
}

// NewCall returns a call for the client's request with the given id, whose ID and TimeLeft the event loop sets. The
// last command is given by the deadline.
func NewCall(id string, request policy.Request, deadline time.Duration) *Call {
	return &Call{id: id, request: request, deadline: deadline, commands: make(chan Command, commandCapacity)}
}

// Commands returns the channel on which the commands for the call arrive.
func (c *Call) Commands() <-chan Command { return c.commands }

// attemptOutcome is the part of an upstream.Result that the engine is told. It leaves out the response, which would
// stay in memory with the call.
type attemptOutcome struct {
	status   policy.Status
	hasUsage bool
	usage    float64
}

// attempt is what the event loop knows of an attempt.
type attempt struct {
	upstream *upstream.Attempt
	endpoint policy.EndpointID
	number   int // of the call's attempts, from 0
	sentAt   time.Duration
	finished bool
	timeout  timer
}
