package policy

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// Guards against panics and leaked state after requests with invalid fields, and after results, disconnects and timers
// of requests that the engine does not know.
func TestInvalidEventsAreRejectedOrIgnored(t *testing.T) {
	gateway := startTestGateway(testConfig(), 1)
	engine := gateway.engine
	engine.Submit(0, Request{ID: 1, Class: 9, Plan: unknownPlan, TimeLeft: time.Second})
	engine.Submit(0, Request{ID: 2, Plan: unknownPlan, TimeLeft: time.Second, Units: math.NaN()})
	engine.Submit(0, Request{ID: 3, TimeLeft: -1})
	engine.AttemptFinished(0, AttemptResult{Request: 77, Endpoint: 88, Status: StatusOK})
	engine.AttemptFinished(0, AttemptResult{Request: 2, Endpoint: 88, Attempt: 40, Status: StatusReset})
	engine.ClientDisconnected(0, 99)
	engine.TimerFired(0, Timer{Kind: math.MaxUint8, Request: math.MaxUint32, Attempt: math.MaxInt})
	if len(gateway.rejected) != 2 || len(gateway.forwarded) != 1 || len(engine.requests) != 1 {
		t.Errorf("want two rejections, one forward and one open request: %v", gateway.log)
	}
}

// An inconsistent configuration must not cause a panic, and each request must still get an answer.
func TestEngineWithInvalidConfigAnswersRequests(t *testing.T) {
	classes := []Class{{LatencyObjective: time.Second}}
	for i, cfg := range []Config{
		{Classes: []Class{{}}, Plans: []Plan{{QuotaRate: 1}}},
		{GatewayIndex: 9, GatewayCount: 3, Classes: classes, Plans: []Plan{{QuotaRate: 1, CeilingRate: 1}}},
		{GatewayIndex: -4, GatewayCount: -1, MeterPeriod: -1, WarmUpDuration: time.Second, Classes: classes},
	} {
		gateway := newTestGateway(cfg, 0)
		engine := gateway.engine
		engine.UpdateEndpoints(0, UpdateFull, nil)
		engine.Submit(0, Request{ID: 1, TimeLeft: time.Second, Units: 1})
		engine.UpdateEndpoints(0, UpdateFull,
			[]Endpoint{{ID: 1, State: StateReady, Weight: math.NaN(), StartedAt: time.Millisecond}})
		engine.Submit(gateway.now, Request{ID: 2, Plan: -7, TimeLeft: time.Second, SetSize: -3, SetFirst: 99})
		gateway.advanceTo(500 * time.Millisecond)
		for range 2 { // each result is delivered twice
			for _, attempt := range gateway.forwarded {
				engine.AttemptFinished(gateway.now, AttemptResult{Request: attempt.request, Endpoint: attempt.endpoint,
					Latency: time.Millisecond, RequestDone: true, HasUsage: true, Usage: math.NaN()})
			}
		}
		gateway.advanceTo(3 * time.Second)
		answers := len(gateway.rejected) + len(gateway.failed) + len(gateway.forwarded)
		if answers != 2 || len(engine.requests) != 0 {
			t.Errorf("configuration %d: want two answers and no open requests: %v", i, gateway.log)
		}
	}
}

// The engine must be deterministic: map order or an unseeded random number must not change its actions.
func TestSameEventsLeadToSameActions(t *testing.T) {
	run := func() []string {
		gateway := startTestGateway(testConfig(), 3)
		for id := RequestID(1); id <= 300; id++ {
			gateway.engine.Submit(gateway.now, Request{ID: id, Class: int(id) % 3, Plan: int(id) % 3,
				Customer: CustomerID(id % 17), TimeLeft: time.Second, Units: float64(id%4 + 1), SetSize: 2})
			if id%3 == 0 {
				gateway.finish(id, Status(id%5), 1.5)
			}
			gateway.advance(7 * time.Millisecond)
		}
		return gateway.log
	}
	if first, second := run(), run(); !reflect.DeepEqual(first, second) || len(first) < 200 {
		t.Errorf("two runs differ or have too few actions (%d, want at least 200)", len(first))
	}
}

// The gateway drops timers that the engine does not report as pending. A timer must therefore be pending exactly as
// long as its firing would have an effect.
func TestTimerIsPendingWhileItHasAnEffect(t *testing.T) {
	gateway := startTestGateway(testConfig(), 2)
	engine := gateway.engine
	managerTimer := gateway.lastTimer
	gateway.submit(1, idempotentClass, costlyPlan, 1)
	silenceTimer := gateway.lastTimer
	if managerTimer.Kind != TimerBandwidthManager || silenceTimer.Kind != TimerSilence {
		t.Fatalf("timers %+v and %+v were started, want the manager's timer and an attempt's silence timer",
			managerTimer, silenceTimer)
	}
	if !engine.TimerPending(managerTimer) || !engine.TimerPending(silenceTimer) {
		t.Error("the manager's timer or the silence timer of an attempt in flight is not pending")
	}
	gateway.finish(1, StatusOK, noUsage)
	if !engine.TimerPending(managerTimer) || engine.TimerPending(silenceTimer) {
		t.Error("after the answer, want only the manager's timer to be pending")
	}
	gateway.submit(2, idempotentClass, ceilingPlan, 1) // queued until its ceiling allows it
	releaseTimer := gateway.lastTimer
	if releaseTimer.Kind != TimerRelease || !engine.TimerPending(releaseTimer) {
		t.Error("the release timer of a queued request is not pending")
	}
	engine.ClientDisconnected(gateway.now, 2)
	if engine.TimerPending(releaseTimer) {
		t.Error("the release timer of a request whose client has disconnected is still pending")
	}
}

