package main

import (
	"time"

	"springfield/internal/settings"
	"springfield/internal/simwire"
	"springfield/policy"
)

// statuses, updateKinds and endpointStates map the protocol's codes to the policy's values. The decoder has already
// rejected unknown codes.
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

func policyEndpoints(entries []simwire.Endpoint) []policy.Endpoint {
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

func policyRequest(event *simwire.Event) policy.Request {
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

func policyAttemptResult(event *simwire.Event, columns []string) policy.AttemptResult {
	return policy.AttemptResult{
		Request:     policy.RequestID(event.RequestID),
		Attempt:     int(event.Attempt),
		Endpoint:    policy.EndpointID(event.EndpointID),
		Status:      statuses[event.Status],
		Latency:     settings.Duration(event.LatencyMs),
		RequestDone: event.RequestDone,
		HasUsage:    event.Usage > 0,
		Usage:       (float64(event.Usage) - 1) / 100,
		LoadReport:  policyLoadReport(event.LoadReport, columns),
	}
}

// A timer token holds the request ID in bits 0 to 31, the attempt from bit 32 and the timer kind from bit 56.
const (
	attemptShift = 32
	kindShift    = 56
)

// timerToken encodes a timer as the token that identifies it in the simulator's protocol.
func timerToken(timer policy.Timer) uint64 {
	return uint64(timer.Kind)<<kindShift | uint64(uint8(timer.Attempt))<<attemptShift | uint64(timer.Request)
}

// parseTimerToken decodes a token that timerToken has encoded.
func parseTimerToken(token uint64) policy.Timer {
	return policy.Timer{
		Kind:    policy.TimerKind(token >> kindShift),
		Request: policy.RequestID(token),
		Attempt: int(uint8(token >> attemptShift)),
	}
}

// The load report columns that the policy uses.
const (
	columnActive  = "active"  // requests in flight
	columnWaiting = "waiting" // requests queued
	columnCPU     = "cpu"     // CPU utilization, from 0 to 1
	columnAvgMs   = "avg_ms"  // recent average service time, in milliseconds
	columnRPS     = "rps"     // responses per second
	columnErrRPS  = "err_rps" // errors per second
)

// notReported marks a value that a load report does not contain.
const notReported = -1

// policyLoadReport converts a load report. It assigns values by column name and ignores unknown columns.
func policyLoadReport(values []float32, columns []string) policy.LoadReport {
	report := policy.LoadReport{
		Present:     len(values) > 0,
		InFlight:    notReported,
		Queued:      notReported,
		Utilization: notReported,
		Latency:     notReported,
		Rate:        notReported,
		Errors:      notReported,
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
