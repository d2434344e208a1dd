package policy

import (
	"fmt"
	"math"
	"time"

	"pgregory.net/rapid"
)

// maxRegularTimeLeft is the longest time left of a request, apart from the extreme values that drawSubmit also draws.
const maxRegularTimeLeft = 3 * time.Second

// Bounds on the number of steps in a scenario.
const (
	minSteps = 20
	maxSteps = 80
)

// situation describes a condition that the scenarios must reach for the properties to be tested.
type situation string

const (
	requestForwarded          situation = "a request is forwarded"
	requestFailed             situation = "a request fails"
	attemptCancelled          situation = "an attempt is cancelled"
	retriedAfterNoExecution   situation = "an attempt follows others that were not executed"
	retriedByIdempotencyKey   situation = "an attempt follows one that may have been executed, by its key"
	disconnectedDuringAttempt situation = "a client disconnects during an attempt"
	shutdownWhileQueued       situation = "a shutdown begins while a request is queued"
	timerNotPending           situation = "a timer is no longer pending"
	drainedDuringAttempt      situation = "an endpoint drains or is removed during an attempt"
)

// situations lists all situations.
var situations = []situation{requestForwarded, requestFailed, attemptCancelled, retriedAfterNoExecution,
	retriedByIdempotencyKey, disconnectedDuringAttempt, shutdownWhileQueued, timerNotPending, drainedDuringAttempt}

// scenario holds a configuration and the steps that a gateway with it goes through.
type scenario struct {
	cfg   Config
	steps []step
}

// step is an event or a group of events that follows after a pause.
type step struct {
	name  string
	pause time.Duration
	run   func(m *modelGateway)
}

// GoString describes the step in failure reports.
func (s step) GoString() string { return fmt.Sprintf("%s after %v", s.name, s.pause) }

// drawScenario draws a scenario. It makes all random choices in advance, so that a scenario can be run repeatedly.
func drawScenario(t *rapid.T) scenario {
	return scenario{cfg: drawConfig(t), steps: rapid.SliceOfN(rapid.Custom(drawStep), minSteps, maxSteps).Draw(t, "steps")}
}

// execute runs the scenario and returns the gateway with the recorded actions and violations.
func (s scenario) execute(dropStaleTimers bool) *modelGateway {
	m := newModelGateway(s.cfg, dropStaleTimers)
	m.update(UpdateCached, readyEndpointsInZones(4))
	for _, step := range s.steps {
		m.advance(step.pause)
		step.run(m)
		m.checkInFlight()
		m.checkOpenRequests()
	}
	m.completeAndCheck()
	return m
}

// readyEndpoint returns a ready endpoint. Its zone and cell derive from its id, since they must not change.
func readyEndpoint(id int) Endpoint {
	return Endpoint{ID: EndpointID(id), Weight: 1, State: StateReady, Zone: id % 2, Cell: id % 3}
}

// readyEndpointsInZones returns the endpoints 1 to count, alternating between two zones.
func readyEndpointsInZones(count int) []Endpoint {
	var list []Endpoint
	for id := 1; id <= count; id++ {
		list = append(list, readyEndpoint(id))
	}
	return list
}

func drawConfig(t *rapid.T) Config {
	cfg := testConfig()
	cfg.GatewayCount = rapid.SampledFrom([]int{2, 2, 1, 4, 0}).Draw(t, "gateways")
	cfg.GatewayIndex = rapid.SampledFrom([]int{0, 0, 0, 1, -1, 9}).Draw(t, "gateway")
	cfg.Seed = rapid.Uint64().Draw(t, "seed")
	cfg.CanCancel = rapid.Bool().Draw(t, "can cancel")
	cfg.PolledEndpoints = rapid.Bool().Draw(t, "polled")
	cfg.MaxAttempts = rapid.IntRange(0, 4).Draw(t, "attempts")
	cfg.MaxOpenRequests = rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "open requests")
	cfg.MeterPeriod = rapid.SampledFrom([]time.Duration{time.Second, 0, -1}).Draw(t, "meter period")
	cfg.Classes[nonIdempotentClass].KeyTTL = time.Second // must have no effect: the class has no keys
	cfg.Classes = append(cfg.Classes, Class{LatencyObjective: time.Second, PriorityWeight: 1,
		Idempotency: IdempotentByKey, KeyScope: KeyScopeCell, KeyTTL: 500 * time.Millisecond})
	cfg.Plans = append(cfg.Plans, Plan{PriceFactor: 1}, Plan{PriceFactor: 1, MaxConcurrent: 3})
	return cfg
}

