package invariant

import (
	"context"
	"slices"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/internal/emulator/virtual"
	"springfield/policy"
)

// mutation changes the observations on their way to the checker. It stands for faults of the network code, which the
// virtual world does not let a decider make.
type mutation func(next emulator.Observer) emulator.Observer

// seconds returns a duration of a scenario.
func seconds(s float64) emulator.Duration { return emulator.Duration(s * float64(time.Second)) }

// faultyScenario is a small deployment with many faults, scoped idempotency keys and a ceiling.
func faultyScenario() *emulator.Scenario {
	scenario := model.DefaultScenario()
	scenario.Length = seconds(15)
	scenario.Gateways = 6
	scenario.Zones = 2
	scenario.Endpoints.Count = 12
	scenario.WarmUp.InitialCapacity = 0.1
	scenario.WarmUp.OverloadFactor = 1.5
	scenario.Clients.Abandon = 0.05
	scenario.Classes[0].Idempotency = "deduplicated"
	scenario.Classes[0].Scope = "zone"
	scenario.Classes[0].KeyTTL = seconds(2)
	scenario.Plans[0].CeilingRate = 1.5 * scenario.Plans[0].Rate
	scenario.Plans[0].CeilingBurst = 2 * scenario.Plans[0].Burst
	scenario.Plans[0].CeilingSlack = 4
	scenario.Faults = []emulator.Fault{
		{Kind: emulator.FaultFailEndpoints, At: seconds(1), Length: seconds(4), Share: 0.2, Factor: 0.5},
		{Kind: emulator.FaultReplace, At: seconds(3), Length: seconds(2), Share: 0.3},
		{Kind: emulator.FaultKillGateways, At: seconds(5), Length: seconds(2), Share: 0.2},
		{Kind: emulator.FaultResets, At: seconds(6), Length: seconds(3), Factor: 0.05},
		{Kind: emulator.FaultDiscoveryDown, At: seconds(7), Length: seconds(2)},
		{Kind: emulator.FaultSilentEndpoints, At: seconds(8), Length: seconds(3), Share: 0.1},
		{Kind: emulator.FaultRestartGateways, At: seconds(10), Length: seconds(3), Share: 0.5},
		{Kind: emulator.FaultDrainEndpoints, At: seconds(11), Length: seconds(3), Share: 0.1},
	}
	return &scenario
}

// playVirtual runs a scenario and returns what a checker says of it.
func playVirtual(t *testing.T, seed uint64, newDecider emulator.NewDecider, mutate mutation) Report {
	t.Helper()
	scenario := faultyScenario()
	checker := NewChecker(scenario)
	var observer emulator.Observer = checker
	if mutate != nil {
		observer = mutate(checker)
	}
	summary, err := virtual.Run(context.Background(), virtual.Options{
		Scenario: *scenario, Seed: seed, NewDecider: checker.ObserveLists(newDecider), Observer: observer,
	})
	if err != nil {
		t.Fatal(err)
	}
	report := checker.Finish(virtual.StartTime + summary.VirtualTime)
	if report.Requests != summary.Requests || report.Requests < 1000 {
		t.Errorf("checked %d requests of %d", report.Requests, summary.Requests)
	}
	if report.Unlocated > 0 {
		t.Errorf("%d retries were not checked", report.Unlocated)
	}
	return report
}

func TestPolicyKeepsTheRules(t *testing.T) {
	for seed := range uint64(3) {
		report := playVirtual(t, seed, virtual.PolicyDecider, nil)
		assertBroken(t, report, "")
		if report.Undecided > 0 {
			t.Errorf("seed %d: %d requests undecided", seed, report.Undecided)
		}
	}
}

