package main

import (
	"testing"
	"time"

	"springfield/internal/simwire"
	"springfield/policy"
)

// The settings of a run define the order of the columns. Values must be assigned by name, and unknown columns must be
// ignored.
func TestLoadReportValuesFollowColumnNames(t *testing.T) {
	columns := []string{"rps", "avg_ms", "new_column"}
	report := policyLoadReport([]float32{12, 50, 7}, columns)
	if !report.Present || report.Rate != 12 || report.Latency != 0.05 || report.Utilization >= 0 {
		t.Errorf("%+v", report)
	}
	if policyLoadReport(nil, columns).Present {
		t.Error("an empty report is marked as present")
	}
}

// Guards against an entry of a mapping table that is missing or in the wrong place.
func TestProtocolCodesMapToPolicyCodes(t *testing.T) {
	for code := simwire.StatusOK; code <= simwire.StatusNotSent; code += 10 {
		if want := policy.Status(code/10 - 1); statuses[code] != want {
			t.Errorf("status %d: got %d, want %d", code, statuses[code], want)
		}
	}
	for kind := simwire.UpdateDelta; kind <= simwire.UpdateFailed; kind++ {
		if want := policy.UpdateKind(kind); updateKinds[kind] != want {
			t.Errorf("update kind %d: got %d, want %d", kind, updateKinds[kind], want)
		}
	}
	for state := simwire.EndpointRemoved; state <= simwire.EndpointDraining; state++ {
		if want := policy.EndpointState(state); endpointStates[state] != want {
			t.Errorf("endpoint state %d: got %d, want %d", state, endpointStates[state], want)
		}
	}
}

// A token that decodes to another timer would fire the wrong timer. The last check fixes the layout of the bits.
func TestTimerTokenRoundTrips(t *testing.T) {
	for _, timer := range []policy.Timer{
		{Kind: policy.TimerBandwidthManager},
		{Kind: policy.TimerRelease, Request: 0xffffffff},
		{Kind: policy.TimerSilence, Request: 0x5d3a91c4, Attempt: 3},
		{Kind: policy.TimerSilence, Request: 1, Attempt: 255},
		{Kind: policy.TimerWatch},
	} {
		if got := parseTimerToken(timerToken(timer)); got != timer {
			t.Errorf("got %+v, want %+v", got, timer)
		}
	}
	silence := policy.Timer{Kind: policy.TimerSilence, Request: 0x5d3a91c4, Attempt: 2}
	if got := timerToken(silence); got != 0x03000002_5d3a91c4 {
		t.Errorf("got token %x", got)
	}
}

// Guards against result fields that are lost or converted to a wrong unit. A usage of 0 means that the customer is not
// metered.
func TestEventConvertsToAttemptResult(t *testing.T) {
	event := &simwire.Event{
		Code: simwire.EventAttemptFinished, RequestID: 7, Attempt: 1, EndpointID: 9, Status: simwire.StatusReset,
		LatencyMs: 18.5, RequestDone: true, Usage: 86, LoadReport: []float32{0.5},
	}
	want := policy.AttemptResult{
		Request: 7, Attempt: 1, Endpoint: 9, Status: policy.StatusReset, Latency: 18500 * time.Microsecond,
		RequestDone: true, HasUsage: true, Usage: 0.85,
		LoadReport: policy.LoadReport{
			Present: true, InFlight: notReported, Queued: notReported, Utilization: 0.5, Latency: notReported, Rate: notReported,
			Errors: notReported,
		},
	}
	if got := policyAttemptResult(event, []string{"cpu"}); got != want {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	event.Usage = 0
	if policyAttemptResult(event, nil).HasUsage {
		t.Error("a result without a meter reading has a usage")
	}
}

// Guards against request fields that are lost or converted to a wrong unit.
func TestEventConvertsToRequest(t *testing.T) {
	event := &simwire.Event{
		Code: simwire.EventRequest, RequestID: 7, Class: 1, Plan: 2, Customer: 3, TimeLeftMs: 240, Units: 1.5,
		SetSize: 4, SetFirst: 5,
	}
	want := policy.Request{
		ID: 7, Class: 1, Plan: 2, Customer: 3, TimeLeft: 240 * time.Millisecond, Units: 1.5, SetSize: 4, SetFirst: 5,
	}
	if got := policyRequest(event); got != want {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// Guards against endpoint fields that are lost or converted to a wrong unit.
func TestEntriesConvertToEndpoints(t *testing.T) {
	got := policyEndpoints([]simwire.Endpoint{
		{ID: 7, Weight: 1.5, State: simwire.EndpointDraining, Zone: 1, Cell: 2, MachineType: 3, StartedAtMs: 6100},
	})
	want := policy.Endpoint{
		ID: 7, Weight: 1.5, State: policy.StateDraining, Zone: 1, Cell: 2, StartedAt: 6100 * time.Millisecond,
	}
	if len(got) != 1 || got[0] != want {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}
