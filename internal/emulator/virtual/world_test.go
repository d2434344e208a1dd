package virtual

import (
	"slices"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/invariant"
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// firstEndpointDecider forwards each request once, to endpoint 1, and records the results of the attempts.
type firstEndpointDecider struct {
	emulator.Decider // the policy's engine, which handles all other events
	actions          policy.Actions
	results          []policy.AttemptResult
}

// Submit implements emulator.Decider.
func (d *firstEndpointDecider) Submit(_ time.Duration, request policy.Request) {
	d.actions.Forward(request.ID, 1, 0)
}

// AttemptFinished implements emulator.Decider.
func (d *firstEndpointDecider) AttemptFinished(_ time.Duration, result policy.AttemptResult) {
	d.results = append(d.results, result)
	if !result.RequestDone {
		d.actions.Fail(result.Request)
	}
}

// ClientDisconnected implements emulator.Decider.
func (d *firstEndpointDecider) ClientDisconnected(time.Duration, policy.RequestID) {}

// testWorld is a world without a workload. A test submits requests at gateway 0, and all observations are recorded.
type testWorld struct {
	*world
	decider      *firstEndpointDecider // decider of gateway 0
	observations []emulator.Observation
	requests     int // number of requests submitted by submitAt
}

// Observe implements emulator.Observer.
func (w *testWorld) Observe(_ time.Duration, observation emulator.Observation) {
	w.observations = append(w.observations, observation)
}

// newTestWorld starts a world with its gateways. If newDecider is nil, all gateways forward to endpoint 1.
func newTestWorld(newDecider emulator.NewDecider, configure func(*emulator.Scenario)) *testWorld {
	w := &testWorld{}
	scenario := model.DefaultScenario()
	scenario.Network.Jitter, scenario.Clients.Retries = 0, 0
	if configure != nil {
		configure(&scenario)
	}
	if newDecider == nil {
		newDecider = func(cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
			decider := &firstEndpointDecider{Decider: PolicyDecider(cfg, actions, groundTruth), actions: actions}
			if cfg.GatewayIndex == 0 {
				w.decider = decider
			}
			return decider
		}
	}
	w.world = newWorld(&Options{Scenario: scenario, NewDecider: newDecider, Observer: w})
	_, list := w.discovery.List()
	for _, g := range w.gateways {
		g.start(list)
	}
	return w
}

// submitAt schedules the arrival of a client's request with 100 ms of work at gateway 0, at a time after the start.
func (w *testWorld) submitAt(after time.Duration, modify func(*model.Arrival)) {
	w.requests++
	arrival := model.Arrival{
		Request: emulator.RequestKey(w.requests), Original: emulator.RequestKey(w.requests), Customer: 1, SetSize: 1,
		Units: 1, TrueUnits: 1, Work: 100 * time.Millisecond, Deadline: StartTime + after + 4*time.Second,
	}
	if modify != nil {
		modify(&arrival)
	}
	w.pendingRequests++
	w.scheduler.After(after, func() { w.receiveRequest(arrival) })
}

// after runs the world until the given time after the start.
func (w *testWorld) after(elapsed time.Duration) { w.scheduler.RunUntil(StartTime + elapsed) }

// observed returns the observations of one type.
func observed[T emulator.Observation](w *testWorld) []T {
	var found []T
	for _, observation := range w.observations {
		if o, ok := observation.(T); ok {
			found = append(found, o)
		}
	}
	return found
}

func (w *testWorld) statuses() []policy.Status {
	var statuses []policy.Status
	for _, result := range w.decider.results {
		statuses = append(statuses, result.Status)
	}
	return statuses
}

// A connection must be reused before its idle timeout but not after it. Otherwise runs would contain a wrong number of
// handshakes.
func TestIdleConnectionIsReusedUntilItsTimeout(t *testing.T) {
	w := newTestWorld(nil, nil)
	for _, after := range []time.Duration{0, time.Second, 40 * time.Second} {
		w.submitAt(after, nil)
	}
	w.after(50 * time.Second)
	var opened []bool
	for _, o := range observed[emulator.AttemptForwarded](w) {
		opened = append(opened, o.NewConnection)
	}
	if !slices.Equal(opened, []bool{true, false, true}) || w.connections != 2 {
		t.Errorf("got new connections %v, %d in all, want true, false, true, 2 in all", opened, w.connections)
	}
	network, endpoints := w.scenario.Network.Delay.AsDuration(), w.scenario.Endpoints
	extra := w.decider.results[0].Latency - w.decider.results[1].Latency
	if extra < 2*network+endpoints.HandshakeDelay.AsDuration() {
		t.Errorf("the new connection added only %v of latency", extra)
	}
	for _, answer := range observed[emulator.RequestAnswered](w) {
		if answer.Answer != emulator.AnswerServed || !answer.Genuine {
			t.Errorf("got %+v, want a genuine served answer", answer)
		}
	}
}

// Two requests in flight at the same time must not share a connection.
func TestConcurrentRequestsHaveConnectionsOfTheirOwn(t *testing.T) {
	w := newTestWorld(nil, nil)
	w.submitAt(0, nil)
	w.submitAt(0, nil)
	w.after(time.Second)
	if w.connections != 2 {
		t.Errorf("%d connections, want 2", w.connections)
	}
}

// The dial of an endpoint behind a partition must fail after the dial timeout, and nothing may count as sent.
func TestDialOfPartitionedEndpointTimesOut(t *testing.T) {
	w := newTestWorld(nil, nil)
	faultTarget{w.world}.PartitionEndpoint(1, true)
	w.submitAt(0, nil)
	w.after(time.Second)
	if !slices.Equal(w.statuses(), []policy.Status{policy.StatusConnectFailed}) ||
		w.decider.results[0].Latency != w.scenario.Network.DialTimeout.AsDuration() {
		t.Errorf("got results %+v, want a failed connect after the dial timeout", w.decider.results)
	}
	if sent := observed[emulator.AttemptForwarded](w); len(sent) != 0 {
		t.Errorf("an attempt was sent: %+v", sent)
	}
}

// An endpoint whose connection table is full must refuse a connection without affecting the existing one.
func TestFullConnectionTableRefusesConnections(t *testing.T) {
	w := newTestWorld(nil, func(s *emulator.Scenario) { s.Endpoints.MaxConnections = 1 })
	w.submitAt(0, nil)
	w.submitAt(0, nil)
	w.after(time.Second)
	if !slices.Equal(w.statuses(), []policy.Status{policy.StatusConnectFailed, policy.StatusOK}) {
		t.Errorf("got results %+v, want a failed connect and a success", w.decider.results)
	}
}

// If an endpoint starts to drain while a connection to it is being opened, the attempt must not be sent.
func TestNothingIsSentToAnEndpointThatDrainsDuringTheHandshake(t *testing.T) {
	w := newTestWorld(nil, func(s *emulator.Scenario) { s.Endpoints.HandshakeDelay = emulator.Duration(time.Second) })
	w.submitAt(0, nil)
	w.after(time.Second / 2)
	w.gateways[0].updateEndpoints(policy.UpdateDelta, []policy.Endpoint{{ID: 1, State: policy.StateDraining}})
	w.after(2 * time.Second)
	if !slices.Equal(w.statuses(), []policy.Status{policy.StatusNotSent}) {
		t.Errorf("got results %+v, want an attempt that was not sent", w.decider.results)
	}
	notified := observed[emulator.EndpointNotified](w)
	if len(notified) != 1 || notified[0].State != policy.StateDraining {
		t.Errorf("got notifications %+v, want one of a draining endpoint", notified)
	}
}

// If a client disconnects while a connection to the endpoint is being opened, the attempt must not be sent.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	w := newTestWorld(nil, func(s *emulator.Scenario) { s.Endpoints.HandshakeDelay = emulator.Duration(time.Second) })
	w.submitAt(0, func(arrival *model.Arrival) { arrival.AbandonAt = StartTime + time.Second/2 })
	w.after(2 * time.Second)
	if sent := observed[emulator.AttemptForwarded](w); len(sent) != 0 {
		t.Errorf("an attempt was sent: %+v", sent)
	}
	if len(observed[emulator.ClientDisconnected](w)) != 1 || len(observed[emulator.RequestAnswered](w)) != 0 {
		t.Errorf("got observations %+v, want a disconnected client and no answer", w.observations)
	}
}

