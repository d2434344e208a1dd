package policy

import "time"

// RequestID names one try of a client. Ids are never used twice.
type RequestID uint32

// ServerID names an app server; it carries no meaning of its own.
type EndpointID uint32

// CustomerID names a customer.
type CustomerID uint64

// Repeat says how often a request of a class may take effect.
type Idempotency uint8

// The repeat rules of a class.
const (
	Idempotent      Idempotency = iota // safe to repeat at any time
	IdempotentByKey                    // keyed: repeats are dropped inside a group for a while
	NonIdempotent                      // unsafe: never repeated once it may have run
)

// Group says which servers drop the repeats of a deduplicated request.
type KeyScope uint8

// The groups that share the keys they have seen.
const (
	KeyScopeFleet KeyScope = iota
	KeyScopeZone
	KeyScopeCell
)

// Class describes a class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer inside this time earns the full worth
	PriorityWeight   float64
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyTTL           time.Duration // how long repeats are dropped, from the first send that may have run
}

// Plan is a quota contract; it holds for each customer over all gateways together.
type Plan struct {
	QuotaRate      float64 // units a second; 0 means no such quota
	Burst          float64 // units that may be used at once
	CeilingRate    float64 // hard ceiling, units a second; 0 means none
	CeilingBurst   float64
	MaxConcurrent  float64 // attempts out at once; 0 means no such quota
	PriceFactor    float64 // factor on the worth
	OverQuotaValue float64 // share of the worth earned beyond the quota
	OverQuotaCost  float64 // share of the worth paid for a try sent on beyond the quota
}

// Config holds what a gateway is told at start.
type Config struct {
	GatewayIndex, GatewayCount int    // this gateway, and how many there are
	Zone                       int    // its zone
	Seed                       uint64 // for its random numbers
	Classes                    []Class
	Plans                      []Plan

	MeterPeriod     time.Duration // 0: answers carry no metered use
	MaxRequestUnits float64       // the most units of one request; 0: not told
	CanCancel       bool          // Cancel may be used
	MaxAttempts     int           // the most attempts of a request; 0: no cap
	MaxOpenRequests int           // the most open requests; 0: no cap
	SendRetryAfter  bool          // clients are shown the advice of a refusal
	MaxRetryAfter   time.Duration // the longest advice that clients heed
	PolledEndpoints bool          // the roster must be asked for with Watch

	WarmUpInitialCapacity float64       // least share of its capacity at which a server starts
	WarmUpDuration        time.Duration // and it is warm after this
	WarmUpOverloadFactor  float64       // sent more than this multiple of its capacity
	WarmUpOverloadWindow  time.Duration // for this long, a cold server falls over
}

// Request is one try of a client.
type Request struct {
	ID       RequestID
	Class    int
	Plan     int
	Customer CustomerID
	TimeLeft time.Duration // time until the client gives this try up
	Units    float64
	SetSize  int // number of gateways that carry this customer
	SetFirst int // the first of them; the rest follow in turn
}

// Status tells how an attempt, a probe or a count ended.
type Status uint8

// The outcomes.
const (
	StatusOK            Status = iota
	StatusServerError          // may have run
	StatusRejected             // turned away unseen: never ran
	StatusTimedOut             // may have run
	StatusConnectFailed        // never ran
	StatusReset                // may have run
	StatusCancelled            // may have run
	StatusNotSent              // never sent
)

// Report is a server's load report. A value that the site does not report is absent (below 0).
type LoadReport struct {
	Present                                              bool
	InFlight, Queued, Utilization, Latency, Rate, Errors float64 // latency in seconds
}

// Outcome tells how one attempt ended.
type AttemptResult struct {
	Request     RequestID
	Attempt     int
	Endpoint    EndpointID
	Status      Status
	Latency     time.Duration
	RequestDone bool    // the request is over
	HasUsage    bool    // Use is set
	Usage       float64 // the customer's use over all gateways, as a share of its quota
	LoadReport  LoadReport
}

// Readiness is a server's state on the roster.
type EndpointState uint8

// The states of a server on the roster.
const (
	StateRemoved EndpointState = iota
	StateReady
	StateDraining
)

// Server is one line of the roster.
type Endpoint struct {
	ID        EndpointID
	Weight    float64 // relative size; 0: not told
	State     EndpointState
	Zone      int
	Cell      int
	StartedAt time.Duration // when it last started; 0: long ago
}

// RosterKind tells what a roster event holds.
type UpdateKind uint8

// The kinds of roster news.
const (
	UpdateDelta  UpdateKind = iota // only what changed
	UpdateFull                     // the whole list
	UpdateCached                   // the whole list as last held, perhaps old
	UpdateFailed                   // a call did not succeed; nothing changes
)

// Actions is what an edge node does for the module. Times are on the caller's monotonic clock.
type Actions interface {
	// Send starts an attempt. It is given up at until; 0 means when the client quits.
	Forward(id RequestID, server EndpointID, until time.Duration)
	// Refuse ends a request and tells the client that trying again is harmless.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail ends a request and promises nothing.
	Fail(id RequestID)
	// Cancel stops waiting for an attempt; its outcome is Cancelled.
	CancelAttempt(id RequestID, attempt int)
	// SetTimer asks for a Timer event with this token.
	StartTimer(after time.Duration, token uint64)
	// Watch asks for roster changes from now on, or no longer.
	WatchEndpoints(on bool)
}
