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

// firstEndpoint is a decider that forwards each request to endpoint 1, once, and keeps what it is told.
type firstEndpoint struct {
	emulator.Decider // of the policy, for what is not decided here
	actions          policy.Actions
	results          []policy.AttemptResult
}

// Submit implements emulator.Decider.
func (d *firstEndpoint) Submit(_ time.Duration, request policy.Request) {
	d.actions.Forward(request.ID, 1, 0)
}

// AttemptFinished implements emulator.Decider.
func (d *firstEndpoint) AttemptFinished(_ time.Duration, result policy.AttemptResult) {
	d.results = append(d.results, result)
	if !result.RequestDone {
		d.actions.Fail(result.Request)
	}
}

// ClientDisconnected implements emulator.Decider.
func (d *firstEndpoint) ClientDisconnected(time.Duration, policy.RequestID) {}

// testWorld is a world without clients of its own, whose gateway 0 is watched.
type testWorld struct {
	*world
	decider      *firstEndpoint // of gateway 0
	observations []emulator.Observation
	requests     int
}

// Observe implements emulator.Observer.
func (w *testWorld) Observe(_ time.Duration, observation emulator.Observation) {
	w.observations = append(w.observations, observation)
}

// newTestWorld starts a world. Without a decider all gateways forward to endpoint 1.
func newTestWorld(newDecider emulator.NewDecider, change func(*emulator.Scenario)) *testWorld {
	w := &testWorld{}
	scenario := model.DefaultScenario()
	scenario.Network.Jitter, scenario.Clients.Retries = 0, 0
	if change != nil {
		change(&scenario)
	}
	if newDecider == nil {
		newDecider = func(cfg policy.Config, actions policy.Actions, truth emulator.Truth) emulator.Decider {
			decider := &firstEndpoint{Decider: PolicyDecider(cfg, actions, truth), actions: actions}
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

// submitAt has a client send a request of 100 ms of work at gateway 0, a time after the start.
func (w *testWorld) submitAt(after time.Duration, change func(*model.Arrival)) {
	w.requests++
	arrival := model.Arrival{
		Request: emulator.RequestKey(w.requests), Original: emulator.RequestKey(w.requests), Customer: 1, SetSize: 1,
		Units: 1, TrueUnits: 1, Work: 100 * time.Millisecond, Deadline: StartTime + after + 4*time.Second,
	}
	if change != nil {
		change(&arrival)
	}
	w.unsettled++
	w.scheduler.After(after, func() { w.receiveRequest(arrival) })
}

// after runs the world up to a time after the start.
func (w *testWorld) after(passed time.Duration) { w.scheduler.RunUntil(StartTime + passed) }

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
		t.Errorf("new connections: %v, %d in all", opened, w.connections)
	}
	network, endpoints := w.scenario.Network.Delay.Of(), w.scenario.Endpoints
	extra := w.decider.results[0].Latency - w.decider.results[1].Latency
	if extra < 2*network+endpoints.HandshakeDelay.Of() {
		t.Errorf("the new connection cost only %v", extra)
	}
	for _, answer := range observed[emulator.RequestAnswered](w) {
		if answer.Answer != emulator.AnswerServed || !answer.Genuine {
			t.Errorf("%+v", answer)
		}
	}
}

func TestConcurrentRequestsHaveConnectionsOfTheirOwn(t *testing.T) {
	w := newTestWorld(nil, nil)
	w.submitAt(0, nil)
	w.submitAt(0, nil)
	w.after(time.Second)
	if w.connections != 2 {
		t.Errorf("%d connections, want 2", w.connections)
	}
}

func TestDialOfACutOffEndpointTimesOut(t *testing.T) {
	w := newTestWorld(nil, nil)
	faultTarget{w.world}.PartitionEndpoint(1, true)
	w.submitAt(0, nil)
	w.after(time.Second)
	if !slices.Equal(w.statuses(), []policy.Status{policy.StatusConnectFailed}) ||
		w.decider.results[0].Latency != w.scenario.Network.DialTimeout.Of() {
		t.Errorf("%+v", w.decider.results)
	}
	if sent := observed[emulator.AttemptForwarded](w); len(sent) != 0 {
		t.Errorf("it was sent: %+v", sent)
	}
}

func TestFullConnectionTableRefuses(t *testing.T) {
	w := newTestWorld(nil, func(s *emulator.Scenario) { s.Endpoints.MaxConnections = 1 })
	w.submitAt(0, nil)
	w.submitAt(0, nil)
	w.after(time.Second)
	if !slices.Equal(w.statuses(), []policy.Status{policy.StatusConnectFailed, policy.StatusOK}) {
		t.Errorf("%+v", w.decider.results)
	}
}

func TestNothingIsSentToAnEndpointThatDrainsDuringTheHandshake(t *testing.T) {
	w := newTestWorld(nil, func(s *emulator.Scenario) { s.Endpoints.HandshakeDelay = emulator.Duration(time.Second) })
	w.submitAt(0, nil)
	w.after(time.Second / 2)
	w.gateways[0].updateEndpoints(policy.UpdateDelta, []policy.Endpoint{{ID: 1, State: policy.StateDraining}})
	w.after(2 * time.Second)
	if !slices.Equal(w.statuses(), []policy.Status{policy.StatusNotSent}) {
		t.Errorf("%+v", w.decider.results)
	}
	notified := observed[emulator.EndpointNotified](w)
	if len(notified) != 1 || notified[0].State != policy.StateDraining {
		t.Errorf("%+v", notified)
	}
}

func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	w := newTestWorld(nil, func(s *emulator.Scenario) { s.Endpoints.HandshakeDelay = emulator.Duration(time.Second) })
	w.submitAt(0, func(arrival *model.Arrival) { arrival.AbandonAt = StartTime + time.Second/2 })
	w.after(2 * time.Second)
	if sent := observed[emulator.AttemptForwarded](w); len(sent) != 0 {
		t.Errorf("it was sent: %+v", sent)
	}
	if len(observed[emulator.ClientDisconnected](w)) != 1 || len(observed[emulator.RequestAnswered](w)) != 0 {
		t.Errorf("%+v", w.observations)
	}
}

