package eventloop

import (
	"time"

	"springfield/internal/upstream"
	"springfield/policy"
)

// commandCapacity is the largest number of unread commands of a call: a Forward, and an Abandon because the client has
// disconnected.
const commandCapacity = 2

// attemptAllowed reports whether another attempt is safe, and if not, why. It guards against repeated execution,
// independently of the policy that decides on retries: a request has one attempt at a time, and after an attempt that
// may have been executed it has another only if its class allows that.
func (c *Call) attemptAllowed(now time.Duration, class *policy.Class) (allowed bool, reason string) {
	switch {
	case c.attempt != nil && !c.attempt.finished:
		return false, "another attempt is in flight"
	case !c.mayHaveRun || class.Idempotency == policy.Idempotent:
		return true, ""
	case class.Idempotency == policy.NonIdempotent:
		return false, "an earlier attempt may have been executed"
	case now >= c.mayHaveRunSince+class.KeyTTL:
		return false, "the idempotency key may have expired"
	default:
		return true, ""
	}
}

// Call is a client's request from its submission to its last command. The goroutine that serves the client carries out
// the commands, so that an attempt needs no goroutine of its own.
type Call struct {
	commands chan Command
	id       string // ID of the client's request, for log lines

	// outcome is the outcome of the latest attempt. The client's goroutine sets it before it posts the event that reports
	// it.
	outcome attemptOutcome

	// The event loop owns the fields below once the call has been submitted.
	request         policy.Request
	deadline        time.Duration // time by which the last command must be sent
	attempt         *attempt      // latest attempt; nil if none has started
	attempts        int           // number of attempts started
	mayHaveRun      bool          // an attempt may have been executed
	mayHaveRunSince time.Duration // when the first attempt that may have been executed was sent
}

// NewCall returns a call for the client's request with the given ID. The event loop sets ID and TimeLeft of the
// policy's request. The last command is sent by the deadline.
func NewCall(id string, request policy.Request, deadline time.Duration) *Call {
	return &Call{id: id, request: request, deadline: deadline, commands: make(chan Command, commandCapacity)}
}

// Commands returns the channel on which the commands for the call arrive.
func (c *Call) Commands() <-chan Command { return c.commands }

// attemptOutcome is the part of an upstream.Result that the engine needs. It leaves out the response, which would
// otherwise stay in memory as long as the call.
type attemptOutcome struct {
	status   policy.Status
	hasUsage bool
	usage    float64
}

// attempt is the event loop's state of an attempt.
type attempt struct {
	upstream *upstream.Attempt
	endpoint policy.EndpointID
	number   int // index among the call's attempts, from 0
	sentAt   time.Duration
	finished bool
	timeout  timer
}
