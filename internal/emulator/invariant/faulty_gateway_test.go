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

// observationMutator returns an observer that alters observations before it passes them to next. It simulates faults of
// a gateway's network code, which a decider on virtual time cannot cause.
type observationMutator func(next emulator.Observer) emulator.Observer

// seconds converts seconds to a duration of a scenario.
func seconds(s float64) emulator.Duration { return emulator.Duration(s * float64(time.Second)) }

// faultyScenario returns a small deployment with many faults, scoped idempotency keys and a ceiling.
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

// checkVirtualRun runs faultyScenario on virtual time and returns the checker's report.
func checkVirtualRun(t *testing.T, seed uint64, newDecider emulator.NewDecider, mutate observationMutator) Report {
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
		t.Errorf("checked %d requests of %d, want all and at least 1000", report.Requests, summary.Requests)
	}
	if report.Unlocated > 0 {
		t.Errorf("%d retries were not checked for lack of an endpoint's location", report.Unlocated)
	}
	return report
}

// Guards against a policy engine that breaks a rule under faults, and against false violations of the checker.
func TestPolicyEngineBreaksNoRule(t *testing.T) {
	for seed := range uint64(3) {
		report := checkVirtualRun(t, seed, virtual.PolicyDecider, nil)
		assertViolation(t, report, "")
		if report.Undecided > 0 {
			t.Errorf("seed %d: %d requests undecided", seed, report.Undecided)
		}
	}
}

// Guards against a checker that misses violations. The gateways of each case break one rule on purpose, and the report
// must list that rule.
func TestCheckerDetectsFaultyGateways(t *testing.T) {
	tests := []struct {
		name       string
		rule       Rule
		newDecider emulator.NewDecider
		mutate     observationMutator
	}{
		{"never answers", RuleFinalAnswer, newIgnoringRequests, nil},
		{"passes on the answer of another request", RuleFinalAnswer, virtual.PolicyDecider, markAnswersNotGenuine},
		{"retries what may have been executed", RuleSingleExecution, newUnsafeRetrying, nil},
		{"retries out of the key's scope", RuleSingleExecution, newIgnoringKeyScope, nil},
		{"rejects what may have been executed", RuleSafeRejection, newUnsafeRejecting, nil},
		{"forwards twice", RuleSingleAttempt, newDuplicating, nil},
		{"forwards to a draining endpoint", RuleDrain, virtual.PolicyDecider, redirectToDraining},
		{"ignores slow start", RuleSlowStart, newIgnoringSlowStart, nil},
		{"ignores the ceiling", RuleCeiling, newIgnoringCeiling, nil},
		{"forwards for a client that has disconnected", RuleDisconnect, virtual.PolicyDecider, forwardAfterDisconnect},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report := checkVirtualRun(t, 1, test.newDecider, test.mutate)
			detected := slices.ContainsFunc(report.Violations, func(r RuleReport) bool { return r.Rule == test.rule })
			if !detected {
				t.Errorf("violations = %+v, want one of %s", report.Violations, test.rule)
			}
		})
	}
}

// engineWrapper is a decider that wraps the policy engine. It has access to the actions, so that decisions can bypass
// the engine.
type engineWrapper struct {
	emulator.Decider
	actions policy.Actions
}

func wrapEngine(cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) engineWrapper {
	return engineWrapper{Decider: virtual.PolicyDecider(cfg, actions, groundTruth), actions: actions}
}

// ignoringRequests ignores one request in 50, which therefore gets no answer.
type ignoringRequests struct{ engineWrapper }

func newIgnoringRequests(cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
	return ignoringRequests{wrapEngine(cfg, actions, groundTruth)}
}

func (d ignoringRequests) Submit(now time.Duration, request policy.Request) {
	if request.ID%50 != 0 {
		d.engineWrapper.Submit(now, request)
	}
}

// unsafeRetrying retries every failed request once at the same endpoint, even if it may have been executed.
type unsafeRetrying struct{ engineWrapper }

func newUnsafeRetrying(cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
	return unsafeRetrying{wrapEngine(cfg, actions, groundTruth)}
}

func (d unsafeRetrying) AttemptFinished(now time.Duration, result policy.AttemptResult) {
	switch {
	case result.Attempt > 0:
		d.actions.Fail(result.Request) // has no effect if the request is done
		return
	case !result.RequestDone && result.Status != policy.StatusOK:
		d.actions.Forward(result.Request, result.Endpoint, 0)
		result.RequestDone = true
	}
	d.engineWrapper.AttemptFinished(now, result)
}

// newIgnoringKeyScope returns an engine that assumes that all endpoints share their idempotency keys.
func newIgnoringKeyScope(cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
	cfg.Classes = slices.Clone(cfg.Classes)
	for i := range cfg.Classes {
		cfg.Classes[i].KeyScope = policy.KeyScopeFleet
	}
	return virtual.PolicyDecider(cfg, actions, groundTruth)
}

// unsafeRejecting rejects every failed request, even if it may have been executed.
type unsafeRejecting struct{ engineWrapper }

func newUnsafeRejecting(cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
	return unsafeRejecting{wrapEngine(cfg, actions, groundTruth)}
}

