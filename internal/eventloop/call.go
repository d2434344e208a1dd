package eventloop

import (
	"time"

	"springfield/internal/upstream"
	"springfield/policy"
)

// commandCapacity is the most commands that can be unread: to make an attempt, and that the client has disconnected.
const commandCapacity = 2

// Call is a client's request from its admission to its last command. The goroutine that serves the client carries out
// the commands, so that an attempt needs no goroutine of its own.
type Call struct {
	commands chan Command

	// outcome is that of the latest attempt. The client's goroutine sets it before the event that reports it.
	outcome attemptOutcome

	// The event loop owns the fields below from Submit on.
	request  policy.Request
	deadline time.Duration // when the last command must have been given
	attempt  *attempt      // the latest; nil: none has started
	attempts int           // how many have started
}

// NewCall returns a call for the request, whose ID and TimeLeft the event loop sets. The last command is given by the
// deadline.
func NewCall(request policy.Request, deadline time.Duration) *Call {
	return &Call{request: request, deadline: deadline, commands: make(chan Command, commandCapacity)}
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
