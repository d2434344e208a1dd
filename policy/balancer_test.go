package policy

import (
	"math"
	"testing"
	"time"
)

// Guards against forwarding to an endpoint that drains or that a full endpoint list no longer contains.
func TestDrainingAndRemovedEndpointsGetNoRequests(t *testing.T) {
	gateway := startTestGateway(testConfig(), 2)
	draining := []Endpoint{{ID: 1, Weight: 1, State: StateDraining}}
	gateway.engine.UpdateEndpoints(0, UpdateDelta, draining)
	gateway.engine.UpdateEndpoints(0, UpdateFull, draining) // endpoint 2 is absent and so removed
	gateway.submit(1, idempotentClass, costlyPlan, 1)
	gateway.advanceTo(3 * time.Second)
	if len(gateway.forwarded) != 0 || len(gateway.rejected) != 1 {
		t.Errorf("want a rejection without a forward: %v", gateway.log)
	}
}

// In a large fleet a gateway gets only one answer from an endpoint every few seconds, and an endpoint can become slow
// within that time. Two slow answers must therefore raise its cost clearly.
func TestTwoSlowAnswersRaiseCost(t *testing.T) {
	gateway := startTestGateway(testConfig(), 4)
	engine := gateway.engine
	gateway.submit(1, idempotentClass, unknownPlan, 1)
	ep := gateway.endpointOfAttempt(0)
	ep.latencyPerUnit, engine.latencyPerUnit = 0.05, 0.05
	before := engine.cost(gateway.now, ep, 1)
	slow := AttemptResult{Endpoint: ep.ID, Latency: 200 * time.Millisecond}
	for range 2 {
		engine.recordResult(gateway.now, ep, slow, 1, engine.requests[1])
	}
	if after := engine.cost(gateway.now, ep, 1); after < 2.5*before {
		t.Errorf("cost is %v after two answers at four times the usual latency, and was %v before", after, before)
	}
}

// A full endpoint rejects at once, so by its latency and requests in flight it looks idle. It must not attract retries.
func TestRejectionRaisesCostAndLowersLimit(t *testing.T) {
	gateway := startTestGateway(testConfig(), 1)
	engine, ep := gateway.engine, gateway.engine.endpoints[1]
	engine.latencyPerUnit = 0.1
	costBefore := engine.cost(gateway.now, ep, 1)
	gateway.submit(1, nonIdempotentClass, unknownPlan, 1)
	limitBefore := ep.limit
	engine.retryTokens = 0
	gateway.finish(1, StatusRejected, noUsage)
	if cost := engine.cost(gateway.now, ep, 1); ep.limit >= limitBefore || cost <= costBefore {
		t.Errorf("after a rejection: limit %v (before %v), cost %v (before %v)", ep.limit, limitBefore, cost, costBefore)
	}
}

// If hundreds of gateways each used every endpoint, they would open more connections than an endpoint accepts.
func TestGatewayUsesFewEndpoints(t *testing.T) {
	const gateways, endpoints = 50, 20
	usedByAny := map[EndpointID]bool{}
	for index := range gateways {
		cfg := testConfig()
		cfg.GatewayIndex, cfg.GatewayCount = index, gateways
		gateway := startTestGateway(cfg, endpoints)
		used := map[EndpointID]bool{}
		for id := RequestID(1); id <= 30; id++ {
			gateway.now += 200 * time.Millisecond
			gateway.engine.Submit(gateway.now, Request{ID: id, Plan: unknownPlan, Customer: 9,
				TimeLeft: time.Second, Units: 1, SetSize: 1})
			endpoint := gateway.lastForwarded().endpoint
			used[endpoint], usedByAny[endpoint] = true, true
			gateway.finishFirstAttempt(id, endpoint, StatusOK, 50*time.Millisecond)
		}
		if len(used) > 3 {
			t.Fatalf("gateway %d used %d endpoints with one request in flight at a time, want at most 3", index, len(used))
		}
	}
	if len(usedByAny) < 18 {
		t.Errorf("all %d gateways together used %d of %d endpoints", gateways, len(usedByAny), endpoints)
	}
}

// An endpoint that is removed while an attempt is in flight must be used again once it is listed again, and forgotten
// once it has been removed and its last attempt has ended.
func TestEndpointRemovedWithAttemptInFlightIsUsedWhenListedAgain(t *testing.T) {
	gateway := startTestGateway(testConfig(), 1)
	engine := gateway.engine
	removed := []Endpoint{{ID: 1, State: StateRemoved}}
	gateway.submit(1, nonIdempotentClass, unknownPlan, 1)
	engine.UpdateEndpoints(0, UpdateDelta, removed)
	engine.UpdateEndpoints(0, UpdateDelta, []Endpoint{{ID: 1, Weight: 1, State: StateReady}})
	gateway.finish(1, StatusOK, noUsage)
	gateway.submit(2, idempotentClass, unknownPlan, 1)
	if len(gateway.forwarded) != 2 {
		t.Errorf("the endpoint was not used after it was listed again: %v", gateway.log)
	}
	engine.UpdateEndpoints(0, UpdateDelta, removed)
	gateway.finish(2, StatusOK, noUsage)
	if len(engine.endpoints) != 0 {
		t.Error("the removed endpoint was not forgotten after its last attempt ended")
	}
}

// Summing the weights of hundreds of endpoints for each warming endpoint at each choice would take a hundred thousand
// steps per request. The engine caches the sum instead, and every kind of list update must adjust it.
func TestReadyWeightFollowsEndpointList(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	engine := gateway.engine
	engine.servedRate = 10
	warmUpRate := func() float64 {
		return engine.warmUpShare(0, &endpoint{Endpoint: Endpoint{Weight: 1}}) * engine.servedRate
	}
	for _, test := range []struct {
		kind        UpdateKind
		list        []Endpoint
		readyWeight float64
	}{
		{UpdateDelta, []Endpoint{{ID: 4, Weight: 3, State: StateReady}}, 6},
		{UpdateDelta, []Endpoint{{ID: 4, Weight: 5, State: StateReady}}, 8},
		{UpdateDelta, []Endpoint{{ID: 1, Weight: 1, State: StateDraining}, {ID: 2, State: StateRemoved}}, 6},
		{UpdateFailed, nil, 6},
		{UpdateFull, []Endpoint{{ID: 9, Weight: 2, State: StateReady}}, 2},
		{UpdateDelta, []Endpoint{{ID: 9, State: StateRemoved}, {ID: 10, State: StateReady}}, 1},
	} {
		engine.UpdateEndpoints(0, test.kind, test.list)
		if want := warmUpMargin * 2 * 10 / test.readyWeight; math.Abs(warmUpRate()-want) > 1e-9 {
			t.Errorf("%+v: warm-up rate is %v units/s, want %v", test, warmUpRate(), want)
		}
	}
}