func TestPlantedFaultsAreCaught(t *testing.T) {
	tests := []struct {
		name       string
		rule       Rule
		newDecider emulator.NewDecider
		mutate     mutation
	}{
		{"never answers", RuleFinalAnswer, newSilent, nil},
		{"passes on the answer of another request", RuleFinalAnswer, virtual.PolicyDecider, mutateGenuine},
		{"retries what may have been executed", RuleSingleExecution, newRetrying, nil},
		{"retries out of the key's scope", RuleSingleExecution, newUnscoped, nil},
		{"rejects what may have been executed", RuleSafeRejection, newRejecting, nil},
		{"forwards twice", RuleSingleAttempt, newDoubling, nil},
		{"forwards to a draining endpoint", RuleDrain, virtual.PolicyDecider, mutateDrains},
		{"ignores slow start", RuleSlowStart, newIgnoringSlowStart, nil},
		{"ignores the ceiling", RuleCeiling, newIgnoringCeiling, nil},
		{"forwards for a client that has disconnected", RuleDisconnect, virtual.PolicyDecider, mutateDisconnects},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report := playVirtual(t, 1, test.newDecider, test.mutate)
			caught := slices.ContainsFunc(report.Violations, func(r RuleReport) bool { return r.Rule == test.rule })
			if !caught {
				t.Errorf("violations = %+v, want %s", report.Violations, test.rule)
			}
		})
	}
}

// wrapped is a decider around the policy engine, with the actions that the engine does not see.
type wrapped struct {
	emulator.Decider
	actions policy.Actions
}

func wrap(cfg policy.Config, actions policy.Actions, truth emulator.Truth) wrapped {
	return wrapped{Decider: virtual.PolicyDecider(cfg, actions, truth), actions: actions}
}

// silent never answers one request in 50.
type silent struct{ wrapped }

func newSilent(cfg policy.Config, actions policy.Actions, truth emulator.Truth) emulator.Decider {
	return silent{wrap(cfg, actions, truth)}
}

func (d silent) Submit(now time.Duration, request policy.Request) {
	if request.ID%50 != 0 {
		d.wrapped.Submit(now, request)
	}
}

// retrying retries once whatever has failed, at the same endpoint.
type retrying struct{ wrapped }

func newRetrying(cfg policy.Config, actions policy.Actions, truth emulator.Truth) emulator.Decider {
	return retrying{wrap(cfg, actions, truth)}
}

func (d retrying) AttemptFinished(now time.Duration, result policy.AttemptResult) {
	switch {
	case result.Attempt > 0:
		d.actions.Fail(result.Request) // ignored if the request is done
		return
	case !result.RequestDone && result.Status != policy.StatusOK:
		d.actions.Forward(result.Request, result.Endpoint, 0)
		result.RequestDone = true
	}
	d.wrapped.AttemptFinished(now, result)
}

// newUnscoped returns an engine that takes idempotency keys to be known to all endpoints.
func newUnscoped(cfg policy.Config, actions policy.Actions, truth emulator.Truth) emulator.Decider {
	cfg.Classes = slices.Clone(cfg.Classes)
	for i := range cfg.Classes {
		cfg.Classes[i].KeyScope = policy.KeyScopeFleet
	}
	return virtual.PolicyDecider(cfg, actions, truth)
}

// rejecting rejects whatever has failed.
type rejecting struct{ wrapped }

func newRejecting(cfg policy.Config, actions policy.Actions, truth emulator.Truth) emulator.Decider {
	return rejecting{wrap(cfg, actions, truth)}
}

func (d rejecting) AttemptFinished(now time.Duration, result policy.AttemptResult) {
	if !result.RequestDone && result.Status != policy.StatusOK {
		d.actions.Reject(result.Request, 0)
		result.RequestDone = true
	}
	d.wrapped.AttemptFinished(now, result)
}

// doubling forwards each attempt twice at once. The engine sees the results of the first ones.
type doubling struct{ emulator.Decider }

func newDoubling(cfg policy.Config, actions policy.Actions, truth emulator.Truth) emulator.Decider {
	return doubling{virtual.PolicyDecider(cfg, doublingActions{actions}, truth)}
}

func (d doubling) AttemptFinished(now time.Duration, result policy.AttemptResult) {
	if result.Attempt%2 == 0 {
		result.Attempt /= 2
		d.Decider.AttemptFinished(now, result)
	}
}

type doublingActions struct{ policy.Actions }

