package policy

import (
	"testing"
	"time"
)

// An endpoint that fails a part of its requests fast attracts more of them, and each of eighty gateways uses
// it seldom. One failure is enough to eject it for a second, and then it is not tried with a request that
// must not run twice.
func TestFailureEjectsAndOnlyIdempotentRequestsAreTrials(t *testing.T) {
	gateway := startTestGateway(testConfig(), 4)
	engine := gateway.engine
	engine.retryTokens = 0
	gateway.submit(1, idempotentClass, unknownPlan, 1)
	failing := gateway.endpointOfAttempt(0)
	gateway.finish(1, StatusServerError, noUsage)
	if !failing.ejected {
		t.Fatal("not ejected after a failure")
	}
	for _, ep := range engine.endpointList { // there is no other choice
		if ep != failing {
			ep.State = StateDraining
		}
	}
	tried := func(at time.Duration, class int) bool {
		r := newRequest(engine, 1, engine.customerFor(at, &Request{Customer: 9, Plan: unknownPlan, SetSize: 1}))
		r.class = &engine.cfg.Classes[class]
		return engine.chooseEndpoint(at, r) == failing
	}
	const early = minEjection - time.Millisecond
	const afterBackoff = minEjection + time.Millisecond
	const afterAll = minEjection + maxEjection + time.Millisecond
	for _, test := range []struct {
		name  string
		at    time.Duration
		class int
		want  bool
	}{
		{"before the end of its backoff", early, idempotentClass, false},
		{"with an idempotent request after its backoff", afterBackoff, idempotentClass, true},
		{"with a request that is not idempotent after its backoff", afterBackoff, nonIdempotentClass, false},
		{"with a request that is not idempotent in the end", afterAll, nonIdempotentClass, true},
	} {
		if got := tried(test.at, test.class); got != test.want {
			t.Errorf("tried %s: %v, want %v", test.name, got, test.want)
		}
	}
}

// An endpoint that drains rejects requests for seconds before the endpoint list says so, and a gateway with
// little traffic goes on meeting it. It is ejected for a second, then for two.
func TestRejectingEndpointIsEjectedWithBackoff(t *testing.T) {
	gateway := startTestGateway(testConfig(), 4)
	engine := gateway.engine
	engine.retryTokens = 0
	gateway.submit(1, idempotentClass, unknownPlan, 1)
	ep := gateway.endpointOfAttempt(0)
	gateway.finish(1, StatusRejected, noUsage)
	if !ep.ejected || ep.nextTrial != gateway.now+minEjection {
		t.Fatalf("ejected %v until %v after a rejection", ep.ejected, ep.nextTrial)
	}
	gateway.now = ep.nextTrial
	engine.recordFailure(gateway.now, ep, EjectedAfterFailure) // and again
	if backoff := ep.nextTrial - gateway.now; backoff != 2*minEjection {
		t.Errorf("ejected for %v after another rejection", backoff)
	}
	gateway.submit(2, idempotentClass, unknownPlan, 1)
	gateway.finish(2, StatusOK, noUsage)
	if gateway.endpointOfAttempt(1) == ep {
		t.Error("forwarded to an ejected endpoint")
	}
}