// An attempt at an endpoint that never answers ends at the deadline. It may have been executed, and its connection must
// not be reused, because the answer may still arrive.
func TestSilentEndpointTimesOutAtTheDeadline(t *testing.T) {
	w := newTestWorld(nil, nil)
	faultTarget{w.world}.SilenceEndpoint(1, true)
	w.submitAt(0, nil)
	w.submitAt(5*time.Second, nil)
	w.after(10 * time.Second)
	if !slices.Equal(w.statuses(), []policy.Status{policy.StatusTimedOut, policy.StatusTimedOut}) ||
		w.decider.results[0].Latency != 4*time.Second {
		t.Errorf("got results %+v, want two timeouts after 4s", w.decider.results)
	}
	if w.connections != 2 {
		t.Errorf("got %d connections, want 2, since an answer may still arrive on the first one", w.connections)
	}
	for _, ended := range observed[emulator.AttemptEnded](w) {
		if !ended.Executed {
			t.Errorf("the attempt may have been executed, but counts as not executed: %+v", ended)
		}
	}
}

// An attempt in flight at an endpoint that crashes must end with a reset instead of waiting for its deadline.
func TestStoppedEndpointResetsItsConnections(t *testing.T) {
	w := newTestWorld(nil, nil)
	w.submitAt(0, nil)
	w.after(50 * time.Millisecond)
	faultTarget{w.world}.StopEndpoint(1)
	w.after(time.Second)
	if !slices.Equal(w.statuses(), []policy.Status{policy.StatusReset}) {
		t.Errorf("got results %+v, want a reset", w.decider.results)
	}
}

