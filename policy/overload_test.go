package policy

import (
	"math"
	"slices"
	"testing"
	"time"
)

const (
	lateLatency   = 900 * time.Millisecond // over the objective of config's classes
	timelyLatency = 50 * time.Millisecond
)

// Each of eighty gateways before sixty endpoints gets so few answers that a limit lowered to a share of the
// time would take minutes to rise again, while the endpoints are idle.
func TestLateAnswersKeepMinimumLimit(t *testing.T) {
	const gateways, endpoints = 80, 60
	cfg := testConfig()
	cfg.GatewayCount = gateways
	gateway := startTestGateway(cfg, endpoints)
	engine := gateway.engine
	for i := range 200 {
		gateway.now += 100 * time.Millisecond
		ep := engine.endpoints[EndpointID(i%endpoints+1)]
		engine.adjustLimits(gateway.now, ep, newRequest(engine, 1, nil), true, lateLatency)
	}
	want := minUnitsPerEndpoint * endpoints / gateways
	if math.Abs(engine.limit-want) > 1e-9 || engine.pausedUntil > gateway.now {
		t.Fatalf("limit %v (want %v), pause of %v after late answers alone",
			engine.limit, want, engine.pausedUntil-gateway.now)
	}
	gateway.submit(1, idempotentClass, unknownPlan, 1)
	if len(gateway.forwarded) != 1 {
		t.Error("nothing is forwarded at the minimum limit")
	}
	for _, ep := range engine.endpointList { // endpoints that warm up have less capacity
		ep.StartedAt = gateway.now
	}
	if minLimit := engine.minLimit(gateway.now); minLimit >= want {
		t.Errorf("minimum limit %v with endpoints that warm up", minLimit)
	}
}

// Late answers lower both limits, so that requests queue at the gateway, and not at endpoints that would go
// on working on requests that are too late.
func TestLateAnswersLowerLimits(t *testing.T) {
	cfg := testConfig()
	cfg.GatewayCount = 100 // they share one endpoint, so a gateway's minimum is a share of the time
	gateway := startTestGateway(cfg, 1)
	engine, ep := gateway.engine, gateway.engine.endpoints[1]
	lost := newRequest(engine, 1, nil)
	for range 100 {
		gateway.now += time.Second
		engine.adjustLimits(gateway.now, ep, newRequest(engine, 1, nil), true, lateLatency)
	}
	minLimit := max(minFleetLimit, minUnitsPerEndpoint/100)
	if ep.limit != 1 || math.Abs(engine.limit-minLimit) > 1e-9 || engine.pausedUntil <= gateway.now {
		t.Fatalf("endpoint limit %v, limit on all %v, pause of %v after late answers",
			ep.limit, engine.limit, engine.pausedUntil-gateway.now)
	}
	gateway.submit(100, idempotentClass, unknownPlan, 1)
	if len(gateway.forwarded) != 0 {
		t.Error("forwarded during a pause")
	}
	// An attempt lowers the limit once, however often it is looked at: one without an answer is looked at often.
	engine.limit = 9
	for range 10 {
		engine.adjustLimits(gateway.now, ep, lost, true, lateLatency)
	}
	if engine.limit != 9-limitDecrease {
		t.Errorf("limit on all endpoints %v after one lost answer", engine.limit)
	}
	engine.pausedUntil, engine.limit = 0, 9
	for id := RequestID(1); id <= 5; id++ {
		gateway.submit(id, idempotentClass, unknownPlan, 1)
	}
	if len(gateway.forwarded) != 1 {
		t.Errorf("%d attempts in flight at an endpoint limit of one", len(gateway.forwarded))
	}
	ep.inFlightUnits = 1
	for range 50 {
		engine.adjustLimits(gateway.now, ep, lost, false, timelyLatency)
	}
	if ep.limit <= 1 || ep.limit > 4.2 {
		t.Errorf("endpoint limit %v: it rises only while it is used", ep.limit)
	}
}

