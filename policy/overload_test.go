package policy

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Latencies of answers relative to the latency objective of testConfig's classes.
const (
	lateLatency   = 900 * time.Millisecond // above the objective
	timelyLatency = 50 * time.Millisecond  // well below the objective
)

// Each of eighty gateways in front of sixty endpoints gets few answers. A concurrency limit lowered to below one unit
// would take minutes to rise again while the endpoints are idle, so the limit has a minimum.
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
	if math.Abs(engine.gatewayLimit-want) > 1e-9 || engine.pausedUntil > gateway.now {
		t.Fatalf("after late answers only: limit %v (want %v), pause of %v (want none)",
			engine.gatewayLimit, want, engine.pausedUntil-gateway.now)
	}
	gateway.submit(1, idempotentClass, unknownPlan, 1)
	if len(gateway.forwarded) != 1 {
		t.Error("the request was not forwarded at the minimum limit")
	}
	for _, ep := range engine.endpointList { // endpoints that warm up have less capacity, so the minimum is lower
		ep.StartedAt = gateway.now
	}
	if minLimit := engine.gatewayLimitFloor(gateway.now); minLimit >= want {
		t.Errorf("minimum limit is %v while all endpoints warm up, want less than with warm ones", minLimit)
	}
}

// Late answers must lower the endpoint's limit and the limit on all endpoints, so that requests queue at the gateway
// instead of at endpoints, which would keep working on requests that are already too late.
func TestLateAnswersLowerLimits(t *testing.T) {
	cfg := testConfig()
	cfg.GatewayCount = 100 // they share one endpoint, so each gateway's minimum limit is below one unit
	gateway := startTestGateway(cfg, 1)
	engine, ep := gateway.engine, gateway.engine.endpoints[1]
	unanswered := newRequest(engine, 1, nil)
	for range 100 {
		gateway.now += time.Second
		engine.adjustLimits(gateway.now, ep, newRequest(engine, 1, nil), true, lateLatency)
	}
	minLimit := max(minGatewayLimit, minUnitsPerEndpoint/100)
	if ep.limit != 1 || math.Abs(engine.gatewayLimit-minLimit) > 1e-9 || engine.pausedUntil <= gateway.now {
		t.Fatalf("after late answers: endpoint limit %v, limit on all endpoints %v, pause of %v",
			ep.limit, engine.gatewayLimit, engine.pausedUntil-gateway.now)
	}
	gateway.submit(100, idempotentClass, unknownPlan, 1)
	if len(gateway.forwarded) != 0 {
		t.Error("a request was forwarded during a pause")
	}
	// An attempt without an answer is checked repeatedly, but must lower the limit on all endpoints only once.
	engine.gatewayLimit = 9
	for range 10 {
		engine.adjustLimits(gateway.now, ep, unanswered, true, lateLatency)
	}
	if engine.gatewayLimit != 9-gatewayLimitDecrease {
		t.Errorf("limit on all endpoints is %v after one unanswered attempt, want one decrease from 9", engine.gatewayLimit)
	}
	engine.pausedUntil, engine.gatewayLimit = 0, 9
	for id := RequestID(1); id <= 5; id++ {
		gateway.submit(id, idempotentClass, unknownPlan, 1)
	}
	if len(gateway.forwarded) != 1 {
		t.Errorf("%d attempts in flight at an endpoint limit of one", len(gateway.forwarded))
	}
	ep.inFlightUnits = 1
	for range 50 {
		engine.adjustLimits(gateway.now, ep, unanswered, false, timelyLatency)
	}
	if ep.limit <= 1 || ep.limit > 4.2 {
		t.Errorf("endpoint limit is %v; it must rise, but only while it is used", ep.limit)
	}
}

// Lost answers that counted as late lowered the limits of a healthy fleet, which then rejected nine of ten requests for
// many seconds. An attempt without an answer must be cancelled and retried elsewhere, without lowering a limit, if a
// later attempt at the same endpoint has been answered.
func TestLostAnswersDoNotLowerLimits(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	engine := gateway.engine
	engine.latencyPerUnit = 0.025
	gateway.submit(1, idempotentClass, costlyPlan, 1)
	ep := gateway.endpointOfAttempt(0)
	limitBefore := ep.limit
	gateway.advanceTo(time.Millisecond)
	gateway.submit(2, idempotentClass, costlyPlan, 1)
	for id := RequestID(3); gateway.lastForwarded().endpoint != ep.ID; id++ { // until one is sent to the same endpoint
		gateway.submit(id, idempotentClass, costlyPlan, 1)
		if !gateway.lastForwardedIs(id) {
			t.Fatalf("request %d was not forwarded: %v", id, gateway.log)
		}
	}
	answered := gateway.lastForwarded().request
	gateway.advanceTo(20 * time.Millisecond)
	gateway.finish(answered, StatusOK, noUsage)
	gateway.advanceTo(250 * time.Millisecond)
	if r := engine.requests[1]; r == nil || !r.laterAttemptAnswered() || !slices.Contains(gateway.cancelled, 1) {
		t.Fatalf("the attempt with the lost answer was not cancelled: %v", gateway.log)
	}
	if ep.limit < limitBefore || ep.ejected {
		t.Errorf("the endpoint's limit went from %v to %v, ejected: %v", limitBefore, ep.limit, ep.ejected)
	}
}

