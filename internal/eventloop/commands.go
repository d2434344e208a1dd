package eventloop

import (
	"time"

	"springfield/internal/upstream"
)

// Command tells the goroutine that serves a client what to do next for its call. It is one of Forward, Reject, Fail and
// Abandon; each of them except Forward is the last command of the call.
type Command interface {
	isCommand()
}

// Forward starts an attempt, whose result must be reported with Loop.FinishAttempt.
type Forward struct{ Attempt *upstream.Attempt }

// Reject ends the call with a response that tells the client that it may safely retry.
type Reject struct{ RetryAfter time.Duration } // a RetryAfter of 0 gives no advice on when to retry

// Fail ends the call with a response that tells the client that the request may have been executed.
type Fail struct{}

// Abandon ends the call without a response, because its client has disconnected.
type Abandon struct{}

func (Forward) isCommand() {}
func (Reject) isCommand()  {}
func (Fail) isCommand()    {}
func (Abandon) isCommand() {}