// Where answers get lost, limits that took them for late ones fell though the fleet was well, and nine
// requests in ten were rejected for many seconds. An attempt that was overtaken by a later one at the same
// endpoint is moved and lowers no limit.
func TestLostAnswersLowerNoLimit(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	engine := gateway.engine
	engine.latencyPerUnit = 0.025
	gateway.submit(1, idempotentClass, costlyPlan, 1)
	ep := gateway.endpointOfAttempt(0)
	limitBefore := ep.limit
	gateway.advanceTo(time.Millisecond)
	gateway.submit(2, idempotentClass, costlyPlan, 1)
	for id := RequestID(3); gateway.lastForwarded().endpoint != ep.ID; id++ { // until one goes to the same endpoint
		gateway.submit(id, idempotentClass, costlyPlan, 1)
		if !gateway.lastForwardedIs(id) {
			t.Fatalf("request %d was not forwarded: %v", id, gateway.log)
		}
	}
	later := gateway.lastForwarded().request
	gateway.advanceTo(20 * time.Millisecond)
	gateway.finish(later, StatusOK, noUsage)
	gateway.advanceTo(250 * time.Millisecond)
	if r := engine.requests[1]; r == nil || !r.overtaken() || !slices.Contains(gateway.cancelled, 1) {
		t.Fatalf("not moved: %v", gateway.log)
	}
	if ep.limit < limitBefore || ep.ejected {
		t.Errorf("the endpoint's limit went from %v to %v, ejected: %v", limitBefore, ep.limit, ep.ejected)
	}
}

// Under overload, a request that cannot be answered in time costs no capacity.
func TestRequestThatWouldBeLateIsRejectedUnderOverload(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	engine := gateway.engine
	engine.latencyPerUnit, engine.overloaded, engine.pressure = 0.6, true, 1
	gateway.submit(1, idempotentClass, unknownPlan, 1)
	if len(gateway.rejected) != 1 || len(gateway.forwarded) != 0 {
		t.Errorf("%v", gateway.log)
	}
	engine.latencyPerUnit = 0.1
	gateway.submit(2, idempotentClass, unknownPlan, 1)
	if len(gateway.forwarded) != 1 {
		t.Errorf("%v", gateway.log)
	}
}

// The limits keep latencies low, so latencies alone no longer show an overload.
func TestLackOfCapacityIsOverload(t *testing.T) {
	gateway := startTestGateway(testConfig(), 1)
	engine, ep := gateway.engine, gateway.engine.endpoints[1]
	ep.limit, ep.inFlight, ep.inFlightUnits = 1, 1, 1
	for id := RequestID(1); id <= 10; id++ {
		gateway.submit(id, idempotentClass, unknownPlan, 1)
	}
	gateway.advanceTo(400 * time.Millisecond)
	if !engine.overloaded {
		t.Errorf("pressure %v after no request found capacity", engine.pressure)
	}
}

// Under overload within the quotas, requests of low priority leave the last of an endpoint's capacity to
// those of high priority.
func TestLowPriorityLeavesReserveUnderOverload(t *testing.T) {
	cfg := testConfig()
	cfg.Plans[softPlan].PriceFactor = 0.2 // a fifth of what costlyPlan earns
	gateway := startTestGateway(cfg, 1)
	engine, ep := gateway.engine, gateway.engine.endpoints[1]
	engine.overloaded, engine.pressure = true, 1
	ep.limit, ep.inFlight, ep.inFlightUnits, ep.lastResponse = 4, 2, 2, 0
	gateway.submit(1, idempotentClass, softPlan, 1)
	if len(gateway.forwarded) != 0 {
		t.Fatalf("a request of low priority took the reserve: %v", gateway.log)
	}
	gateway.submit(2, idempotentClass, costlyPlan, 1)
	if len(gateway.forwarded) != 1 {
		t.Errorf("a request of high priority found no capacity: %v", gateway.log)
	}
	ep.inFlight, ep.inFlightUnits = 0, 0
	gateway.advanceTo(100 * time.Millisecond)
	if len(gateway.forwarded) != 2 {
		t.Errorf("a request of low priority is starved at an idle endpoint: %v", gateway.log)
	}
}
