package invariant

import (
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// Guards against a checker that misses attempts that state more time than the client has left, or that forbids a
// deadline that is at most the client's.
func TestCheckerForbidsLaterDeadlinesThanTheClients(t *testing.T) {
	const clientDeadline = 4000 // milliseconds after the start of the stream
	forward := func(stated int) func(*stream) {
		return func(s *stream) {
			s.submit(1, classIdempotent).at(10)
			deadline := time.Duration(0)
			if stated > 0 {
				deadline = startTime + time.Duration(stated)*time.Millisecond
			}
			s.observe(emulator.AttemptForwarded{Request: 1, Endpoint: 1, StatedDeadline: deadline})
			s.at(20).end(1, 0, policy.StatusOK).answer(1, emulator.AnswerServed)
		}
	}
	const limit = clientDeadline + int((SocketSlack+SocketTransit)/time.Millisecond)
	runStreamTests(t, []streamTestCase{
		{"unknown", "", forward(0)},
		{"the client's", "", forward(clientDeadline)},
		{"later", RuleDeadline, forward(clientDeadline + 1)},
	})
	runStreamTests(t, []streamTestCase{
		{"within the transit time", "", forward(limit)},
		{"beyond the transit time", RuleDeadline, forward(limit + 1)},
	}, WithSlack(SocketSlack), WithTransit(SocketTransit))
}

// Guards against retries outside the scope of a key that are not checked because the location of an endpoint, which its
// start reports, is not recorded.
func TestStartOfEndpointReportsItsLocation(t *testing.T) {
	for zone, rule := range []Rule{"", RuleSingleExecution} {
		s := newStream()
		for endpoint, zone := range map[policy.EndpointID]int{20: 0, 21: zone} {
			s.observe(emulator.EndpointStarted{Endpoint: endpoint, Zone: zone, Cell: zone})
		}
		s.submit(1, classKeyZone).forward(1, 0, 20).end(1, 0, policy.StatusReset).forward(1, 1, 21)
		s.end(1, 1, policy.StatusOK).answer(1, emulator.AnswerServed)
		assertViolation(t, s.finish(), rule)
	}
}
