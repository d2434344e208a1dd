package main

import (
	"time"

	"springfield/internal/settings"
	"springfield/internal/simwire"
	"springfield/policy"
)

// statuses, updateKinds and endpointStates give the policy's value for each of the wire's, which the decoder has
// checked.
var (
	statuses = [...]policy.Status{
		simwire.StatusOK:            policy.StatusOK,
		simwire.StatusServerError:   policy.StatusServerError,
		simwire.StatusRejected:      policy.StatusRejected,
		simwire.StatusTimedOut:      policy.StatusTimedOut,
		simwire.StatusConnectFailed: policy.StatusConnectFailed,
		simwire.StatusReset:         policy.StatusReset,
		simwire.StatusCancelled:     policy.StatusCancelled,
		simwire.StatusNotSent:       policy.StatusNotSent,
	}
	updateKinds = [...]policy.UpdateKind{
		simwire.UpdateDelta:  policy.UpdateDelta,
		simwire.UpdateFull:   policy.UpdateFull,
		simwire.UpdateCached: policy.UpdateCached,
		simwire.UpdateFailed: policy.UpdateFailed,
	}
	endpointStates = [...]policy.EndpointState{
		simwire.EndpointRemoved:  policy.StateRemoved,
		simwire.EndpointReady:    policy.StateReady,
		simwire.EndpointDraining: policy.StateDraining,
	}
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func endpointsOf(entries []simwire.Endpoint) []policy.Endpoint {
	endpoints := make([]policy.Endpoint, len(entries))
	for i := range entries {
		entry := &entries[i]
		endpoints[i] = policy.Endpoint{
			ID:        policy.EndpointID(entry.ID),
			Weight:    float64(entry.Weight),
			State:     endpointStates[entry.State],
			Zone:      int(entry.Zone),
			Cell:      int(entry.Cell),
			StartedAt: settings.Duration(entry.StartedAtMs),
		}
	}
	return endpoints
}

func requestOf(event *simwire.Event) policy.Request {
	return policy.Request{
		ID:       policy.RequestID(event.RequestID),
		Class:    int(event.Class),
		Plan:     int(event.Plan),
		Customer: policy.CustomerID(event.Customer),
		TimeLeft: settings.Duration(event.TimeLeftMs),
		Units:    float64(event.Units),
		SetSize:  int(event.SetSize),
		SetFirst: int(event.SetFirst),
	}
}

func attemptResultOf(event *simwire.Event, columns []string) policy.AttemptResult {
	return policy.AttemptResult{
		Request:     policy.RequestID(event.RequestID),
		Attempt:     int(event.Attempt),
		Endpoint:    policy.EndpointID(event.EndpointID),
		Status:      statuses[event.Status],
		Latency:     settings.Duration(event.LatencyMs),
		RequestDone: event.RequestDone,
		HasUsage:    event.Usage > 0,
		Usage:       (float64(event.Usage) - 1) / 100,
		LoadReport:  loadReportOf(event.LoadReport, columns),
	}
}

// A timer's token on the wire has the request in its lower half. Above it come the attempt and, on top, the kind.
const (
	attemptShift = 32
	kindShift    = 56
)

// timerToken returns the token that names a timer on the wire.
func timerToken(timer policy.Timer) uint64 {
	return uint64(timer.Kind)<<kindShift | uint64(uint8(timer.Attempt))<<attemptShift | uint64(timer.Request)
}

// timerOf returns the timer that a token of timerToken names.
func timerOf(token uint64) policy.Timer {
	return policy.Timer{
		Kind:    policy.TimerKind(token >> kindShift),
		Request: policy.RequestID(token),
		Attempt: int(uint8(token >> attemptShift)),
	}
}

// The columns of a load report that the policy can use.
const (
	columnActive  = "active"  // requests in flight
	columnWaiting = "waiting" // requests queued
	columnCPU     = "cpu"     // share of the CPU that is busy
	columnAvgMs   = "avg_ms"  // recent service time, in milliseconds
	columnRPS     = "rps"     // answers per second
	columnErrRPS  = "err_rps" // errors per second
)

// absent stands for a value that a load report does not have.
const absent = -1

// loadReportOf assigns the values of a load report by the names of their columns. Unknown columns are ignored.
func loadReportOf(values []float32, columns []string) policy.LoadReport {
	report := policy.LoadReport{
		Present:     len(values) > 0,
		InFlight:    absent,
		Queued:      absent,
		Utilization: absent,
		Latency:     absent,
		Rate:        absent,
		Errors:      absent,
	}
	for i := range min(len(values), len(columns)) {
		value := float64(values[i])
		switch columns[i] {
		case columnActive:
			report.InFlight = value
		case columnWaiting:
			report.Queued = value
		case columnCPU:
			report.Utilization = value
		case columnAvgMs:
			report.Latency = value / 1000
		case columnRPS:
			report.Rate = value
		case columnErrRPS:
			report.Errors = value
		}
	}
	return report
}