func (d unsafeRejecting) AttemptFinished(now time.Duration, result policy.AttemptResult) {
	if !result.RequestDone && result.Status != policy.StatusOK {
		d.actions.Reject(result.Request, 0)
		result.RequestDone = true
	}
	d.engineWrapper.AttemptFinished(now, result)
}

// duplicating forwards each attempt twice. The engine receives only the result of the first copy, whose attempt number
// is twice the engine's.
type duplicating struct{ emulator.Decider }

func newDuplicating(cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
	return duplicating{virtual.PolicyDecider(cfg, duplicatingActions{actions}, groundTruth)}
}

func (d duplicating) AttemptFinished(now time.Duration, result policy.AttemptResult) {
	if result.Attempt%2 == 0 {
		result.Attempt /= 2
		d.Decider.AttemptFinished(now, result)
	}
}

// duplicatingActions forwards each attempt twice and maps the engine's attempt numbers to those of the first copies.
type duplicatingActions struct{ policy.Actions }

func (a duplicatingActions) Forward(id policy.RequestID, endpoint policy.EndpointID, giveUpAt time.Duration) {
	a.Actions.Forward(id, endpoint, giveUpAt)
	a.Actions.Forward(id, endpoint, giveUpAt)
}

func (a duplicatingActions) CancelAttempt(id policy.RequestID, attempt int) {
	a.Actions.CancelAttempt(id, 2*attempt)
}

// ignoringSlowStart forwards every request to the endpoint that a list update last reported as started.
type ignoringSlowStart struct {
	emulator.Decider
	newest *newestEndpointActions
}

func newIgnoringSlowStart(
	cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth,
) emulator.Decider {
	newest := &newestEndpointActions{Actions: actions}
	return ignoringSlowStart{Decider: virtual.PolicyDecider(cfg, newest, groundTruth), newest: newest}
}

func (d ignoringSlowStart) UpdateEndpoints(now time.Duration, kind policy.UpdateKind, list []policy.Endpoint) {
	for _, endpoint := range list {
		if endpoint.StartedAt > 0 {
			d.newest.endpoint = endpoint.ID
		}
	}
	d.Decider.UpdateEndpoints(now, kind, list)
}

// newestEndpointActions forwards every request to one endpoint, whatever endpoint the engine selects.
type newestEndpointActions struct {
	policy.Actions
	endpoint policy.EndpointID // the newest endpoint; 0: none has started since the gateway did
}

func (a *newestEndpointActions) Forward(id policy.RequestID, endpoint policy.EndpointID, giveUpAt time.Duration) {
	if a.endpoint > 0 {
		endpoint = a.endpoint
	}
	a.Actions.Forward(id, endpoint, giveUpAt)
}

// newIgnoringCeiling returns an engine whose plans have no ceiling.
func newIgnoringCeiling(cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
	cfg.Plans = slices.Clone(cfg.Plans)
	for i := range cfg.Plans {
		cfg.Plans[i].CeilingRate = 0
	}
	return virtual.PolicyDecider(cfg, actions, groundTruth)
}

// observerFunc is a function that implements emulator.Observer.
type observerFunc func(at time.Duration, observation emulator.Observation)

func (f observerFunc) Observe(at time.Duration, observation emulator.Observation) { f(at, observation) }

// markAnswersNotGenuine makes every served answer appear to belong to another request.
func markAnswersNotGenuine(next emulator.Observer) emulator.Observer {
	return observerFunc(func(at time.Duration, observation emulator.Observation) {
		if answered, ok := observation.(emulator.RequestAnswered); ok {
			answered.Genuine = false
			observation = answered
		}
		next.Observe(at, observation)
	})
}

// redirectToDraining makes gateways appear to forward every request to the endpoint of their latest drain notification,
// once two seconds have passed since the notification.
func redirectToDraining(next emulator.Observer) emulator.Observer {
	type notification struct {
		endpoint policy.EndpointID
		at       time.Duration
	}
	notifications := map[int]notification{}
	return observerFunc(func(at time.Duration, observation emulator.Observation) {
		switch o := observation.(type) {
		case emulator.EndpointNotified:
			if o.State == policy.StateDraining {
				notifications[o.Gateway] = notification{endpoint: o.Endpoint, at: at}
			}
		case emulator.AttemptForwarded:
			if last, ok := notifications[o.Gateway]; ok && at > last.at+2*time.Second {
				o.Endpoint = last.endpoint
				observation = o
			}
		}
		next.Observe(at, observation)
	})
}

// forwardAfterDisconnect makes gateways appear to forward requests more than 0.2 s after their clients disconnected.
func forwardAfterDisconnect(next emulator.Observer) emulator.Observer {
	var last emulator.ClientDisconnected
	var lastAt time.Duration
	return observerFunc(func(at time.Duration, observation emulator.Observation) {
		if lastAt > 0 && at > lastAt+200*time.Millisecond {
			next.Observe(at, emulator.AttemptForwarded{
				Request: last.Request, Gateway: last.Gateway, Endpoint: 1, Attempt: 100,
			})
			lastAt = 0
		}
		if disconnected, ok := observation.(emulator.ClientDisconnected); ok {
			last, lastAt = disconnected, at
		}
		next.Observe(at, observation)
	})
}
