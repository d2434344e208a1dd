package baseline

import (
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// ByName must not find a baseline for an unknown name, such as a misspelled one in an experiment file.
func TestUnknownNameIsNotFound(t *testing.T) {
	if newDecider, ok := ByName("springfield"); ok || newDecider != nil {
		t.Error("a baseline was found for an unknown name")
	}
	if len(Names()) != 4 {
		t.Errorf("got names %q, want 4", Names())
	}
}

// A request that is not idempotent must not be retried if its attempt may have been executed.
func TestRetryDependsOnIdempotency(t *testing.T) {
	forEachBaseline(t, func(t *testing.T, newDecider emulator.NewDecider) {
		for _, test := range []struct {
			class     int
			status    policy.Status
			forwarded int
			failed    int
		}{
			{idempotentClass, policy.StatusReset, 2, 0},
			{keyedClass, policy.StatusReset, 2, 0},
			{nonIdempotentClass, policy.StatusReset, 1, 1},
			{nonIdempotentClass, policy.StatusTimedOut, 1, 1},
			{nonIdempotentClass, policy.StatusServerError, 1, 1},
			{nonIdempotentClass, policy.StatusCancelled, 1, 1},
			{nonIdempotentClass, policy.StatusConnectFailed, 2, 0},
			{nonIdempotentClass, policy.StatusRejected, 2, 0},
			{nonIdempotentClass, policy.StatusNotSent, 2, 0},
		} {
			gateway := startGateway(newDecider, testConfig(), 4)
			gateway.submit(1, test.class, unlimitedPlan, 1)
			gateway.finish(1, test.status)
			gateway.expect(t, "after the first attempt", test.forwarded, 0, test.failed)
		}
	})
}

// A request that is deduplicated by its key may be retried only at endpoints within the scope of the key, and only
// until the key expires. Any other retry could execute it twice.
func TestRetryStaysWithinScopeAndLifetimeOfItsKey(t *testing.T) {
	forEachBaseline(t, func(t *testing.T, newDecider emulator.NewDecider) {
		for scope, group := range map[policy.KeyScope]func(id policy.EndpointID) policy.EndpointID{
			policy.KeyScopeZone: func(id policy.EndpointID) policy.EndpointID { return id % 2 },
			policy.KeyScopeCell: func(id policy.EndpointID) policy.EndpointID { return id % 3 },
		} {
			cfg := testConfig()
			cfg.Classes[keyedClass].KeyScope = scope
			gateway := startGateway(newDecider, cfg, 12)
			for id := policy.RequestID(1); id <= 50; id++ {
				gateway.submit(id, keyedClass, unlimitedPlan, 1)
				first := gateway.lastEndpoint()
				gateway.finish(id, policy.StatusReset)
				if second := gateway.lastEndpoint(); group(first) != group(second) {
					t.Errorf("scope %d: the retry went to endpoint %d after an attempt at %d", scope, second, first)
				}
				gateway.finish(id, policy.StatusOK)
			}
			gateway.expect(t, "with keys", 100, 0, 0)
		}

		gateway := startGateway(newDecider, testConfig(), 4)
		gateway.submit(1, keyedClass, unlimitedPlan, 1)
		gateway.now += 600 * time.Millisecond
		gateway.finish(1, policy.StatusReset)
		gateway.now += 400 * time.Millisecond // one second after the first attempt, when the key expires
		gateway.finish(1, policy.StatusReset)
		gateway.expect(t, "after the key has expired", 2, 0, 1)
	})
}

// A client may retry after a rejection, so a rejection must not be the answer to a request that may have been executed,
// unless the request is idempotent.
func TestRejectionOnlyIfClientMaySafelyRetry(t *testing.T) {
	forEachBaseline(t, func(t *testing.T, newDecider emulator.NewDecider) {
		for class, wantRejected := range map[int]int{idempotentClass: 1, keyedClass: 0, nonIdempotentClass: 0} {
			gateway := startGateway(newDecider, testConfig(), 4)
			gateway.submit(1, class, unlimitedPlan, 1)
			gateway.now += 2 * time.Second
			gateway.finish(1, policy.StatusTimedOut)
			gateway.expect(t, "after a time-out", 1, wantRejected, 1-wantRejected)
		}
		gateway := startGateway(newDecider, testConfig(), 4)
		gateway.submit(1, nonIdempotentClass, unlimitedPlan, 1)
		for range 3 {
			gateway.finish(1, policy.StatusConnectFailed)
		}
		gateway.expect(t, "after three attempts that were not executed", 3, 1, 0)
	})
}

// Requests must go to ready endpoints only, also after partial updates, failed calls and complete lists.
func TestOnlyReadyEndpointsGetRequests(t *testing.T) {
	forEachBaseline(t, func(t *testing.T, newDecider emulator.NewDecider) {
		gateway := startGateway(newDecider, testConfig(), 4)
		draining, removed := readyEndpoint(1), readyEndpoint(2)
		draining.State, removed.State = policy.StateDraining, policy.StateRemoved
		id := policy.RequestID(0)
		expectAll := func(situation string, allowed ...policy.EndpointID) {
			t.Helper()
			reached := map[policy.EndpointID]bool{}
			for range 60 {
				id++
				gateway.submit(id, idempotentClass, unlimitedPlan, 1) // the request remains in flight
				reached[gateway.lastEndpoint()] = true
			}
			if len(reached) != len(allowed) {
				t.Errorf("%s: endpoints %v, want %v", situation, reached, allowed)
			}
			for _, endpoint := range allowed {
				if !reached[endpoint] {
					t.Errorf("%s: endpoints %v, want %v", situation, reached, allowed)
				}
			}
		}
		gateway.decider.UpdateEndpoints(gateway.now, policy.UpdateDelta, []policy.Endpoint{draining, removed})
		expectAll("after a change", 3, 4)
		if known := len(gateway.base().endpoints); known != 3 {
			t.Errorf("%d endpoints are known after one of four was removed, want 3", known)
		}
		gateway.decider.UpdateEndpoints(gateway.now, policy.UpdateFailed, nil)
		expectAll("after a failed call", 3, 4)
		gateway.decider.UpdateEndpoints(gateway.now, policy.UpdateFull, []policy.Endpoint{readyEndpoint(2)})
		expectAll("after a complete list", 2)
		forwarded := len(gateway.forwarded)
		gateway.decider.UpdateEndpoints(gateway.now, policy.UpdateFull, nil)
		gateway.submit(id+1, nonIdempotentClass, unlimitedPlan, 1)
		gateway.expect(t, "without endpoints", forwarded, 1, 0)
	})
}

// An endpoint in slow start must get requests in proportion to the share of its capacity that is available.
func TestWarmingEndpointGetsItsShare(t *testing.T) {
	gateway := startGateway(AdmitAll, testConfig(), 1)
	warming := readyEndpoint(2)
	warming.StartedAt = gateway.now - 2500*time.Millisecond // the endpoint has 0.2 + 0.8/4 of its capacity
	gateway.decider.UpdateEndpoints(gateway.now, policy.UpdateDelta, []policy.Endpoint{warming})
	const requests = 4000
	reached := 0
	for id := policy.RequestID(1); id <= requests; id++ {
		gateway.submit(id, idempotentClass, unlimitedPlan, 1)
		if gateway.lastEndpoint() == warming.ID {
			reached++
		}
	}
	if share := float64(reached) / requests; share < 0.18 || share > 0.22 {
		t.Errorf("the warming endpoint gets a share of %v, want 0.4 of one half", share)
	}
}

// An endpoint whose warm-up has ended must be a candidate for every request.
func TestWarmEndpointsAreAlwaysCandidates(t *testing.T) {
	forEachBaseline(t, func(t *testing.T, newDecider emulator.NewDecider) {
		gateway := startGateway(newDecider, testConfig(), 1)
		gateway.submit(1, idempotentClass, unlimitedPlan, 1)
		restarted := readyEndpoint(1)
		restarted.StartedAt = gateway.now - testConfig().WarmUpDuration
		gateway.decider.UpdateEndpoints(gateway.now, policy.UpdateDelta, []policy.Endpoint{restarted})
		for id := policy.RequestID(2); id <= 50; id++ {
			gateway.submit(id, idempotentClass, unlimitedPlan, 1)
		}
		gateway.expect(t, "at an endpoint that is warm", 50, 0, 0)
	})
}

// Requests must not be retried beyond the limit on attempts or past the deadline of a shutdown.
func TestAttemptsAndDeadlinesAreBounded(t *testing.T) {
	forEachBaseline(t, func(t *testing.T, newDecider emulator.NewDecider) {
		for limit, want := range map[int]int{0: maxAttempts, 1: 1, 2: 2, 9: maxAttempts} {
			cfg := testConfig()
			cfg.MaxAttempts = limit
			gateway := startGateway(newDecider, cfg, 4)
			gateway.submit(1, idempotentClass, unlimitedPlan, 1)
			for range 10 {
				gateway.finish(1, policy.StatusReset)
			}
			gateway.expect(t, "with a limit on attempts", want, 1, 0)
			if until := gateway.forwarded[0].until; until != gateway.now+2*time.Second {
				t.Errorf("the attempt is given up at %v, want the deadline of the request", until)
			}
		}
		gateway := startGateway(newDecider, testConfig(), 4)
		gateway.submit(1, idempotentClass, unlimitedPlan, 1)
		gateway.decider.BeginShutdown(gateway.now, gateway.now+time.Second)
		gateway.now += time.Second
		gateway.finish(1, policy.StatusConnectFailed)
		gateway.expect(t, "at the end of a shutdown", 1, 1, 0)
	})
}

// Requests with an unknown class or without time left must be rejected, while an unknown plan counts as unlimited.
func TestInvalidRequestIsRejected(t *testing.T) {
	forEachBaseline(t, func(t *testing.T, newDecider emulator.NewDecider) {
		gateway := startGateway(newDecider, testConfig(), 4)
		gateway.submit(1, 9, unlimitedPlan, 1)
		gateway.submit(2, -1, unlimitedPlan, 1)
		gateway.decider.Submit(gateway.now, policy.Request{ID: 3, Plan: unlimitedPlan, Units: 1})
		gateway.expect(t, "invalid", 0, 3, 0)
		gateway.submit(4, idempotentClass, unknownPlan, 1)
		gateway.submit(5, idempotentClass, -1, 1)
		gateway.expect(t, "of no known plan", 2, 3, 0)
	})
}

// Requests beyond the limit on open requests must be rejected until another one has ended.
func TestOpenRequestsAreBounded(t *testing.T) {
	forEachBaseline(t, func(t *testing.T, newDecider emulator.NewDecider) {
		cfg := testConfig()
		cfg.MaxOpenRequests = 2
		gateway := startGateway(newDecider, cfg, 4)
		for id := policy.RequestID(1); id <= 3; id++ {
			gateway.submit(id, idempotentClass, unlimitedPlan, 1)
		}
		gateway.expect(t, "with three requests", 2, 1, 0)
		gateway.finish(1, policy.StatusOK)
		gateway.submit(4, idempotentClass, unlimitedPlan, 1)
		gateway.expect(t, "once one is answered", 3, 1, 0)
	})
}

// The attempt of a disconnected client must count as load until it ends, and no retry or answer may follow it.
func TestDisconnectedRequestIsNeitherRetriedNorAnswered(t *testing.T) {
	forEachBaseline(t, func(t *testing.T, newDecider emulator.NewDecider) {
		for _, canCancel := range []bool{true, false} {
			cfg := testConfig()
			cfg.CanCancel = canCancel
			gateway := startGateway(newDecider, cfg, 1)
			gateway.submit(1, idempotentClass, unlimitedPlan, 1)
			gateway.decider.ClientDisconnected(gateway.now, 1)
			gateway.decider.ClientDisconnected(gateway.now, 1)
			gateway.decider.ClientDisconnected(gateway.now, 77)
			if cancelled := len(gateway.cancelled) == 1; cancelled != canCancel {
				t.Errorf("cancellation %v: cancelled %v", canCancel, gateway.cancelled)
			}
			endpoint := gateway.base().endpoints[1]
			if endpoint.inFlight != 1 {
				t.Errorf("got %d attempts in flight before the attempt has ended, want 1", endpoint.inFlight)
			}
			gateway.finish(1, policy.StatusReset)
			gateway.finish(1, policy.StatusReset)
			gateway.expect(t, "disconnected", 1, 0, 0)
			if endpoint.inFlight != 0 || len(gateway.base().requests) != 0 {
				t.Errorf("after the end: %d in flight and %d requests, want none", endpoint.inFlight, len(gateway.base().requests))
			}
		}
	})
}

func (r *fakeGateway) base() *baseDecider { return r.decider.(*baseDecider) }

// With polled discovery, the decider must request the endpoints again some time after a failed call.
func TestPolledEndpointsAreWatched(t *testing.T) {
	forEachBaseline(t, func(t *testing.T, newDecider emulator.NewDecider) {
		cfg := testConfig()
		cfg.PolledEndpoints = true
		gateway := startGateway(newDecider, cfg, 1)
		gateway.decider.UpdateEndpoints(gateway.now, policy.UpdateFailed, nil)
		if gateway.watches != 1 || len(gateway.timers) != 1 {
			t.Fatalf("got %d watches and timers %v after a failed call, want one of each", gateway.watches, gateway.timers)
		}
		gateway.decider.TimerFired(gateway.now, gateway.timers[0])
		if gateway.watches != 2 {
			t.Errorf("got %d watches after the timer, want 2", gateway.watches)
		}
	})
}
