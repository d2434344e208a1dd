package measure

import "springfield/internal/emulator"

// Result holds the figures of a run. Times are in seconds from the begin of the load, and latencies in milliseconds.
type Result struct {
	Scenario      string  `json:"scenario"`
	Gateways      int     `json:"gateways"`
	Endpoints     int     `json:"endpoints"`
	LoadSeconds   float64 `json:"load_seconds"`   // length of the load
	LengthSeconds float64 `json:"length_seconds"` // until the last request had its answer

	Service  Service  `json:"service"`
	Requests Outcomes `json:"requests"` // of requests: first tries with their retries
	Tries    Outcomes `json:"tries"`    // of each try for itself
	Value    Value    `json:"value"`
	Latency  Latency  `json:"latency"`
	Attempts Attempts `json:"attempts"`

	CeilingsBroken int `json:"ceilings_broken"` // customers whose use has gone over a ceiling of their plan

	Plans        []Group        `json:"plans"`   // in the order of the scenario
	Classes      []Group        `json:"classes"` // in the order of the scenario
	EndpointLoad []EndpointLoad `json:"endpoint_load"`
	Timeline     []Second       `json:"timeline"`
	Faults       []FaultSpan    `json:"faults"`
}

// Service holds shares of value earned over value requested, from 0 to 1. A share is 1 where nothing was requested.
type Service struct {
	Whole           float64 `json:"whole"`             // of the run
	WorstTenSeconds float64 `json:"worst_ten_seconds"` // of requests submitted in any ten seconds of the load
	WorstClass      float64 `json:"worst_class"`
	WorstPlan       float64 `json:"worst_plan"` // inside quotas
}

// Outcome is how often something has happened.
type Outcome struct {
	Count int64   `json:"count"`
	Share float64 `json:"share"` // of the total, from 0 to 1
}

// Outcomes tells how requests, or tries, have ended.
type Outcomes struct {
	Total        int64   `json:"total"`
	Served       Outcome `json:"served"`       // with a genuine response, in time or late
	Late         Outcome `json:"late"`         // served after the latency objective; part of Served
	Spoilt       Outcome `json:"spoilt"`       // with a response that no endpoint has made for the request
	Rejected     Outcome `json:"rejected"`     // nothing was executed
	Failed       Outcome `json:"failed"`       // with any other final answer
	Missing      Outcome `json:"missing"`      // without a complete answer
	Disconnected Outcome `json:"disconnected"` // the client has gone before its deadline
}

// Value holds amounts of value, in the unit of the scenario's classes and plans.
type Value struct {
	Requested        float64 `json:"requested"` // inside quotas, and at its reduced value over them
	RequestedInQuota float64 `json:"requested_in_quota"`
	Earned           float64 `json:"earned"`
	EarnedInQuota    float64 `json:"earned_in_quota"`
	OverQuotaCost    float64 `json:"over_quota_cost"`  // of tries that were forwarded over their quota
	OverQuotaPrice   float64 `json:"over_quota_price"` // OverQuotaCost / Requested
	OverQuotaTries   int64   `json:"over_quota_tries"`
	Share            float64 `json:"share"`          // Earned / Requested, at most 1; 1 if nothing was requested
	ShareInQuota     float64 `json:"share_in_quota"` // EarnedInQuota / RequestedInQuota, likewise
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

// Attempts counts what gateways have sent to endpoints.
type Attempts struct {
	Forwarded      int64   `json:"forwarded"`
	Received       int64   `json:"received"`        // that reached their endpoint complete
	Executed       int64   `json:"executed"`        // of those that ended
	NewConnections int64   `json:"new_connections"` // opened for an attempt
	Retries        int64   `json:"retries"`         // of gateways: attempts after a try's first one
	ClientRetries  int64   `json:"client_retries"`  // tries after a request's first one
	PerRequest     float64 `json:"per_request"`     // Forwarded over requests
	PerServed      float64 `json:"per_served"`      // Forwarded over requests served
}

// Group holds the figures of the requests of a plan or class.
type Group struct {
	Name     string   `json:"name"`
	Requests Outcomes `json:"requests"`
	Value    Value    `json:"value"`
	Latency  Latency  `json:"latency"`
}

// EndpointLoad holds the figures of one endpoint.
type EndpointLoad struct {
	Endpoint       uint32  `json:"endpoint"`
	Received       int64   `json:"received"` // attempts
	Executed       int64   `json:"executed"`
	NewConnections int64   `json:"new_connections"`
	Starts         int     `json:"starts"` // in the run
	Stops          int     `json:"stops"`
	Overloads      int     `json:"overloads"`      // failures while it warmed up
	MeanInFlight   float64 `json:"mean_in_flight"` // attempts, over the length of the run
	MaxInFlight    int     `json:"max_in_flight"`
}

// Second holds the figures of one second of the run. Value counts in the second in which the first try was submitted,
// everything else in the second in which it happened.
type Second struct {
	Second         int     `json:"second"` // it begins so long after the begin of the load
	Requests       int64   `json:"requests"`
	Tries          int64   `json:"tries"`
	Served         int64   `json:"served"` // tries
	Spoilt         int64   `json:"spoilt"`
	Rejected       int64   `json:"rejected"`
	Failed         int64   `json:"failed"`
	Missing        int64   `json:"missing"`
	Disconnected   int64   `json:"disconnected"`
	Forwarded      int64   `json:"forwarded"` // attempts
	Retries        int64   `json:"retries"`   // attempts after a try's first one
	NewConnections int64   `json:"new_connections"`
	Latency        Latency `json:"latency"`

	RequestedValue        float64 `json:"requested_value"`
	RequestedInQuotaValue float64 `json:"requested_in_quota_value"`
	EarnedValue           float64 `json:"earned_value"`

	EndpointAttempts Spread       `json:"endpoint_attempts"` // received by the endpoints that are up
	Plans            []PlanSecond `json:"plans"`             // in the order of the scenario
}

// PlanSecond holds units of the tries of one plan in one second.
type PlanSecond struct {
	RequestedUnits float64 `json:"requested_units"`  // submitted
	InQuotaUnits   float64 `json:"in_quota_units"`   // forwarded inside the quota
	OverQuotaUnits float64 `json:"over_quota_units"` // forwarded over the quota
}

// Spread holds the least, the middle and the greatest of some counts.
type Spread struct {
	Min    int64   `json:"min"`
	Median float64 `json:"median"`
	Max    int64   `json:"max"`
}

// FaultSpan is a fault and when it was active.
type FaultSpan struct {
	Kind   emulator.FaultKind `json:"kind"`
	Begin  float64            `json:"begin_seconds"`
	End    float64            `json:"end_seconds"` // the end of the run if it was never over
	Share  float64            `json:"share,omitempty"`
	Factor float64            `json:"factor,omitempty"`
	Zone   int                `json:"zone,omitempty"`
}