// drawStep draws a step. A name that occurs more than once in the list is drawn more often.
func drawStep(t *rapid.T) step {
	name := rapid.SampledFrom([]string{"submit", "submit", "submit", "submit", "finish", "finish", "finish", "finish",
		"update", "disconnect", "duplicate", "stream", "timer", "shutdown"}).Draw(t, "step")
	pause := rapid.SampledFrom([]time.Duration{0, 0, 1, 20, 50, 100, 400, 500}).Draw(t, "pause") * time.Millisecond
	draw := map[string]func(t *rapid.T) func(m *modelGateway){
		"submit": drawSubmit, "finish": drawAttemptEnd, "update": drawUpdate, "disconnect": drawDisconnect,
		"duplicate": drawUnmatchedResult, "stream": drawResponseStart, "timer": drawTimer, "shutdown": drawShutdown,
	}[name]
	return step{name: name, pause: pause, run: draw(t)}
}

func drawSubmit(t *rapid.T) func(m *modelGateway) {
	request := Request{
		Class:    rapid.SampledFrom([]int{0, 1, 1, 2, 2, 3, 3, 0, 1, 2, 3, -1, 9}).Draw(t, "class"),
		Plan:     rapid.SampledFrom([]int{0, 1, 2, 2, 3, 3, 3, 4, -1, unknownPlan}).Draw(t, "plan"),
		Customer: CustomerID(rapid.IntRange(0, 3).Draw(t, "customer")),
		TimeLeft: rapid.SampledFrom([]time.Duration{maxRegularTimeLeft, maxRegularTimeLeft, time.Second, time.Second,
			200 * time.Millisecond, 1, 0, -time.Second, 100 * 365 * 24 * time.Hour}).Draw(t, "time left"),
		Units: rapid.SampledFrom([]float64{1, 1, 1, 2, 2, 3, 4, 0.25, 0.1, 0.7, 0, -1, math.NaN(), math.Inf(1), 1 << 40}).
			Draw(t, "units"),
		SetSize:  rapid.SampledFrom([]int{2, 2, 2, 2, 1, 0, -3, math.MaxInt}).Draw(t, "set size"),
		SetFirst: rapid.SampledFrom([]int{0, 0, 0, 1, -5, math.MaxInt}).Draw(t, "first of the set"),
	}
	return func(m *modelGateway) { m.submit(request) }
}

// drawResult draws the result of an attempt. StatusTimedOut is not drawn: it occurs at the deadline.
func drawResult(t *rapid.T) AttemptResult {
	return AttemptResult{
		Status: rapid.SampledFrom([]Status{StatusOK, StatusOK, StatusServerError, StatusRejected, StatusConnectFailed,
			StatusReset, StatusCancelled, StatusNotSent, StatusLocalFailure}).Draw(t, "status"),
		Latency: rapid.SampledFrom([]time.Duration{5 * time.Millisecond, 200 * time.Millisecond, 0, -time.Hour,
			math.MaxInt64}).Draw(t, "latency"),
		HasUsage: rapid.Bool().Draw(t, "has usage"),
		Usage:    rapid.SampledFrom([]float64{0.5, 1.5, 0, -1, 1e300, math.NaN(), math.Inf(1)}).Draw(t, "usage"),
	}
}

func drawAttemptEnd(t *rapid.T) func(m *modelGateway) {
	result, choice := drawResult(t), drawChoice(t)
	return func(m *modelGateway) {
		if attempt := m.chooseInFlight(choice); attempt != nil {
			m.finish(attempt, result)
		}
	}
}

// drawUnmatchedResult draws a result of an attempt that has ended or never existed. After a disconnect the engine takes
// any result as that of the attempt in flight, so none is sent while there is one.
func drawUnmatchedResult(t *rapid.T) func(m *modelGateway) {
	result, choice := drawResult(t), drawChoice(t)
	result.Attempt = rapid.IntRange(-1, 3).Draw(t, "attempt")
	result.Endpoint = EndpointID(rapid.IntRange(0, 7).Draw(t, "endpoint"))
	return func(m *modelGateway) {
		r := m.chooseRequest(choice)
		if r == nil {
			return
		}
		last := r.inFlight()
		if last == nil || !r.disconnected && last.number != result.Attempt {
			result := result
			result.Request = r.ID
			m.engine.AttemptFinished(m.now, result)
		}
	}
}

