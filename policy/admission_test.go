package policy

import (
	"reflect"
	"testing"
	"time"
)

// Guards against delaying or rejecting a request of a customer within its quota while there is no overload.
func TestRequestWithinQuotaIsForwardedAtOnce(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	gateway.submit(1, idempotentClass, costlyPlan, 1)
	if len(gateway.forwarded) != 1 {
		t.Fatalf("not forwarded at once: %v", gateway.log)
	}
	gateway.finish(1, StatusOK, 0.5)
	gateway.advanceTo(5 * time.Second)
	if len(gateway.rejected)+len(gateway.failed) != 0 || len(gateway.engine.requests) != 0 {
		t.Errorf("answered twice or not at all: %v", gateway.log)
	}
}

// exceedQuotaUnderOverload sets the engine's state to overloaded and the customer of costlyPlan to over its quota.
// The peak usage is so high that its term in the pacing formula vanishes and the quota alone sets the pacing delay.
func exceedQuotaUnderOverload(gateway *testGateway) {
	engine := gateway.engine
	gateway.submit(1, idempotentClass, costlyPlan, 1)
	gateway.finish(1, StatusOK, 1)
	engine.customers[costlyPlan+1].avgUsage = 20
	engine.overloaded, engine.latencyRatio = true, 0.9
	engine.bandwidth.anyActiveUnderQuota, engine.bandwidth.peakUsage = true, 1e9
}

// Under overload, requests over quota are released one by one at the quota's rate, and rejected if that would delay
// them by more than half of the latency objective.
func TestDelayedRequestsAreReleasedInTurn(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	exceedQuotaUnderOverload(gateway)
	for id := RequestID(2); id <= 4; id++ {
		gateway.submit(id, idempotentClass, costlyPlan, 1)
	}
	if len(gateway.forwarded) != 1 {
		t.Fatalf("forwarded under overload and over quota: %v", gateway.log)
	}
	gateway.advanceTo(time.Second)
	// Each request is released 0.1 s after the previous one. The third would be delayed by 0.3 s, which exceeds half
	// of the objective of 0.5 s.
	want := []forwardedAttempt{
		{request: 2, at: 100 * time.Millisecond},
		{request: 3, at: 200 * time.Millisecond},
	}
	for i, wanted := range want {
		got := gateway.forwarded[i+1]
		if got.request != wanted.request || (got.at-wanted.at).Abs() > time.Microsecond {
			t.Errorf("release %d: got %+v, want %+v", i, got, wanted)
		}
	}
	if !reflect.DeepEqual(gateway.rejected, []RequestID{4}) {
		t.Errorf("rejected %v, want only request 4, whose delay is too long", gateway.rejected)
	}
}

// A request over the quota of a soft plan still earns a part of its value, so it is rejected only under overload.
func TestSoftQuotaAppliesOnlyUnderOverload(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	for id := RequestID(1); id <= 12; id++ {
		gateway.submit(id, idempotentClass, softPlan, 1)
	}
	if len(gateway.forwarded) != 12 {
		t.Fatalf("a request of a soft plan was rejected without overload: %v", gateway.log)
	}
	gateway.engine.overloaded = true
	gateway.submit(13, idempotentClass, softPlan, 1)
	if len(gateway.rejected) != 1 {
		t.Errorf("request over a soft quota was not rejected under overload: %v", gateway.log)
	}
}

// A gateway that restarts must not grant the ceiling's burst again: its bucket starts empty and fills at the
// gateway's share of the ceiling's rate.
func TestCeilingStartsEmptyAndIsNeverExceeded(t *testing.T) {
	const unitsEach = 2.0
	gateway := startTestGateway(testConfig(), 3)
	gateway.submit(1, idempotentClass, ceilingPlan, unitsEach)
	if len(gateway.forwarded) != 0 {
		t.Fatal("a gateway that has just started forwarded a request of a plan with a ceiling")
	}
	id, answered := RequestID(2), 0
	for gateway.now < 6*time.Second {
		gateway.advance(20 * time.Millisecond)
		gateway.submit(id, idempotentClass, ceilingPlan, unitsEach)
		gateway.engine.customers[ceilingPlan+1].estimatedBucket.tokens = 20
		for ; answered < len(gateway.forwarded); answered++ {
			gateway.finish(gateway.forwarded[answered].request, StatusOK, noUsage)
		}
		id++
	}
	units := 0.0
	for _, attempt := range gateway.forwarded {
		units += unitsEach
		if limit := 10 * attempt.at.Seconds(); units > limit+1e-6 { // this gateway's half of 20 units/s
			t.Fatalf("%v units forwarded within %v, which exceeds the ceiling", units, attempt.at)
		}
	}
	if units < 50 {
		t.Errorf("only %v units forwarded in 6 s", units)
	}
}

// Many customers send a single request. The ceiling bucket of a new customer counts as filling since the gateway's
// start, so that its first request is not delayed. The ceiling is still respected.
func TestNewCustomerCeilingFillsFromGatewayStart(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	gateway.advanceTo(time.Minute)
	gateway.submit(1, idempotentClass, ceilingPlan, 4)
	if len(gateway.forwarded) != 1 {
		t.Fatal("the first request of a new customer was not forwarded at once")
	}
	got := gateway.engine.customers[ceilingPlan+1].ceilingBucket.tokens
	if want := gateway.engine.cfg.Plans[ceilingPlan].CeilingBurst/2 - 4; got != want {
		t.Errorf("the ceiling bucket holds %v units, want %v", got, want)
	}
}