func (a doublingActions) Forward(id policy.RequestID, endpoint policy.EndpointID, giveUpAt time.Duration) {
	a.Actions.Forward(id, endpoint, giveUpAt)
	a.Actions.Forward(id, endpoint, giveUpAt)
}

func (a doublingActions) CancelAttempt(id policy.RequestID, attempt int) {
	a.Actions.CancelAttempt(id, 2*attempt)
}

// ignoringSlowStart sends everything to the endpoint that has started last.
type ignoringSlowStart struct {
	emulator.Decider
	newest *newestActions
}

func newIgnoringSlowStart(cfg policy.Config, actions policy.Actions, truth emulator.Truth) emulator.Decider {
	newest := &newestActions{Actions: actions}
	return ignoringSlowStart{Decider: virtual.PolicyDecider(cfg, newest, truth), newest: newest}
}

func (d ignoringSlowStart) UpdateEndpoints(now time.Duration, kind policy.UpdateKind, list []policy.Endpoint) {
	for _, endpoint := range list {
		if endpoint.StartedAt > 0 {
			d.newest.endpoint = endpoint.ID
		}
	}
	d.Decider.UpdateEndpoints(now, kind, list)
}

type newestActions struct {
	policy.Actions
	endpoint policy.EndpointID // the newest; 0: none has started since the gateway did
}

func (a *newestActions) Forward(id policy.RequestID, endpoint policy.EndpointID, giveUpAt time.Duration) {
	if a.endpoint > 0 {
		endpoint = a.endpoint
	}
	a.Actions.Forward(id, endpoint, giveUpAt)
}

// newIgnoringCeiling returns an engine that is told of no ceiling.
func newIgnoringCeiling(cfg policy.Config, actions policy.Actions, truth emulator.Truth) emulator.Decider {
	cfg.Plans = slices.Clone(cfg.Plans)
	for i := range cfg.Plans {
		cfg.Plans[i].CeilingRate = 0
	}
	return virtual.PolicyDecider(cfg, actions, truth)
}

// observerFunc is a function that is an emulator.Observer.
type observerFunc func(at time.Duration, observation emulator.Observation)

func (f observerFunc) Observe(at time.Duration, observation emulator.Observation) { f(at, observation) }

// mutateGenuine makes served answers those of other requests.
func mutateGenuine(next emulator.Observer) emulator.Observer {
	return observerFunc(func(at time.Duration, observation emulator.Observation) {
		if answered, ok := observation.(emulator.RequestAnswered); ok {
			answered.Genuine = false
			observation = answered
		}
		next.Observe(at, observation)
	})
}

// mutateDrains makes gateways forward everything to endpoints of whose drain they were notified two seconds ago.
func mutateDrains(next emulator.Observer) emulator.Observer {
	type notice struct {
		endpoint policy.EndpointID
		at       time.Duration
	}
	notices := map[int]notice{}
	return observerFunc(func(at time.Duration, observation emulator.Observation) {
		switch o := observation.(type) {
		case emulator.EndpointNotified:
			if o.State == policy.StateDraining {
				notices[o.Gateway] = notice{endpoint: o.Endpoint, at: at}
			}
		case emulator.AttemptForwarded:
			if last, ok := notices[o.Gateway]; ok && at > last.at+2*time.Second {
				o.Endpoint = last.endpoint
				observation = o
			}
		}
		next.Observe(at, observation)
	})
}

// mutateDisconnects makes gateways forward the requests of clients that disconnected 0.2 s ago.
func mutateDisconnects(next emulator.Observer) emulator.Observer {
	var last emulator.ClientDisconnected
	var lastAt time.Duration
	return observerFunc(func(at time.Duration, observation emulator.Observation) {
		if lastAt > 0 && at > lastAt+200*time.Millisecond {
			next.Observe(at, emulator.AttemptForwarded{
				Request: last.Request, Gateway: last.Gateway, Endpoint: 1, Attempt: 100,
			})
			lastAt = 0
		}
		if gone, ok := observation.(emulator.ClientDisconnected); ok {
			last, lastAt = gone, at
		}
		next.Observe(at, observation)
	})
}