// The gateway cannot parse a spoilt answer, so the attempt must end as if its connection had been reset.
func TestSpoiltAnswerCountsAsReset(t *testing.T) {
	w := newTestWorld(nil, nil)
	faultTarget{w.world}.CorruptResponses(1)
	w.submitAt(0, nil)
	w.after(time.Second)
	if !slices.Equal(w.statuses(), []policy.Status{policy.StatusReset}) {
		t.Errorf("got results %+v, want a reset", w.decider.results)
	}
}

// Requests that are open at a killed gateway, or arrive before the load balancer in front of the gateways detects its
// end, remain without an answer. Later requests must go to another gateway of the customer.
func TestKilledGatewayLosesItsRequests(t *testing.T) {
	w := newTestWorld(nil, nil)
	w.submitAt(0, nil)
	w.after(50 * time.Millisecond)
	faultTarget{w.world}.KillGateway(0)
	w.submitAt(60*time.Millisecond, nil) // before the load balancer in front of the gateways detects the end
	w.submitAt(3*time.Second, func(arrival *model.Arrival) { arrival.SetSize = 2 })
	w.after(4 * time.Second)
	var answers []emulator.Answer
	for _, o := range observed[emulator.RequestAnswered](w) {
		answers = append(answers, o.Answer)
	}
	if !slices.Equal(answers, []emulator.Answer{emulator.AnswerMissing, emulator.AnswerMissing, emulator.AnswerServed}) {
		t.Errorf("got answers %v, want missing, missing, served", answers)
	}
	if stopped := observed[emulator.GatewayStopped](w); len(stopped) != 1 || !stopped[0].Killed {
		t.Errorf("got %+v, want one killed gateway", stopped)
	}
}

// A gateway that shuts down must answer its open requests by the end of the drain, and a new process must take over.
func TestGatewayRestartFailsOpenRequestsAndStartsNewProcess(t *testing.T) {
	w := newTestWorld(PolicyDecider, func(s *emulator.Scenario) { s.Endpoints.Count = 1 })
	faultTarget{w.world}.SilenceEndpoint(1, true)
	w.submitAt(0, func(arrival *model.Arrival) {
		arrival.Class, arrival.Deadline = 1, StartTime+time.Minute
	})
	w.after(50 * time.Millisecond)
	faultTarget{w.world}.RestartGateway(0)
	w.after(10 * time.Second)
	answered := observed[emulator.RequestAnswered](w)
	if len(answered) != 1 || answered[0].Answer != emulator.AnswerFailed {
		t.Errorf("got answers %+v, want one failure", answered)
	}
	stopped, started := observed[emulator.GatewayStopped](w), observed[emulator.GatewayStarted](w)
	if len(stopped) != 1 || stopped[0].Killed || len(started) != len(w.gateways)+1 {
		t.Errorf("got stops %+v and starts %+v, want one graceful restart", stopped, started)
	}
	if g := w.gateways[0]; !g.running || !g.inRotation || g.draining {
		t.Errorf("the gateway is not running and in rotation after the restart: %+v", g)
	}
}

// The state that an oracle sees must be exactly as old as the oracle asks for.
func TestGroundTruthReportsStateOfGivenAge(t *testing.T) {
	w := newTestWorld(nil, nil)
	w.groundTruth.Backlog(1, time.Second) // starts the recording of past states
	for range 20 {
		w.submitAt(time.Second, nil)
	}
	w.after(1100 * time.Millisecond)
	if now, before := w.groundTruth.Backlog(1, 0), w.groundTruth.Backlog(1, time.Second); now < 100*time.Millisecond ||
		before != 0 {
		t.Errorf("the backlog is %v and was %v a second ago, want at least 100ms and 0", now, before)
	}
	burst := w.scenario.Plans[0].Burst
	if now, before := w.groundTruth.QuotaLeft(1, 0, 0), w.groundTruth.QuotaLeft(1, 0, time.Second); now >= burst ||
		before != burst {
		t.Errorf("%v units are left and %v were a second ago, want fewer than the burst, and the burst", now, before)
	}
	w.after(2150 * time.Millisecond)
	if before := w.groundTruth.Backlog(1, time.Second); before < 100*time.Millisecond {
		t.Errorf("the backlog was %v a second ago, want at least 100ms", before)
	}
	if before := w.groundTruth.QuotaLeft(1, 0, time.Second); before >= burst {
		t.Errorf("%v units were left a second ago, want less than the burst", before)
	}
}

// duplicatingActions injects a fault: it forwards each attempt twice.
type duplicatingActions struct{ policy.Actions }

func (d duplicatingActions) Forward(id policy.RequestID, endpoint policy.EndpointID, until time.Duration) {
	d.Actions.Forward(id, endpoint, until)
	d.Actions.Forward(id, endpoint, until)
}

// The checker must detect two concurrent attempts of one request.
func TestCheckerDetectsDuplicatedAttempts(t *testing.T) {
	scenario := model.DefaultScenario()
	checker := invariant.NewChecker(&scenario)
	summary, err := Run(t.Context(), Options{
		Scenario: scenario,
		Observer: checker,
		NewDecider: func(cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
			return PolicyDecider(cfg, duplicatingActions{actions}, groundTruth)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if checker.Finish(StartTime + summary.VirtualTime).Passed() {
		t.Error("the checker did not detect two attempts at the same time")
	}
}