// An attempt must release exactly the units that it took, even if its client disconnects or its endpoint is removed
// before it ends. Units that are never released would use up the concurrency limits for good.
func TestFinishedAttemptReleasesItsUnits(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	engine := gateway.engine
	for id := RequestID(1); id <= 8; id++ {
		gateway.submit(id, idempotentClass, costlyPlan, 4)
		if len(gateway.forwarded) != int(id) {
			t.Fatalf("request %d was not forwarded", id)
		}
		endpoint := gateway.lastForwarded().endpoint
		engine.ClientDisconnected(gateway.now, id)
		if id%2 == 0 {
			engine.UpdateEndpoints(gateway.now, UpdateDelta, []Endpoint{{ID: endpoint, State: StateRemoved}})
		}
		gateway.finishFirstAttempt(id, endpoint, StatusCancelled, 0)
		engine.UpdateEndpoints(gateway.now, UpdateDelta, []Endpoint{{ID: endpoint, Weight: 1, State: StateReady}})
		ep := engine.endpoints[endpoint]
		if engine.inFlightUnits != 0 || ep.inFlightUnits != 0 || ep.inFlight != 0 || len(engine.orphans) != 0 {
			t.Fatalf("after request %d: %v units in flight, %v units of %d attempts at its endpoint, %d orphans; want none",
				id, engine.inFlightUnits, ep.inFlightUnits, ep.inFlight, len(engine.orphans))
		}
		gateway.advance(2 * time.Second)
	}
}

// Guards against requests that are left without an answer because they would leave the queue only after the shutdown's
// deadline.
func TestShutdownAnswersQueuedRequests(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	exceedQuotaUnderOverload(gateway)
	gateway.submit(2, idempotentClass, costlyPlan, 1) // queued for 100 ms
	gateway.engine.BeginShutdown(gateway.now, gateway.now+10*time.Millisecond)
	gateway.advance(20 * time.Millisecond)
	if len(gateway.forwarded) != 1 || !reflect.DeepEqual(gateway.rejected, []RequestID{2}) ||
		len(gateway.engine.requests) != 0 {
		t.Errorf("want the queued request to be rejected: %v", gateway.log)
	}
}

// A request must not be forwarded after its client has disconnected, whether it is delayed by pacing, waits for an
// endpoint with capacity or is between two attempts, and whether or not attempts may be cancelled.
func TestRequestOfDisconnectedClientIsNotForwarded(t *testing.T) {
	for _, canCancel := range []bool{true, false} {
		cfg := testConfig()
		cfg.CanCancel = canCancel
		disconnect := func(situation string, gateway *testGateway, id RequestID, wantForwarded int) {
			t.Helper()
			gateway.engine.ClientDisconnected(gateway.now, id)
			gateway.advance(5 * time.Second)
			answers := len(gateway.rejected) + len(gateway.failed)
			if len(gateway.forwarded) != wantForwarded || answers != 0 || len(gateway.engine.requests) != 0 {
				t.Errorf("%s, cancellation %v: request was forwarded or answered after the disconnect: %v",
					situation, canCancel, gateway.log)
			}
		}

		gateway := startTestGateway(cfg, 3)
		exceedQuotaUnderOverload(gateway)
		gateway.submit(2, idempotentClass, costlyPlan, 1)
		disconnect("delayed by pacing", gateway, 2, 1)

		gateway = startTestGateway(cfg, 3)
		gateway.engine.pausedUntil = 100 * time.Millisecond
		gateway.submit(1, idempotentClass, costlyPlan, 1)
		disconnect("waiting for an endpoint", gateway, 1, 0)

		gateway = startTestGateway(cfg, 3)
		gateway.submit(1, idempotentClass, costlyPlan, 1)
		gateway.engine.ClientDisconnected(gateway.now, 1)
		gateway.finishFirstAttempt(1, gateway.forwarded[0].endpoint, StatusRejected, 0)
		disconnect("between attempts", gateway, 1, 1)

		gateway = startTestGateway(cfg, 3)
		gateway.engine.latencyPerUnit = 0.01
		gateway.submit(1, idempotentClass, costlyPlan, 1)
		gateway.engine.ClientDisconnected(gateway.now, 1)
		gateway.advance(time.Second) // lets the attempt's silence timer fire before the attempt ends
		gateway.finishFirstAttempt(1, gateway.forwarded[0].endpoint, StatusTimedOut, 0)
		disconnect("after a silent attempt", gateway, 1, 1)
		if len(gateway.engine.orphans) != 0 || gateway.engine.inFlightUnits != 0 {
			t.Errorf("%d orphans and %v units in flight are left, want none",
				len(gateway.engine.orphans), gateway.engine.inFlightUnits)
		}
	}
}
