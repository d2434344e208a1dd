package emulator

import (
	"time"

	"springfield/policy"
)

// RequestKey names a request of a client in a run. Keys are never reused; a client's retry is another request.
type RequestKey uint64

// Observer is told of what happens in a run, in the order in which it happens. It is called by one goroutine at a time.
type Observer interface {
	Observe(at time.Duration, observation Observation)
}

// Observers passes each observation on to all of them.
type Observers []Observer

// Observe implements Observer.
func (o Observers) Observe(at time.Duration, observation Observation) {
	for _, observer := range o {
		observer.Observe(at, observation)
	}
}

// Observation is one of the types of this file.
type Observation interface{ isObservation() }

// Answer is the kind of a final answer that a client gets.
type Answer uint8

// The kinds of a final answer.
const (
	AnswerServed   Answer = iota + 1 // a complete response of an endpoint
	AnswerRejected                   // 429 or 503: nothing was executed, a retry is harmless
	AnswerFailed                     // any other
	AnswerMissing                    // the connection ended without a complete response
)

// RequestSubmitted tells that a gateway's machine has received the last byte of a request.
type RequestSubmitted struct {
	Request  RequestKey
	Original RequestKey // of the first try; equal to Request for that one
	Gateway  int
	Customer policy.CustomerID
	Plan     int
	Class    int
	Units    float64       // the guess that the request carries
	Deadline time.Duration // when the client gives up
}

// AttemptForwarded tells that a gateway has begun to send an attempt.
type AttemptForwarded struct {
	Request       RequestKey
	Attempt       int
	Gateway       int
	Endpoint      policy.EndpointID
	NewConnection bool
}

// AttemptReceived tells that an attempt has reached its endpoint complete. A client's first one takes the units.
type AttemptReceived struct {
	Request  RequestKey
	Attempt  int
	Gateway  int
	Endpoint policy.EndpointID
	Units    float64 // the true units
}

// AttemptEnded tells that an attempt has ended: its response was written or its connection ended.
type AttemptEnded struct {
	Request  RequestKey
	Attempt  int
	Gateway  int
	Endpoint policy.EndpointID
	Status   policy.Status // as the gateway can tell
	Executed bool          // the endpoint has executed it, or will
}

// RequestAnswered tells that the client has got its final answer.
type RequestAnswered struct {
	Request RequestKey
	Gateway int
	Answer  Answer
	Genuine bool // a served answer is the one that an endpoint made for this request
}

// ClientDisconnected tells that a client has closed its connection and is owed nothing any more.
type ClientDisconnected struct {
	Request RequestKey
	Gateway int
}

// EndpointNotified tells that a gateway counts as notified of an endpoint's state.
type EndpointNotified struct {
	Gateway  int
	Endpoint policy.EndpointID
	State    policy.EndpointState
	Started  time.Duration
}

// EndpointStarted tells that an endpoint's process has started. It warms up unless WarmUp is zero.
type EndpointStarted struct {
	Endpoint policy.EndpointID
	Warming  bool
}

// EndpointOverloaded tells that an endpoint has failed because it got too much while it warmed up.
type EndpointOverloaded struct {
	Endpoint      policy.EndpointID
	InformedShare float64 // of the work that came from gateways that counted as notified of its start
}

// EndpointStopped tells that an endpoint's process has ended.
type EndpointStopped struct{ Endpoint policy.EndpointID }

// GatewayStarted tells that a gateway is ready.
type GatewayStarted struct{ Gateway int }

// GatewayStopped tells that a gateway has ended. What it owed is lost unless it was killed by the scenario.
type GatewayStopped struct {
	Gateway int
	Killed  bool
}

// FaultChanged tells that a fault of the scenario begins or ends.
type FaultChanged struct {
	Fault  Fault
	Active bool
}

func (RequestSubmitted) isObservation()   {}
func (AttemptForwarded) isObservation()   {}
func (AttemptReceived) isObservation()    {}
func (AttemptEnded) isObservation()       {}
func (RequestAnswered) isObservation()    {}
func (ClientDisconnected) isObservation() {}
func (EndpointNotified) isObservation()   {}
func (EndpointStarted) isObservation()    {}
func (EndpointOverloaded) isObservation() {}
func (EndpointStopped) isObservation()    {}
func (GatewayStarted) isObservation()     {}
func (GatewayStopped) isObservation()     {}
func (FaultChanged) isObservation()       {}
