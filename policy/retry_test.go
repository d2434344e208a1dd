package policy

import (
	"testing"
	"time"
)

func TestRetryDependsOnIdempotency(t *testing.T) {
	const otherZoneEndpoint = 3
	for _, test := range []struct {
		class   int
		status  Status
		retried bool
	}{
		{idempotentClass, StatusReset, true},
		{keyedClass, StatusReset, true},
		{nonIdempotentClass, StatusReset, false},
		{nonIdempotentClass, StatusConnectFailed, true},
		{nonIdempotentClass, StatusRejected, true},
	} {
		gateway := startTestGateway(testConfig(), 3)
		gateway.submit(1, test.class, costlyPlan, 1)
		first := gateway.forwarded[0].endpoint
		gateway.finish(1, test.status, noUsage)
		if retried := len(gateway.forwarded) == 2; retried != test.retried {
			t.Errorf("%+v: %v", test, gateway.log)
		}
		if !test.retried && len(gateway.failed) != 1 {
			t.Errorf("%+v: not failed: %v", test, gateway.log)
		}
		if test.class == keyedClass &&
			(first == otherZoneEndpoint) != (gateway.forwarded[1].endpoint == otherZoneEndpoint) {
			t.Errorf("retried in a zone that does not know the key: %v", gateway.log)
		}
	}
}

func TestNoRetryAfterKeyHasExpired(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	gateway.submit(1, keyedClass, costlyPlan, 1)
	gateway.now = 1100 * time.Millisecond
	gateway.finish(1, StatusReset, noUsage)
	if len(gateway.forwarded) != 1 || len(gateway.failed) != 1 {
		t.Errorf("%v", gateway.log)
	}
}

func TestSilentAttemptIsRetriedElsewhere(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	engine := gateway.engine
	gateway.submit(1, idempotentClass, costlyPlan, 1)
	first := gateway.forwarded[0].endpoint
	engine.latencyPerUnit = 0.05
	gateway.advanceTo(400 * time.Millisecond)
	if len(gateway.cancelled) != 1 {
		t.Fatalf("not cancelled though without an answer: %v", gateway.log)
	}
	gateway.finish(1, StatusCancelled, noUsage)
	if len(gateway.forwarded) != 2 || gateway.forwarded[1].endpoint == first {
		t.Errorf("%v", gateway.log)
	}
	gateway.submit(2, nonIdempotentClass, costlyPlan, 1) // never moved
	gateway.advanceTo(1900 * time.Millisecond)
	if len(gateway.cancelled) != 2 || engine.requests[2] == nil { // only request 1 was moved again
		t.Errorf("%v", gateway.log)
	}
}

// Where every endpoint is slow, and shared by so many gateways that each seldom gets an answer of one, moving
// attempts would only multiply the work.
func TestSlowAttemptIsNotMoved(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	gateway.engine.latencyPerUnit = 0.15
	gateway.submit(1, idempotentClass, unknownPlan, 1)
	gateway.advanceTo(1100 * time.Millisecond)
	if len(gateway.cancelled) != 0 {
		t.Fatalf("moved while the usual latency is 150 ms: %v", gateway.log)
	}
	gateway.advanceTo(1300 * time.Millisecond)
	if len(gateway.cancelled) != 1 {
		t.Errorf("not moved at eight times the usual latency: %v", gateway.log)
	}
}

// A streamed response may last longer than any objective. It is no sign of a slow endpoint and is never moved.
func TestStreamedResponseIsNotMoved(t *testing.T) {
	gateway := startTestGateway(testConfig(), 2)
	gateway.submit(1, idempotentClass, unknownPlan, 1)
	ep := gateway.endpointOfAttempt(0)
	gateway.engine.ResponseStarted(0, 1, 0, ep.ID)
	limitBefore := ep.limit
	gateway.advanceTo(1900 * time.Millisecond)
	if len(gateway.cancelled) != 0 || ep.limit != limitBefore {
		t.Errorf("limit %v, before %v: %v", ep.limit, limitBefore, gateway.log)
	}
}

// A failure of the gateway's own machine costs no endpoint anything, nor the retry budget: the request waits for a
// moment and is tried again, also one that must not run twice.
func TestLocalFailureIsRetriedWithoutEjection(t *testing.T) {
	for _, class := range []int{idempotentClass, keyedClass, nonIdempotentClass} {
		gateway := startTestGateway(testConfig(), 4)
		engine := gateway.engine
		engine.retryTokens = 0
		gateway.submit(1, class, unknownPlan, 1)
		const failures = 3
		for range failures {
			before := len(gateway.forwarded)
			gateway.finish(1, StatusLocalFailure, noUsage)
			if len(gateway.forwarded) != before {
				t.Errorf("class %d: tried again at once", class)
			}
			gateway.advance(engine.cfg.Classes[class].LatencyObjective / queueRetries)
		}
		if len(gateway.forwarded) != failures+1 {
			t.Errorf("class %d: %v", class, gateway.log)
		}
		for _, ep := range engine.endpointList {
			if ep.ejected {
				t.Errorf("class %d: endpoint %d is ejected", class, ep.ID)
			}
		}
		gateway.finish(1, StatusOK, noUsage)
		if engine.inFlight != 0 || len(engine.requests) != 0 {
			t.Errorf("class %d: %d attempts and %d requests are left", class, engine.inFlight, len(engine.requests))
		}
	}
}

// A failure that lasts ends in a rejection in time, which promises that nothing has run.
func TestLocalFailureThatLastsIsRejectedInTime(t *testing.T) {
	cfg := testConfig()
	cfg.MaxAttempts = 0
	gateway := startTestGateway(cfg, 2)
	gateway.submit(1, nonIdempotentClass, unknownPlan, 1)
	deadline := gateway.engine.requests[1].deadline
	for len(gateway.rejected) == 0 && gateway.now < deadline {
		if gateway.engine.requests[1].inFlight != nil {
			gateway.finish(1, StatusLocalFailure, noUsage)
		}
		gateway.advance(time.Millisecond)
	}
	if len(gateway.rejected) != 1 || gateway.now >= deadline {
		t.Errorf("%v rejected, %v failed after %v of %v", gateway.rejected, gateway.failed, gateway.now, deadline)
	}
}

// An endpoint that alone cannot be reached from this machine is avoided.
func TestEndpointThatAloneFailsLocallyIsAvoided(t *testing.T) {
	const requests = 40
	gateway := startTestGateway(testConfig(), 2)
	unreachable, met := EndpointID(1), 0
	for id := RequestID(1); id <= requests; id++ {
		gateway.submit(id, idempotentClass, unknownPlan, 1)
		for met <= requests && gateway.lastForwarded().endpoint == unreachable {
			met++
			gateway.finish(id, StatusLocalFailure, noUsage)
			gateway.advance(gateway.engine.cfg.Classes[idempotentClass].LatencyObjective / queueRetries)
		}
		gateway.finish(id, StatusOK, noUsage)
		gateway.advance(10 * time.Millisecond)
	}
	if met > requests/4 {
		t.Errorf("tried %d times for %d requests", met, requests)
	}
}