func TestSilentEndpointTimesOutAtTheDeadline(t *testing.T) {
	w := newTestWorld(nil, nil)
	faultTarget{w.world}.SilenceEndpoint(1, true)
	w.submitAt(0, nil)
	w.submitAt(5*time.Second, nil)
	w.after(10 * time.Second)
	if !slices.Equal(w.statuses(), []policy.Status{policy.StatusTimedOut, policy.StatusTimedOut}) ||
		w.decider.results[0].Latency != 4*time.Second {
		t.Errorf("%+v", w.decider.results)
	}
	if w.connections != 2 {
		t.Errorf("a connection on which an answer may come was reused: %d were opened", w.connections)
	}
	for _, ended := range observed[emulator.AttemptEnded](w) {
		if !ended.Executed {
			t.Errorf("it may have run: %+v", ended)
		}
	}
}

func TestStopOfAnEndpointResetsItsConnections(t *testing.T) {
	w := newTestWorld(nil, nil)
	w.submitAt(0, nil)
	w.after(50 * time.Millisecond)
	faultTarget{w.world}.StopEndpoint(1)
	w.after(time.Second)
	if !slices.Equal(w.statuses(), []policy.Status{policy.StatusReset}) {
		t.Errorf("%+v", w.decider.results)
	}
}

func TestSpoiltAnswerIsNoAnswer(t *testing.T) {
	w := newTestWorld(nil, nil)
	faultTarget{w.world}.CorruptResponses(1)
	w.submitAt(0, nil)
	w.after(time.Second)
	if !slices.Equal(w.statuses(), []policy.Status{policy.StatusReset}) {
		t.Errorf("%+v", w.decider.results)
	}
}

func TestKilledGatewayLosesItsRequests(t *testing.T) {
	w := newTestWorld(nil, nil)
	w.submitAt(0, nil)
	w.after(50 * time.Millisecond)
	faultTarget{w.world}.KillGateway(0)
	w.submitAt(60*time.Millisecond, nil) // the front has not noticed
	w.submitAt(3*time.Second, func(arrival *model.Arrival) { arrival.SetSize = 2 })
	w.after(4 * time.Second)
	var answers []emulator.Answer
	for _, o := range observed[emulator.RequestAnswered](w) {
		answers = append(answers, o.Answer)
	}
	if !slices.Equal(answers, []emulator.Answer{emulator.AnswerMissing, emulator.AnswerMissing, emulator.AnswerServed}) {
		t.Errorf("answers: %v", answers)
	}
	if stopped := observed[emulator.GatewayStopped](w); len(stopped) != 1 || !stopped[0].Killed {
		t.Errorf("%+v", stopped)
	}
}

func TestRestartAnswersWhatIsOpenAndBringsAFreshProcess(t *testing.T) {
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
		t.Errorf("%+v", answered)
	}
	stopped, started := observed[emulator.GatewayStopped](w), observed[emulator.GatewayStarted](w)
	if len(stopped) != 1 || stopped[0].Killed || len(started) != len(w.gateways)+1 {
		t.Errorf("%+v %+v", stopped, started)
	}
	if g := w.gateways[0]; !g.running || !g.admitted || g.draining {
		t.Errorf("the gateway has not come back: %+v", g)
	}
}

func TestOracleSeesTheStateAsItWas(t *testing.T) {
	w := newTestWorld(nil, nil)
	w.truth.Backlog(1, time.Second) // begins to record
	for range 20 {
		w.submitAt(time.Second, nil)
	}
	w.after(1100 * time.Millisecond)
	if now, before := w.truth.Backlog(1, 0), w.truth.Backlog(1, time.Second); now < 100*time.Millisecond || before != 0 {
		t.Errorf("the backlog is %v, and was %v", now, before)
	}
	burst := w.scenario.Plans[0].Burst
	if now, before := w.truth.QuotaLeft(1, 0, 0), w.truth.QuotaLeft(1, 0, time.Second); now >= burst || before != burst {
		t.Errorf("of the quota %v are left, and %v were", now, before)
	}
	w.after(2150 * time.Millisecond)
	if before := w.truth.Backlog(1, time.Second); before < 100*time.Millisecond {
		t.Errorf("the backlog was %v", before)
	}
	if before := w.truth.QuotaLeft(1, 0, time.Second); before >= burst {
		t.Errorf("of the quota %v were left", before)
	}
}

// doubleForward is a planted fault: each attempt is made twice.
type doubleForward struct{ policy.Actions }

func (d doubleForward) Forward(id policy.RequestID, endpoint policy.EndpointID, until time.Duration) {
	d.Actions.Forward(id, endpoint, until)
	d.Actions.Forward(id, endpoint, until)
}

func TestPlantedFaultIsSeenByTheChecker(t *testing.T) {
	scenario := model.DefaultScenario()
	checker := invariant.NewChecker(&scenario)
	summary, err := Run(t.Context(), Options{
		Scenario: scenario,
		Observer: checker,
		NewDecider: func(cfg policy.Config, actions policy.Actions, truth emulator.Truth) emulator.Decider {
			return PolicyDecider(cfg, doubleForward{actions}, truth)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if checker.Finish(StartTime + summary.VirtualTime).Kept() {
		t.Error("two attempts at once went unnoticed")
	}
}
