package policy

import (
	"testing"
	"time"
)

// An endpoint that fails some requests quickly looks fast and attracts more of them, and in a large fleet each gateway
// seldom uses it. One failure must eject it for a second, and requests that must not run twice may not be used to try
// it for longer.
func TestFailureEjectsAndOnlyIdempotentRequestsAreTrials(t *testing.T) {
	gateway := startTestGateway(testConfig(), 4)
	engine := gateway.engine
	engine.retryTokens = 0
	gateway.submit(1, idempotentClass, unknownPlan, 1)
	failing := gateway.endpointOfAttempt(0)
	gateway.finish(1, StatusServerError, noUsage)
	if !failing.ejected {
		t.Fatal("the endpoint was not ejected after a failure")
	}
	for _, ep := range engine.endpointList { // leaves the failing endpoint as the only choice
		if ep != failing {
			ep.State = StateDraining
		}
	}
	tried := func(at time.Duration, class int) bool {
		r := newRequest(engine, 1, engine.customerFor(at, &Request{Customer: 9, Plan: unknownPlan, SetSize: 1}))
		r.class = &engine.cfg.Classes[class]
		return engine.chooseEndpoint(at, r) == failing
	}
	const beforeBackoffEnds = minEjection - time.Millisecond
	const afterBackoff = minEjection + time.Millisecond
	const afterLongestWait = minEjection + maxEjection + time.Millisecond
	for _, test := range []struct {
		name  string
		at    time.Duration
		class int
		want  bool
	}{
		{"before the end of its backoff", beforeBackoffEnds, idempotentClass, false},
		{"with an idempotent request after its backoff", afterBackoff, idempotentClass, true},
		{"with a request that is not idempotent after its backoff", afterBackoff, nonIdempotentClass, false},
		{"with a request that is not idempotent after the longest wait", afterLongestWait, nonIdempotentClass, true},
	} {
		if got := tried(test.at, test.class); got != test.want {
			t.Errorf("endpoint tried %s: %v, want %v", test.name, got, test.want)
		}
	}
}

// A draining endpoint rejects requests for seconds before the endpoint list shows its state, and a gateway with little
// traffic would keep choosing it. It must be ejected for one second, then for two.
func TestRejectingEndpointIsEjectedWithBackoff(t *testing.T) {
	gateway := startTestGateway(testConfig(), 4)
	engine := gateway.engine
	engine.retryTokens = 0
	gateway.submit(1, idempotentClass, unknownPlan, 1)
	ep := gateway.endpointOfAttempt(0)
	gateway.finish(1, StatusRejected, noUsage)
	if !ep.ejected || ep.nextTrialAt != gateway.now+minEjection {
		t.Fatalf("ejected is %v with the next trial at %v after a rejection", ep.ejected, ep.nextTrialAt)
	}
	gateway.now = ep.nextTrialAt
	engine.recordFailure(gateway.now, ep, EjectedAfterFailure) // a failed trial
	if backoff := ep.nextTrialAt - gateway.now; backoff != 2*minEjection {
		t.Errorf("the next trial is %v after another rejection", backoff)
	}
	gateway.submit(2, idempotentClass, unknownPlan, 1)
	gateway.finish(2, StatusOK, noUsage)
	if gateway.endpointOfAttempt(1) == ep {
		t.Error("a request was forwarded to an ejected endpoint")
	}
}
