package measure

import "springfield/internal/emulator"

// Result holds the results of a run. Times are in seconds from the start of the load, and latencies in milliseconds.
type Result struct {
	Scenario      string  `json:"scenario"`
	Gateways      int     `json:"gateways"`
	Endpoints     int     `json:"endpoints"`
	LoadSeconds   float64 `json:"load_seconds"`   // length of the load
	LengthSeconds float64 `json:"length_seconds"` // time of the last event of a request or attempt

	Service  Service  `json:"service"`
	Requests Outcomes `json:"requests"` // outcomes of requests, which are first tries with their retries
	Tries    Outcomes `json:"tries"`    // outcomes of the single tries
	Value    Value    `json:"value"`
	Latency  Latency  `json:"latency"`
	Attempts Attempts `json:"attempts"`

	CeilingsBroken int `json:"ceilings_broken"` // customers whose use has exceeded the ceiling of their plan

	Plans        []Group        `json:"plans"`   // results by plan, in the order of the scenario
	Classes      []Group        `json:"classes"` // results by class, in the order of the scenario
	EndpointLoad []EndpointLoad `json:"endpoint_load"`
	Timeline     []Second       `json:"timeline"`
	Faults       []FaultSpan    `json:"faults"`
}

// Service holds ratios of earned value to requested value, from 0 to 1. A ratio is 1 if nothing was requested.
type Service struct {
	Whole           float64 `json:"whole"`             // ratio of the whole run
	WorstTenSeconds float64 `json:"worst_ten_seconds"` // lowest ratio of any ten consecutive seconds of the load
	WorstClass      float64 `json:"worst_class"`       // lowest ratio of all classes
	WorstPlan       float64 `json:"worst_plan"`        // lowest ratio of all plans, inside quotas only
}

// Outcome counts the requests or tries that ended in one way.
type Outcome struct {
	Count int64   `json:"count"`
	Share float64 `json:"share"` // share of the total, from 0 to 1
}

// Outcomes counts requests or tries by the way they ended.
type Outcomes struct {
	Total        int64   `json:"total"`
	Served       Outcome `json:"served"`       // the client got a genuine response, in time or late
	Late         Outcome `json:"late"`         // the client got a genuine response after the objective; included in Served
	Spoilt       Outcome `json:"spoilt"`       // the client got a response that no endpoint made for the request
	Rejected     Outcome `json:"rejected"`     // the client got a rejection: nothing was executed
	Failed       Outcome `json:"failed"`       // the client got any other final answer
	Missing      Outcome `json:"missing"`      // the client got no complete answer
	Disconnected Outcome `json:"disconnected"` // the client disconnected before its deadline
}

// Value holds amounts of value, in the unit of the scenario's classes and plans.
type Value struct {
	Requested        float64 `json:"requested"` // full value inside quotas, reduced value over quota
	RequestedInQuota float64 `json:"requested_in_quota"`
	Earned           float64 `json:"earned"`
	EarnedInQuota    float64 `json:"earned_in_quota"`
	OverQuotaCost    float64 `json:"over_quota_cost"`  // cost of the tries that were forwarded over their quota
	OverQuotaPrice   float64 `json:"over_quota_price"` // OverQuotaCost / Requested
	OverQuotaTries   int64   `json:"over_quota_tries"`
	Share            float64 `json:"share"`          // Earned / Requested, at most 1; 1 if nothing was requested
	ShareInQuota     float64 `json:"share_in_quota"` // EarnedInQuota / RequestedInQuota, at most 1; 1 if none requested
}

// Latency holds percentiles of the time from the submission of a first try to its genuine response, in milliseconds.
// They are 0 if Count is 0.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Attempts counts the attempts of gateways to have requests served by endpoints.
type Attempts struct {
	Forwarded      int64   `json:"forwarded"`
	Received       int64   `json:"received"`        // attempts that reached their endpoint complete
	Executed       int64   `json:"executed"`        // attempts that have ended and were executed
	NewConnections int64   `json:"new_connections"` // connections opened for an attempt
	Retries        int64   `json:"retries"`         // retries of gateways: attempts after the first one of a try
	ClientRetries  int64   `json:"client_retries"`  // retries of clients: tries after the first one of a request
	PerRequest     float64 `json:"per_request"`     // Forwarded / number of requests
	PerServed      float64 `json:"per_served"`      // Forwarded / number of served requests
}

// Group holds the results of the requests of a plan or class.
type Group struct {
	Name     string   `json:"name"`
	Requests Outcomes `json:"requests"`
	Value    Value    `json:"value"`
	Latency  Latency  `json:"latency"`
}

// EndpointLoad holds the results of one endpoint.
type EndpointLoad struct {
	Endpoint       uint32  `json:"endpoint"`
	Received       int64   `json:"received"` // attempts received
	Executed       int64   `json:"executed"`
	NewConnections int64   `json:"new_connections"`
	Starts         int     `json:"starts"` // starts of the endpoint's process in the run
	Stops          int     `json:"stops"`
	Overloads      int     `json:"overloads"`      // failures by overload during warm-up
	MeanInFlight   float64 `json:"mean_in_flight"` // mean over the run of the attempts in flight
	MaxInFlight    int     `json:"max_in_flight"`
}

// Second holds the results of one second of the run. Value counts in the second in which the first try was submitted,
// everything else in the second in which it happened.
type Second struct {
	Second         int     `json:"second"` // start of this second, in seconds from the start of the load
	Requests       int64   `json:"requests"`
	Tries          int64   `json:"tries"`
	Served         int64   `json:"served"` // tries that got a genuine response
	Spoilt         int64   `json:"spoilt"`
	Rejected       int64   `json:"rejected"`
	Failed         int64   `json:"failed"`
	Missing        int64   `json:"missing"`
	Disconnected   int64   `json:"disconnected"`
	Forwarded      int64   `json:"forwarded"` // attempts forwarded
	Retries        int64   `json:"retries"`   // attempts after the first one of a try
	NewConnections int64   `json:"new_connections"`
	Latency        Latency `json:"latency"`

	RequestedValue        float64 `json:"requested_value"`
	RequestedInQuotaValue float64 `json:"requested_in_quota_value"`
	EarnedValue           float64 `json:"earned_value"`

	EndpointAttempts Spread       `json:"endpoint_attempts"` // attempts received by each endpoint that is up
	Plans            []PlanSecond `json:"plans"`             // units by plan, in the order of the scenario
}

// PlanSecond holds the units of the tries of one plan in one second. A try counts as received when its first attempt
// has reached an endpoint.
type PlanSecond struct {
	RequestedUnits float64 `json:"requested_units"`  // units of submitted tries
	InQuotaUnits   float64 `json:"in_quota_units"`   // units of tries inside the quota, counted when received
	OverQuotaUnits float64 `json:"over_quota_units"` // units of tries over the quota, counted when received
}

// Spread holds the minimum, the median and the maximum of a set of counts.
type Spread struct {
	Min    int64   `json:"min"`
	Median float64 `json:"median"`
	Max    int64   `json:"max"`
}

// FaultSpan is a fault with the time in which it was active, in seconds from the start of the load.
type FaultSpan struct {
	Kind   emulator.FaultKind `json:"kind"`
	Begin  float64            `json:"begin_seconds"`
	End    float64            `json:"end_seconds"` // end of the run if the fault did not end before
	Share  float64            `json:"share,omitempty"`
	Factor float64            `json:"factor,omitempty"`
	Zone   int                `json:"zone,omitempty"`
}