func drawResponseStart(t *rapid.T) func(m *modelGateway) {
	choice := drawChoice(t)
	return func(m *modelGateway) {
		if attempt := m.chooseInFlight(choice); attempt != nil {
			m.engine.ResponseStarted(m.now, attempt.request.ID, attempt.number, attempt.endpoint.ID)
		}
	}
}

func drawDisconnect(t *rapid.T) func(m *modelGateway) {
	choice := drawChoice(t)
	return func(m *modelGateway) {
		if r := m.chooseRequest(choice); r != nil {
			m.disconnect(r)
		}
	}
}

func drawUpdate(t *rapid.T) func(m *modelGateway) {
	kind := rapid.SampledFrom([]UpdateKind{UpdateDelta, UpdateDelta, UpdateFull, UpdateCached, UpdateFailed}).
		Draw(t, "kind")
	list := rapid.SliceOfN(rapid.Custom(drawEndpoint), 0, 6).Draw(t, "endpoints")
	return func(m *modelGateway) {
		for _, r := range m.requests {
			if attempt := r.inFlight(); attempt != nil && !r.answeredOrDisconnected() {
				for _, ep := range list {
					if ep.ID == attempt.endpoint.ID && ep.State != StateReady {
						m.occurrences[drainedDuringAttempt]++
					}
				}
			}
		}
		m.update(kind, list)
	}
}

func drawEndpoint(t *rapid.T) Endpoint {
	ep := readyEndpoint(rapid.IntRange(1, 6).Draw(t, "id"))
	ep.State = rapid.SampledFrom([]EndpointState{StateReady, StateReady, StateReady, StateDraining, StateRemoved}).
		Draw(t, "state")
	ep.Weight = rapid.SampledFrom([]float64{1, 1, 0.5, 0, -1, math.NaN(), math.Inf(1)}).Draw(t, "weight")
	ep.StartedAt = rapid.SampledFrom([]time.Duration{0, 0, time.Hour - 5*time.Second, time.Hour, 2 * time.Hour}).
		Draw(t, "started at")
	return ep
}

// drawTimer draws a timer that may never have been started.
func drawTimer(t *rapid.T) func(m *modelGateway) {
	timer := Timer{
		Kind:    rapid.SampledFrom([]TimerKind{TimerRelease, TimerSilence, 0, math.MaxUint8}).Draw(t, "kind"),
		Request: RequestID(rapid.IntRange(0, 30).Draw(t, "request")),
		Attempt: rapid.IntRange(-1, 3).Draw(t, "attempt"),
	}
	return func(m *modelGateway) { m.fireTimer(timer) }
}

func drawShutdown(t *rapid.T) func(m *modelGateway) {
	begins := rapid.IntRange(0, 3).Draw(t, "begins") == 0 // rarely, since few situations can occur after it
	wait := rapid.SampledFrom([]time.Duration{-time.Second, 0, 30 * time.Millisecond, time.Second}).Draw(t, "wait")
	return func(m *modelGateway) {
		if begins {
			m.shutDown(m.now + wait)
		}
	}
}

func drawChoice(t *rapid.T) int { return rapid.IntRange(0, 19).Draw(t, "choice") }

// chooseRequest returns one of the latest requests, or nil if there are none.
func (m *modelGateway) chooseRequest(choice int) *modelRequest {
	if len(m.requests) == 0 {
		return nil
	}
	return m.requests[len(m.requests)-1-choice%len(m.requests)]
}

// chooseInFlight returns one of the attempts in flight, or nil if there are none.
func (m *modelGateway) chooseInFlight(choice int) *modelAttempt {
	var inFlight []*modelAttempt
	for _, r := range m.requests {
		if attempt := r.inFlight(); attempt != nil {
			inFlight = append(inFlight, attempt)
		}
	}
	if len(inFlight) == 0 {
		return nil
	}
	return inFlight[choice%len(inFlight)]
}
