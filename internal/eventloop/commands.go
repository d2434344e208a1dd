package eventloop

import (
	"time"

	"springfield/internal/upstream"
)

// Command tells the goroutine that serves a client what to do for its call. It is one of Forward, Reject, Fail and
// Abandon; all but Forward are the call's last command.
type Command interface {
	isCommand()
}

// Forward makes an attempt. Its result is reported with Loop.FinishAttempt.
type Forward struct{ Attempt *upstream.Attempt }

// Reject ends the call with a response which tells the client that it may safely retry.
type Reject struct{ RetryAfter time.Duration } // 0: no advice on when to retry

// Fail ends the call with a response which tells the client that the request may have run.
type Fail struct{}

// Abandon ends the call without a response: its client has disconnected.
type Abandon struct{}

func (Forward) isCommand() {}
func (Reject) isCommand()  {}
func (Fail) isCommand()    {}
func (Abandon) isCommand() {}
