package emulator

import (
	"time"

	"springfield/policy"
)

// RequestKey identifies a client's request within a run. Keys are never reused. A client's retry is a new request with
// a key of its own.
type RequestKey uint64

// Observer receives the events of a run in the order in which they happen. Observe is never called concurrently.
type Observer interface {
	Observe(at time.Duration, observation Observation)
}

// Observers is a list of observers that each receive every observation.
type Observers []Observer

// Observe implements Observer.
func (o Observers) Observe(at time.Duration, observation Observation) {
	for _, observer := range o {
		observer.Observe(at, observation)
	}
}

// Observation is an event of a run. The types of this file implement it.
type Observation interface{ isObservation() }

// Answer is the kind of final answer that a client gets.
type Answer uint8

// The kinds of final answer.
const (
	AnswerServed   Answer = iota + 1 // complete response of an endpoint
	AnswerRejected                   // status 429 or 503: nothing was executed, so a retry is safe
	AnswerFailed                     // any other complete response
	AnswerMissing                    // connection that ended without a complete response
)

// RequestSubmitted reports that a gateway's machine has received the last byte of a request.
type RequestSubmitted struct {
	Request  RequestKey
	Original RequestKey // key of the client's first try; equals Request on the first try
	Gateway  int
	Customer policy.CustomerID
	Plan     int
	Class    int
	Units    float64       // size that the request states; the true size may differ
	Deadline time.Duration // Unix time at which the client stops waiting
}

// AttemptForwarded reports that a gateway has started to send an attempt.
type AttemptForwarded struct {
	Request       RequestKey
	Attempt       int
	Gateway       int
	Endpoint      policy.EndpointID
	NewConnection bool
	Sent          time.Duration // time at which the attempt was sent, if it is observed later; 0: unknown
	// StatedDeadline is the Unix time until which the gateway waits for the response, as the attempt states it; 0 if the
	// world does not observe it.
	StatedDeadline time.Duration
}

// AttemptReceived reports that an endpoint has received a complete attempt. Only the first received attempt of a
// request is charged to the customer's quota and ceiling.
type AttemptReceived struct {
	Request  RequestKey
	Attempt  int
	Gateway  int
	Endpoint policy.EndpointID
	Units    float64 // true size of the request
}

// AttemptEnded reports the end of an attempt: its response was written or its connection ended.
type AttemptEnded struct {
	Request  RequestKey
	Attempt  int
	Gateway  int
	Endpoint policy.EndpointID
	Status   policy.Status // outcome that the gateway can observe
	Executed bool          // the endpoint has executed the attempt or will execute it
}

// RequestAnswered reports that the client has received its final answer.
type RequestAnswered struct {
	Request RequestKey
	Gateway int
	Answer  Answer
	Genuine bool // whether a served answer is the one that an endpoint produced for this request
}

// ClientDisconnected reports that a client has closed its connection. Its request no longer needs an answer.
type ClientDisconnected struct {
	Request RequestKey
	Gateway int
}

// EndpointNotified reports that a gateway counts as notified of an endpoint's state.
type EndpointNotified struct {
	Gateway  int
	Endpoint policy.EndpointID
	State    policy.EndpointState
	Started  time.Duration // Unix time at which the endpoint's process started
}

// EndpointStarted reports that an endpoint's process has started.
type EndpointStarted struct {
	Endpoint policy.EndpointID
	Zone     int
	Cell     int
	Warming  bool // the endpoint goes through slow start
}

// EndpointOverloaded reports that an endpoint has failed because it received too much work while it warmed up.
type EndpointOverloaded struct {
	Endpoint      policy.EndpointID
	InformedShare float64 // share of the overloading work from gateways that counted as notified of its start
}

// EndpointStopped reports that an endpoint's process has ended.
type EndpointStopped struct{ Endpoint policy.EndpointID }

// GatewayStarted reports that a gateway is ready.
type GatewayStarted struct{ Gateway int }

// GatewayStopped reports that a gateway's process has ended. Its unanswered requests count as lost, except when a fault
// of the scenario killed it.
type GatewayStopped struct {
	Gateway int
	Killed  bool // a fault of the scenario killed the gateway
}

// FaultChanged reports that a fault of the scenario begins or ends.
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