// Under overload, a request that is expected to miss its objective must be rejected instead of using capacity.
func TestRequestThatWouldBeLateIsRejectedUnderOverload(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	engine := gateway.engine
	engine.latencyPerUnit, engine.overloaded, engine.latencyRatio = 0.6, true, 1
	gateway.submit(1, idempotentClass, unknownPlan, 1)
	if len(gateway.rejected) != 1 || len(gateway.forwarded) != 0 {
		t.Errorf("a request that would be late was not rejected: %v", gateway.log)
	}
	engine.latencyPerUnit = 0.1
	gateway.submit(2, idempotentClass, unknownPlan, 1)
	if len(gateway.forwarded) != 1 {
		t.Errorf("a request that would be in time was not forwarded: %v", gateway.log)
	}
}

// A gateway that rejects requests because answers were slow must forward again, since only another answer can show that
// the endpoints have recovered.
func TestGatewayForwardsAgainAfterSlowAnswers(t *testing.T) {
	const answerTime = 700 * time.Millisecond
	gateway := startTestGateway(testConfig(), 4)
	id := RequestID(0)
	for !gateway.engine.overloaded {
		id++
		if id > 100 {
			t.Fatal("slow answers have not led to overload")
		}
		gateway.submit(id, idempotentClass, unknownPlan, 1)
		if gateway.lastForwardedIs(id) {
			gateway.advance(answerTime)
			gateway.finishFirstAttempt(id, gateway.lastForwarded().endpoint, StatusOK, answerTime)
		}
	}
	before := len(gateway.forwarded)
	for range 40 {
		id++
		gateway.submit(id, idempotentClass, unknownPlan, 1)
		gateway.advance(100 * time.Millisecond)
	}
	if len(gateway.forwarded) == before {
		t.Errorf("no request was forwarded in 4s; %d were rejected", len(gateway.rejected))
	}
}

// Concurrency limits keep latencies low even under overload, so that latencies alone do not show it. Requests that find
// no endpoint with capacity must count as a sign of overload too.
func TestLackOfCapacityCountsAsOverload(t *testing.T) {
	gateway := startTestGateway(testConfig(), 1)
	engine, ep := gateway.engine, gateway.engine.endpoints[1]
	ep.limit, ep.inFlight, ep.inFlightUnits = 1, 1, 1
	for id := RequestID(1); id <= 10; id++ {
		gateway.submit(id, idempotentClass, unknownPlan, 1)
	}
	gateway.advanceTo(400 * time.Millisecond)
	if !engine.overloaded {
		t.Errorf("no overload is detected at a latency ratio of %v though no request found capacity", engine.latencyRatio)
	}
}

// If customers within their quotas overload the fleet, requests of low priority must leave a part of each endpoint's
// limit to requests of high priority, yet must not starve at an idle endpoint.
func TestLowPriorityLeavesReserveUnderOverload(t *testing.T) {
	cfg := testConfig()
	cfg.Plans[softPlan].PriceFactor = 0.2 // a fifth of costlyPlan's
	gateway := startTestGateway(cfg, 1)
	engine, ep := gateway.engine, gateway.engine.endpoints[1]
	engine.overloaded, engine.latencyRatio = true, 1
	ep.limit, ep.inFlight, ep.inFlightUnits, ep.lastResponseAt = 4, 2, 2, 0
	gateway.submit(1, idempotentClass, softPlan, 1)
	if len(gateway.forwarded) != 0 {
		t.Fatalf("a request of low priority used the capacity reserved for high priority: %v", gateway.log)
	}
	gateway.submit(2, idempotentClass, costlyPlan, 1)
	if len(gateway.forwarded) != 1 {
		t.Errorf("a request of high priority was not forwarded: %v", gateway.log)
	}
	ep.inFlight, ep.inFlightUnits = 0, 0
	gateway.advanceTo(100 * time.Millisecond)
	if len(gateway.forwarded) != 2 {
		t.Errorf("a request of low priority was not forwarded to an idle endpoint: %v", gateway.log)
	}
}
