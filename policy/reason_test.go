package policy

import (
	"testing"
	"time"
)

// Guards against a reason without a name in logs and metrics, or with the name of another one.
func TestReasonNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for reason := range reasonCount {
		if name := reason.String(); name == "" || seen[name] {
			t.Errorf("reason %d has the empty or duplicate name %q", reason, name)
		}
		seen[reason.String()] = true
	}
}

// Each refusal, retry and ejection must be counted once under its own reason.
func TestReasonsAreCounted(t *testing.T) {
	count := func(gateway *testGateway, want Reason) uint64 {
		for _, counted := range gateway.engine.ReasonCounts() {
			if counted.Reason == want {
				return counted.Count
			}
		}
		return 0
	}
	for _, test := range []struct {
		want Reason
		run  func(gateway *testGateway)
	}{
		{RefusedInvalid, func(g *testGateway) { g.engine.Submit(0, Request{ID: 1}) }},
		{RefusedTooManyOpen, func(g *testGateway) {
			g.engine.cfg.MaxOpenRequests = 1
			g.submit(1, idempotentClass, unknownPlan, 1)
			g.submit(2, idempotentClass, unknownPlan, 1)
		}},
		{RefusedNoCapacity, func(g *testGateway) {
			g.engine.UpdateEndpoints(0, UpdateFull, nil)
			g.submit(1, idempotentClass, unknownPlan, 1)
			g.advance(time.Second)
		}},
		{RefusedNoRetryBudget, func(g *testGateway) {
			g.submit(1, idempotentClass, unknownPlan, 1)
			g.engine.retryTokens = 0
			g.finish(1, StatusServerError, noUsage)
		}},
		{RefusedAttemptsUsed, func(g *testGateway) {
			g.engine.cfg.MaxAttempts = 1
			g.submit(1, idempotentClass, unknownPlan, 1)
			g.finish(1, StatusServerError, noUsage)
		}},
		{RetriedAfterFailure, func(g *testGateway) {
			g.submit(1, idempotentClass, unknownPlan, 1)
			g.finish(1, StatusServerError, noUsage)
		}},
		{RetriedAfterLocal, func(g *testGateway) {
			g.submit(1, idempotentClass, unknownPlan, 1)
			g.finish(1, StatusLocalFailure, noUsage)
		}},
		{EjectedAfterFailure, func(g *testGateway) {
			g.submit(1, idempotentClass, unknownPlan, 1)
			g.finish(1, StatusServerError, noUsage)
		}},
	} {
		gateway := startTestGateway(testConfig(), 4)
		test.run(gateway)
		if got := count(gateway, test.want); got != 1 {
			t.Errorf("reason %v was counted %d times, want once: %v", test.want, got, gateway.log)
		}
	}
}
