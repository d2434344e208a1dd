package policy

import "time"

// RequestID identifies one request of a client. IDs are never reused.
type RequestID uint32

// EndpointID identifies an upstream server. Its value has no further meaning.
type EndpointID uint32

// CustomerID identifies a customer.
type CustomerID uint64

// Idempotency says whether a request of a class may be executed more than once.
type Idempotency uint8

// The values of Idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // endpoints in a KeyScope discard repeats with the same key for KeyTTL
	NonIdempotent                      // must not be sent again once it may have been executed
)

// KeyScope is the group of endpoints that share the idempotency keys they have seen.
type KeyScope uint8

// The values of KeyScope.
const (
	KeyScopeFleet KeyScope = iota // all endpoints
	KeyScopeZone                  // the endpoints of one zone
	KeyScopeCell                  // the endpoints of one cell
)

// Class describes a class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within this time earns its full value
	PriorityWeight   float64       // value of one unit of this class
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyTTL           time.Duration // how long a key is remembered, from the first attempt that may have run
}

// Plan is a quota contract. Its limits hold for each of its customers, over all gateways together.
type Plan struct {
	QuotaRate      float64 // quota, in units per second; 0: no rate quota
	Burst          float64 // capacity of the quota's token bucket, in units
	CeilingRate    float64 // hard limit, in units per second; 0: no ceiling
	CeilingBurst   float64 // capacity of the ceiling's token bucket, in units
	MaxConcurrent  float64 // quota of attempts in flight; 0: no concurrency quota
	PriceFactor    float64 // factor on the value of a unit
	OverQuotaValue float64 // share of its value that a request forwarded over quota earns
	OverQuotaCost  float64 // share of its value that a request forwarded over quota costs
}

// Config is the configuration that an engine receives at its start.
type Config struct {
	GatewayIndex int    // index of this gateway in the fleet, from 0
	GatewayCount int    // number of gateways in the fleet
	Zone         int    // zone of this gateway
	Seed         uint64 // seed of the engine's random numbers
	Classes      []Class
	Plans        []Plan

	MeterPeriod     time.Duration // metering period of the usage that answers carry; 0: answers carry no usage
	MaxRequestUnits float64       // most units of one request; 0: unknown
	CanCancel       bool          // the engine may use Actions.CancelAttempt
	MaxAttempts     int           // most attempts of one request; 0: unlimited
	MaxOpenRequests int           // most requests without a final answer at this gateway; 0: unlimited
	MaxCustomers    int           // customers that are remembered although they are idle; 0: unlimited
	SendRetryAfter  bool          // clients receive the Retry-After of a rejection
	MaxRetryAfter   time.Duration // longest Retry-After that clients follow
	PolledEndpoints bool          // endpoint updates arrive only after Actions.WatchEndpoints

	// An endpoint that has just started has at least WarmUpInitialCapacity of its full capacity, and all of it
	// after WarmUpDuration. Until then it fails if its load exceeds WarmUpOverloadFactor times its present
	// capacity for WarmUpOverloadWindow.
	WarmUpInitialCapacity float64
	WarmUpDuration        time.Duration
	WarmUpOverloadFactor  float64
	WarmUpOverloadWindow  time.Duration
}

// Request is one request of a client. A retry by the client is a new Request.
type Request struct {
	ID       RequestID
	Class    int // index in Config.Classes
	Plan     int // index in Config.Plans
	Customer CustomerID
	TimeLeft time.Duration // time until the client gives up
	Units    float64       // units that the request takes from the quota; may be an estimate
	SetSize  int           // number of gateways that serve this customer
	SetFirst int           // index of the first of these gateways; the others follow, wrapping around
}

// Status is the outcome of an attempt.
type Status uint8

// The values of Status.
const (
	StatusOK            Status = iota // the endpoint answered
	StatusServerError                 // the endpoint failed; the attempt may have been executed
	StatusRejected                    // the endpoint rejected the attempt; never executed
	StatusTimedOut                    // no answer arrived in time; the attempt may have been executed
	StatusConnectFailed               // no connection could be made; never executed
	StatusReset                       // the connection was lost; the attempt may have been executed
	StatusCancelled                   // the gateway cancelled the attempt; it may have been executed
	StatusNotSent                     // the attempt was never sent
	StatusLocalFailure                // never sent: the gateway's machine was short of a resource for a moment
)

// LoadReport is the load that an endpoint reports. Values that it does not report are negative. The engine
// ignores load reports.
type LoadReport struct {
	Present     bool    // the answer carried a load report
	InFlight    float64 // requests in service
	Queued      float64 // requests waiting
	Utilization float64 // share of the processors in use
	Latency     float64 // mean latency, in seconds
	Rate        float64 // requests per second
	Errors      float64 // errors per second
}

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	Request     RequestID
	Attempt     int // index of the attempt within its request, from 0
	Endpoint    EndpointID
	Status      Status
	Latency     time.Duration
	RequestDone bool    // the request has its final answer
	HasUsage    bool    // Usage holds a reading
	Usage       float64 // the customer's metered usage over all gateways, as a share of its quota
	LoadReport  LoadReport
}

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState uint8

// The values of EndpointState.
const (
	StateRemoved  EndpointState = iota // the endpoint is gone and receives nothing
	StateReady                         // the endpoint accepts requests
	StateDraining                      // the endpoint completes its open requests and receives no new ones
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Weight    float64 // relative capacity; 0: unknown
	State     EndpointState
	Zone      int
	Cell      int
	StartedAt time.Duration // last start of its process; 0: long ago
}

// UpdateKind says what an update of the endpoint list contains.
type UpdateKind uint8

// The values of UpdateKind.
const (
	UpdateDelta  UpdateKind = iota // only the changed entries
	UpdateFull                     // the complete list
	UpdateCached                   // the complete list as last known, possibly outdated
	UpdateFailed                   // no entries, because a call for the list failed
)

// TimerKind is the purpose of a timer.
type TimerKind uint8

// The values of TimerKind.
const (
	TimerBandwidthManager TimerKind = iota + 1 // the next pass of the bandwidth manager is due
	TimerRelease                               // a queued request leaves the queue
	TimerSilence                               // an attempt is checked that should have been answered
	TimerWatch                                 // endpoint updates are requested again after a failed call
)

// Timer identifies a timer. Request and Attempt are set if the timer belongs to a request or an attempt.
type Timer struct {
	Kind    TimerKind
	Request RequestID
	Attempt int
}

// Actions carries out the decisions of an engine. Points in time refer to the same clock as the times of the
// events.
type Actions interface {
	// Forward starts an attempt at an endpoint. The attempt is given up at giveUpAt, or if that is 0, when the
	// client gives up.
	Forward(id RequestID, endpoint EndpointID, giveUpAt time.Duration)
	// Reject gives a request its final answer and tells the client that nothing has been executed and that a
	// retry is safe.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail gives a request its final answer without stating whether it has been executed.
	Fail(id RequestID)
	// CancelAttempt cancels an attempt. Its result, with StatusCancelled, follows as an event.
	CancelAttempt(id RequestID, attempt int)
	// StartTimer requests a TimerFired event after the given time.
	StartTimer(after time.Duration, timer Timer)
	// WatchEndpoints turns endpoint updates on or off.
	WatchEndpoints(on bool)
}
