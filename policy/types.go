package policy

import "time"

// RequestID names one request of a client. Ids are never reused.
type RequestID uint32

// EndpointID names an upstream server. It carries no meaning of its own.
type EndpointID uint32

// CustomerID names a customer.
type CustomerID uint64

// Idempotency says how often a request of a class may take effect.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // repeats with the same key are dropped for a while, within a KeyScope
	NonIdempotent                      // must not be sent again once it may have been executed
)

// KeyScope says which endpoints share the idempotency keys that they have seen.
type KeyScope uint8

// The scopes of idempotency keys.
const (
	KeyScopeFleet KeyScope = iota // all endpoints
	KeyScopeZone                  // those of a zone
	KeyScopeCell                  // those of a cell
)

// Class describes a class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within this time earns its full value
	PriorityWeight   float64       // value of a unit of this class
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyTTL           time.Duration // how long keys are remembered, from the first attempt that may have run
}

// Plan is a quota contract. It holds for each of its customers over all gateways together.
type Plan struct {
	QuotaRate      float64 // units a second; 0 means no such quota
	Burst          float64 // units that may be used at once
	CeilingRate    float64 // hard limit, units a second; 0 means none
	CeilingBurst   float64 // units that may be used at once under the hard limit
	MaxConcurrent  float64 // attempts in flight; 0 means no such quota
	PriceFactor    float64 // factor on the value of a unit
	OverQuotaValue float64 // share of the value that is earned over quota
	OverQuotaCost  float64 // share of the value that each request forwarded over quota costs
}

// Config is what an engine is told at its start.
type Config struct {
	GatewayIndex int    // this gateway's number, from 0
	GatewayCount int    // gateways of the fleet
	Zone         int    // this gateway's zone
	Seed         uint64 // for its random numbers
	Classes      []Class
	Plans        []Plan

	MeterPeriod     time.Duration // metering period of the usage that answers carry; 0: they carry none
	MaxRequestUnits float64       // most units of one request; 0: not known
	CanCancel       bool          // CancelAttempt may be used
	MaxAttempts     int           // most attempts of a request; 0: unlimited
	MaxOpenRequests int           // most requests without their final answer; 0: unlimited
	SendRetryAfter  bool          // clients are shown the Retry-After of a rejection
	MaxRetryAfter   time.Duration // longest Retry-After that clients heed
	PolledEndpoints bool          // endpoint updates must be asked for with WatchEndpoints

	// An endpoint warms up: it starts at WarmUpInitialCapacity of its capacity at least and has all of it after
	// WarmUpDuration. Until then it fails when it gets more than WarmUpOverloadFactor times its present
	// capacity for WarmUpOverloadWindow.
	WarmUpInitialCapacity float64
	WarmUpDuration        time.Duration
	WarmUpOverloadFactor  float64
	WarmUpOverloadWindow  time.Duration
}

// Request is one request of a client; a client's own retry is another one.
type Request struct {
	ID       RequestID
	Class    int // index in Config.Classes
	Plan     int // index in Config.Plans
	Customer CustomerID
	TimeLeft time.Duration // until the client gives up
	Units    float64       // what the request takes from the quota, perhaps a guess
	SetSize  int           // number of gateways that carry this customer
	SetFirst int           // the first of them; the others follow in turn
}

// Status tells how an attempt ended.
type Status uint8

// The statuses of an attempt.
const (
	StatusOK            Status = iota // answered
	StatusServerError                 // failed; may have been executed
	StatusRejected                    // rejected by the endpoint; never executed
	StatusTimedOut                    // no answer in time; may have been executed
	StatusConnectFailed               // no connection; never executed
	StatusReset                       // connection lost; may have been executed
	StatusCancelled                   // given up by the gateway; may have been executed
	StatusNotSent                     // never sent
	StatusLocalFailure                // never sent, since the gateway's machine lacked something for a moment
)

// LoadReport is an endpoint's load report. A value that is not reported is below 0. The present policy does
// without load reports.
type LoadReport struct {
	Present     bool
	InFlight    float64 // requests in service
	Queued      float64 // requests waiting
	Utilization float64 // share of its processors in use
	Latency     float64 // mean, in seconds
	Rate        float64 // requests a second
	Errors      float64 // errors a second
}

// AttemptResult tells how one attempt ended.
type AttemptResult struct {
	Request     RequestID
	Attempt     int // number of the attempt, from 0
	Endpoint    EndpointID
	Status      Status
	Latency     time.Duration
	RequestDone bool    // the request has its final answer
	HasUsage    bool    // Usage is set
	Usage       float64 // the customer's usage over all gateways, as a share of its quota
	LoadReport  LoadReport
}

// EndpointState is an endpoint's state in the endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	StateRemoved  EndpointState = iota // gone; it gets nothing
	StateReady                         // takes requests
	StateDraining                      // completes its requests and gets no new ones
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Weight    float64 // relative capacity; 0: not known
	State     EndpointState
	Zone      int
	Cell      int
	StartedAt time.Duration // when its process last started; 0: long ago
}

// UpdateKind tells what an update of the endpoint list holds.
type UpdateKind uint8

// The kinds of update.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // the complete list
	UpdateCached                   // the complete list as last known, perhaps outdated
	UpdateFailed                   // nothing: a call for the list failed
)

// TimerKind says what a timer is for.
type TimerKind uint8

// The kinds of timer.
const (
	TimerBandwidthManager TimerKind = iota + 1 // the bandwidth manager's next pass
	TimerRelease                               // a queued request leaves the queue
	TimerSilence                               // an attempt should have been answered
	TimerWatch                                 // the endpoint list is asked for again
)

// Timer names a timer. Request and Attempt are those that it belongs to, where there are any.
type Timer struct {
	Kind    TimerKind
	Request RequestID
	Attempt int
}

// Actions carries out the engine's decisions. Times are on the axis of the times that the engine is given.
type Actions interface {
	// Forward starts an attempt at an endpoint. It is given up at the given time; 0 means when the client does.
	Forward(id RequestID, endpoint EndpointID, giveUpAt time.Duration)
	// Reject gives a request its final answer: nothing has been executed, and a retry is harmless.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail gives a request its final answer and promises nothing.
	Fail(id RequestID)
	// CancelAttempt gives an attempt up. Its result, StatusCancelled, follows as an event.
	CancelAttempt(id RequestID, attempt int)
	// StartTimer asks for a TimerFired event.
	StartTimer(after time.Duration, timer Timer)
	// WatchEndpoints asks for endpoint updates, or for no more of them.
	WatchEndpoints(on bool)
}
