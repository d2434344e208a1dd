package policy

import (
	"testing"
	"time"
)

// A request that may have been executed may be retried only if its class is idempotent, or by its idempotency key
// within the key's scope.
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
			t.Errorf("%+v: wrong retry decision: %v", test, gateway.log)
		}
		if !test.retried && len(gateway.failed) != 1 {
			t.Errorf("%+v: a request that may not be retried did not fail: %v", test, gateway.log)
		}
		if test.class == keyedClass &&
			(first == otherZoneEndpoint) != (gateway.forwarded[1].endpoint == otherZoneEndpoint) {
			t.Errorf("the request was retried in a zone that does not share its idempotency key: %v", gateway.log)
		}
	}
}

// After its idempotency key has expired, a request could be executed twice, so it must fail instead of being retried.
func TestNoRetryAfterKeyHasExpired(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	gateway.submit(1, keyedClass, costlyPlan, 1)
	gateway.now = 1100 * time.Millisecond
	gateway.finish(1, StatusReset, noUsage)
	if len(gateway.forwarded) != 1 || len(gateway.failed) != 1 {
		t.Errorf("want a failure without a retry: %v", gateway.log)
	}
}

// An attempt without an answer must be cancelled and retried at another endpoint, but never one whose request is not
// idempotent.
func TestSilentAttemptIsRetriedElsewhere(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	engine := gateway.engine
	gateway.submit(1, idempotentClass, costlyPlan, 1)
	first := gateway.forwarded[0].endpoint
	engine.latencyPerUnit = 0.05
	gateway.advanceTo(400 * time.Millisecond)
	if len(gateway.cancelled) != 1 {
		t.Fatalf("the unanswered attempt was not cancelled: %v", gateway.log)
	}
	gateway.finish(1, StatusCancelled, noUsage)
	if len(gateway.forwarded) != 2 || gateway.forwarded[1].endpoint == first {
		t.Errorf("the request was not retried at another endpoint: %v", gateway.log)
	}
	gateway.submit(2, nonIdempotentClass, costlyPlan, 1) // must not be retried elsewhere
	gateway.advanceTo(1900 * time.Millisecond)
	if len(gateway.cancelled) != 2 || engine.requests[2] == nil { // both cancellations are of request 1
		t.Errorf("want two cancellations, none of the non-idempotent request: %v", gateway.log)
	}
}

// If all endpoints are slow and each gateway seldom gets an answer from one, retrying attempts elsewhere would only
// multiply the work. An attempt must not be cancelled before it takes eight times the usual latency.
func TestAttemptIsNotRetriedElsewhereWhileAllEndpointsAreSlow(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	gateway.engine.latencyPerUnit = 0.15
	gateway.submit(1, idempotentClass, unknownPlan, 1)
	gateway.advanceTo(1100 * time.Millisecond)
	if len(gateway.cancelled) != 0 {
		t.Fatalf("the attempt was cancelled before eight times the usual latency of 150 ms: %v", gateway.log)
	}
	gateway.advanceTo(1300 * time.Millisecond)
	if len(gateway.cancelled) != 1 {
		t.Errorf("the attempt was not cancelled after eight times the usual latency: %v", gateway.log)
	}
}

// A streamed response may last longer than any latency objective. It must not count as a sign of a slow endpoint, and
// its attempt must not be cancelled.
func TestStreamedResponseIsNotRetriedElsewhere(t *testing.T) {
	gateway := startTestGateway(testConfig(), 2)
	gateway.submit(1, idempotentClass, unknownPlan, 1)
	ep := gateway.endpointOfAttempt(0)
	gateway.engine.ResponseStarted(0, 1, 0, ep.ID)
	limitBefore := ep.limit
	gateway.advanceTo(1900 * time.Millisecond)
	if len(gateway.cancelled) != 0 || ep.limit != limitBefore {
		t.Errorf("limit is %v, and was %v before the stream; want no change and no cancellation: %v",
			ep.limit, limitBefore, gateway.log)
	}
}

// A failure of the gateway's own machine must not eject an endpoint or use up the retry budget. The request, even a
// non-idempotent one, must be retried after a short delay.
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
				t.Errorf("class %d: the request was retried without a delay", class)
			}
			gateway.advance(engine.cfg.Classes[class].LatencyObjective / queueRetriesPerObjective)
		}
		if len(gateway.forwarded) != failures+1 {
			t.Errorf("class %d: want a retry after each failure: %v", class, gateway.log)
		}
		for _, ep := range engine.endpointList {
			if ep.ejected {
				t.Errorf("class %d: endpoint %d was ejected", class, ep.ID)
			}
		}
		gateway.finish(1, StatusOK, noUsage)
		if engine.inFlight != 0 || len(engine.requests) != 0 {
			t.Errorf("class %d: %d attempts and %d requests are left, want none", class, engine.inFlight, len(engine.requests))
		}
	}
}

// If local failures persist, the request must be rejected before its deadline, since no attempt was executed.
func TestPersistentLocalFailureIsRejectedBeforeDeadline(t *testing.T) {
	cfg := testConfig()
	cfg.MaxAttempts = 0
	gateway := startTestGateway(cfg, 2)
	gateway.submit(1, nonIdempotentClass, unknownPlan, 1)
	deadline := gateway.engine.requests[1].deadline
	for len(gateway.rejected) == 0 && gateway.now < deadline {
		if gateway.engine.requests[1].currentEndpoint != nil {
			gateway.finish(1, StatusLocalFailure, noUsage)
		}
		gateway.advance(time.Millisecond)
	}
	if len(gateway.rejected) != 1 || gateway.now >= deadline {
		t.Errorf("requests rejected: %v, failed: %v, at %v; want a rejection before the deadline %v",
			gateway.rejected, gateway.failed, gateway.now, deadline)
	}
}

// A request whose attempt failed locally must not wait past its deadline, even if a latency that an answer reported was
// negative.
func TestLocalFailureBeforeTheDeadlineIsRejectedAtOnce(t *testing.T) {
	gateway := startTestGateway(testConfig(), 1)
	endpoint := gateway.engine.endpointList[0].ID
	gateway.submit(1, nonIdempotentClass, unknownPlan, 1)
	gateway.finishFirstAttempt(1, endpoint, StatusOK, -time.Hour)
	gateway.submit(2, nonIdempotentClass, unknownPlan, 1)
	gateway.engine.BeginShutdown(gateway.now, gateway.now+time.Millisecond)
	gateway.finish(2, StatusLocalFailure, noUsage)
	if len(gateway.rejected) != 1 {
		t.Errorf("requests rejected: %v, want request 2: %v", gateway.rejected, gateway.log)
	}
}

// An endpoint that this machine cannot reach, while it reaches others, must be avoided.
func TestLocallyUnreachableEndpointIsAvoided(t *testing.T) {
	const requests = 40
	gateway := startTestGateway(testConfig(), 2)
	unreachable, localFailures := EndpointID(1), 0
	for id := RequestID(1); id <= requests; id++ {
		gateway.submit(id, idempotentClass, unknownPlan, 1)
		for localFailures <= requests && gateway.lastForwarded().endpoint == unreachable {
			localFailures++
			gateway.finish(id, StatusLocalFailure, noUsage)
			gateway.advance(gateway.engine.cfg.Classes[idempotentClass].LatencyObjective / queueRetriesPerObjective)
		}
		gateway.finish(id, StatusOK, noUsage)
		gateway.advance(10 * time.Millisecond)
	}
	if localFailures > requests/4 {
		t.Errorf("the unreachable endpoint was tried %d times for %d requests", localFailures, requests)
	}
}
