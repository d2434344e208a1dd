package invariant

import (
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// startTime is the Unix time at which the streams of the tests start.
const startTime = 1_700_000_000 * time.Second

// The indices of the classes in testScenario.
const (
	classIdempotent = iota
	classAtMostOnce
	classKeyFleet
	classKeyZone
	classKeyCell
)

// testScenario returns a scenario with one class for each idempotency and key scope, and one plan with a ceiling.
func testScenario() *emulator.Scenario {
	class := func(idempotency, scope string) emulator.Class {
		return emulator.Class{
			Idempotency: idempotency, Scope: scope,
			KeyTTL: emulator.Duration(time.Second), Deadline: emulator.Duration(4 * time.Second),
		}
	}
	return &emulator.Scenario{
		Endpoints: emulator.Endpoints{DrainGrace: emulator.Duration(time.Second)},
		Classes: []emulator.Class{
			class("idempotent", ""), class("at_most_once", ""),
			class("deduplicated", "all"), class("deduplicated", "zone"), class("deduplicated", "cell"),
		},
		Plans: []emulator.Plan{
			{Name: "soft"},
			{Name: "hard", CeilingRate: 2, CeilingBurst: 10, CeilingSlack: 1},
		},
	}
}

// stream feeds a Checker with observations that a test writes by hand.
type stream struct {
	checker *Checker
	now     time.Duration
}

func newStream(options ...Option) *stream {
	s := &stream{checker: NewChecker(testScenario(), options...), now: startTime}
	for endpoint := range policy.EndpointID(8) { // two zones of two cells of two endpoints
		s.checker.SetEndpointLocation(endpoint, int(endpoint)/4, int(endpoint)/2)
	}
	return s
}

// at advances the stream to a time in milliseconds from its start.
func (s *stream) at(milliseconds int) *stream {
	s.now = startTime + time.Duration(milliseconds)*time.Millisecond
	return s
}

func (s *stream) observe(observation emulator.Observation) *stream {
	s.checker.Observe(s.now, observation)
	return s
}

// submit submits a request with a deadline of 4 s to gateway 0.
func (s *stream) submit(key emulator.RequestKey, class int) *stream {
	return s.observe(emulator.RequestSubmitted{
		Request: key, Original: key, Class: class, Units: 1, Deadline: s.now + 4*time.Second,
	})
}

// submitUnits submits an idempotent request of a customer whose plan has a ceiling.
func (s *stream) submitUnits(key emulator.RequestKey, customer policy.CustomerID, units float64) *stream {
	return s.observe(emulator.RequestSubmitted{
		Request: key, Original: key, Customer: customer, Plan: 1, Units: units, Deadline: s.now + 4*time.Second,
	})
}

func (s *stream) forward(key emulator.RequestKey, attempt int, endpoint policy.EndpointID) *stream {
	return s.observe(emulator.AttemptForwarded{Request: key, Attempt: attempt, Endpoint: endpoint})
}

// forwardSentAt observes an attempt of request 1 that was sent at an earlier time. The time is in milliseconds from the
// start of the stream.
func (s *stream) forwardSentAt(attempt int, endpoint policy.EndpointID, sentAt int) *stream {
	sent := startTime + time.Duration(sentAt)*time.Millisecond
	return s.observe(emulator.AttemptForwarded{Request: 1, Attempt: attempt, Endpoint: endpoint, Sent: sent})
}

func (s *stream) receive(key emulator.RequestKey, attempt int, units float64) *stream {
	return s.observe(emulator.AttemptReceived{Request: key, Attempt: attempt, Units: units})
}

func (s *stream) end(key emulator.RequestKey, attempt int, status policy.Status) *stream {
	return s.observe(emulator.AttemptEnded{Request: key, Attempt: attempt, Status: status})
}

func (s *stream) answer(key emulator.RequestKey, answer emulator.Answer) *stream {
	return s.observe(emulator.RequestAnswered{Request: key, Answer: answer, Genuine: true})
}

func (s *stream) disconnect(key emulator.RequestKey) *stream {
	return s.observe(emulator.ClientDisconnected{Request: key})
}

func (s *stream) notify(endpoint policy.EndpointID, state policy.EndpointState) *stream {
	return s.observe(emulator.EndpointNotified{Endpoint: endpoint, State: state})
}

func (s *stream) stopGateway(killed bool) *stream {
	return s.observe(emulator.GatewayStopped{Killed: killed})
}

func (s *stream) startGateway() *stream {
	return s.observe(emulator.GatewayStarted{})
}

// finish ends the stream a minute later, when all of its requests are overdue.
func (s *stream) finish() Report { return s.checker.Finish(s.now + time.Minute) }

// assertViolation checks that the report lists exactly one violation, of the given rule, or none if rule is empty.
func assertViolation(t *testing.T, report Report, rule Rule) {
	t.Helper()
	if rule == "" {
		if !report.Passed() || len(report.Violations) != 0 {
			t.Errorf("violations = %+v, want none", report.Violations)
		}
		return
	}
	if report.Passed() || len(report.Violations) != 1 {
		t.Fatalf("violations = %+v, want exactly one, of %s", report.Violations, rule)
	}
	if got := report.Violations[0]; got.Rule != rule || got.Count != 1 {
		t.Errorf("violation = %+v, want exactly one, of %s", got, rule)
	}
}
