package invariant

import (
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// streamTest is a stream and the rule that it breaks, none if rule is empty.
type streamTest struct {
	name string
	rule Rule
	play func(s *stream)
}

func runStreams(t *testing.T, tests []streamTest, options ...Option) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newStream(options...)
			test.play(s)
			assertBroken(t, s.finish(), test.rule)
		})
	}
}

func TestFinalAnswer(t *testing.T) {
	runStreams(t, []streamTest{
		{"served", "", func(s *stream) {
			s.submit(1, classAtMostOnce).forward(1, 0, 1).at(10).end(1, 0, policy.StatusOK).answer(1, emulator.AnswerServed)
		}},
		{"failed at the end of the grace", "", func(s *stream) {
			s.submit(1, classAtMostOnce).at(4500).answer(1, emulator.AnswerFailed)
		}},
		{"failed after the grace", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classAtMostOnce).at(4501).answer(1, emulator.AnswerFailed)
		}},
		{"never answered", RuleFinalAnswer, func(s *stream) { s.submit(1, classAtMostOnce).forward(1, 0, 1) }},
		{"never answered, while others go on", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classAtMostOnce)
			for key := emulator.RequestKey(2); key < 100; key++ {
				s.at(int(key)*100).submit(key, classAtMostOnce).answer(key, emulator.AnswerFailed)
			}
		}},
		{"client gives up at its deadline", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classAtMostOnce).at(4000).disconnect(1)
		}},
		{"client disconnects before", "", func(s *stream) { s.submit(1, classAtMostOnce).at(3999).disconnect(1) }},
		{"answered twice", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classIdempotent).answer(1, emulator.AnswerFailed).at(5).answer(1, emulator.AnswerFailed)
		}},
		{"answer of another request", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classIdempotent).forward(1, 0, 1).end(1, 0, policy.StatusOK)
			s.observe(emulator.RequestAnswered{Request: 1, Answer: emulator.AnswerServed})
		}},
		{"connection ended", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classIdempotent).answer(1, emulator.AnswerMissing)
		}},
		{"forwarded after the answer", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classIdempotent).answer(1, emulator.AnswerFailed).at(1).forward(1, 0, 1)
			s.at(2).end(1, 0, policy.StatusOK)
		}},
		{"forwarded long after the answer", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classIdempotent).answer(1, emulator.AnswerFailed).at(9000).forward(1, 0, 1)
		}},
		{"forwarded without a request", RuleFinalAnswer, func(s *stream) { s.forward(1, 0, 1) }},
	})
}

func TestStoppedGateway(t *testing.T) {
	runStreams(t, []streamTest{
		{"killed", "", func(s *stream) { s.submit(1, classAtMostOnce).forward(1, 0, 1).at(5).stopGateway(true) }},
		{"killed and started again", "", func(s *stream) {
			s.submit(1, classAtMostOnce).at(5).stopGateway(true).at(100).startGateway()
		}},
		{"killed, and the connections end", "", func(s *stream) {
			s.submit(1, classAtMostOnce).at(5).stopGateway(true).answer(1, emulator.AnswerMissing)
		}},
		{"connections end as it is killed", "", func(s *stream) {
			s.submit(1, classAtMostOnce).at(5).answer(1, emulator.AnswerMissing).stopGateway(true)
		}},
		{"arrives at a killed one", "", func(s *stream) { s.stopGateway(true).submit(1, classAtMostOnce) }},
		{"arrives at one that was shut down", "", func(s *stream) { s.stopGateway(false).submit(1, classAtMostOnce) }},
		{"arrives at its successor", RuleFinalAnswer, func(s *stream) {
			s.stopGateway(true).startGateway().submit(1, classAtMostOnce)
		}},
		{"shut down", RuleFinalAnswer, func(s *stream) { s.submit(1, classAtMostOnce).at(5).stopGateway(false) }},
		{"shut down after the answer", "", func(s *stream) {
			s.submit(1, classAtMostOnce).at(5).answer(1, emulator.AnswerRejected).stopGateway(false)
		}},
	})
}

func TestSingleExecution(t *testing.T) {
	retry := func(class int, status policy.Status, endpoint policy.EndpointID, after int) func(*stream) {
		return func(s *stream) {
			s.submit(1, class).forward(1, 0, 0).at(1).end(1, 0, status)
			s.at(after).forward(1, 1, endpoint).at(after+1).end(1, 1, policy.StatusOK).answer(1, emulator.AnswerServed)
		}
	}
	runStreams(t, []streamTest{
		{"at most once, rejected", "", retry(classAtMostOnce, policy.StatusRejected, 1, 5)},
		{"at most once, connect failed", "", retry(classAtMostOnce, policy.StatusConnectFailed, 1, 5)},
		{"at most once, not sent", "", retry(classAtMostOnce, policy.StatusNotSent, 1, 5)},
		{"at most once, error", RuleSingleExecution, retry(classAtMostOnce, policy.StatusServerError, 1, 5)},
		{"at most once, timed out", RuleSingleExecution, retry(classAtMostOnce, policy.StatusTimedOut, 1, 5)},
		{"at most once, reset", RuleSingleExecution, retry(classAtMostOnce, policy.StatusReset, 0, 5)},
		{"at most once, cancelled", RuleSingleExecution, retry(classAtMostOnce, policy.StatusCancelled, 1, 5)},
		{"idempotent, reset", "", retry(classIdempotent, policy.StatusReset, 7, 3000)},
		{"key of the fleet", "", retry(classKeyFleet, policy.StatusReset, 7, 1000)},
		{"key of the fleet, forgotten", RuleSingleExecution, retry(classKeyFleet, policy.StatusReset, 7, 1001)},
		{"key of the fleet, rejected, forgotten", "", retry(classKeyFleet, policy.StatusRejected, 7, 1001)},
		{"key of the zone", "", retry(classKeyZone, policy.StatusReset, 3, 5)},
		{"key of another zone", RuleSingleExecution, retry(classKeyZone, policy.StatusReset, 4, 5)},
		{"key of the cell", "", retry(classKeyCell, policy.StatusReset, 1, 5)},
		{"key of another cell", RuleSingleExecution, retry(classKeyCell, policy.StatusReset, 2, 5)},
		{"second retry after the key is forgotten", RuleSingleExecution, func(s *stream) {
			s.submit(1, classKeyFleet).forward(1, 0, 0).at(500).end(1, 0, policy.StatusReset)
			s.forward(1, 1, 1).at(900).end(1, 1, policy.StatusReset)
			s.at(1100).forward(1, 2, 2).end(1, 2, policy.StatusOK).answer(1, emulator.AnswerServed)
		}},
	})
}

func TestSafeRejection(t *testing.T) {
	reject := func(class int, status policy.Status) func(*stream) {
		return func(s *stream) {
			s.submit(1, class).forward(1, 0, 0).at(1).end(1, 0, status).answer(1, emulator.AnswerRejected)
		}
	}
	runStreams(t, []streamTest{
		{"not forwarded", "", func(s *stream) { s.submit(1, classAtMostOnce).answer(1, emulator.AnswerRejected) }},
		{"at most once, rejected", "", reject(classAtMostOnce, policy.StatusRejected)},
		{"at most once, error", RuleSafeRejection, reject(classAtMostOnce, policy.StatusServerError)},
		{"at most once, in flight", RuleSafeRejection, func(s *stream) {
			s.submit(1, classAtMostOnce).forward(1, 0, 0).answer(1, emulator.AnswerRejected)
		}},
		{"idempotent, timed out", "", reject(classIdempotent, policy.StatusTimedOut)},
		{"key of the fleet, timed out", "", reject(classKeyFleet, policy.StatusTimedOut)},
		{"key of the zone, timed out", RuleSafeRejection, reject(classKeyZone, policy.StatusTimedOut)},
		{"failed instead", "", func(s *stream) {
			s.submit(1, classAtMostOnce).forward(1, 0, 0).end(1, 0, policy.StatusReset).answer(1, emulator.AnswerFailed)
		}},
	})
}

func TestSingleAttempt(t *testing.T) {
	overlap := func(s *stream) {
		s.submit(1, classIdempotent).forward(1, 0, 0).at(5).forward(1, 1, 1)
		s.at(9).end(1, 0, policy.StatusOK).answer(1, emulator.AnswerServed).at(10).end(1, 1, policy.StatusCancelled)
	}
	runStreams(t, []streamTest{{"overlap", RuleSingleAttempt, overlap}})
	runStreams(t, []streamTest{{"overlap of hedged requests", "", overlap}}, WithHedging())
}

func TestDrain(t *testing.T) {
	forwardAt := func(at int, before func(*stream)) func(*stream) {
		return func(s *stream) {
			before(s)
			s.at(at).submit(1, classIdempotent).forward(1, 0, 3)
			s.end(1, 0, policy.StatusOK).answer(1, emulator.AnswerServed)
		}
	}
	draining := func(s *stream) { s.notify(3, policy.StateDraining) }
	runStreams(t, []streamTest{
		{"in the grace period", "", forwardAt(1000, draining)},
		{"after the grace period", RuleDrain, forwardAt(1001, draining)},
		{"removed", RuleDrain, forwardAt(1001, func(s *stream) { s.notify(3, policy.StateRemoved) })},
		{"notified again", RuleDrain, forwardAt(1001, func(s *stream) {
			s.notify(3, policy.StateDraining).at(900).notify(3, policy.StateRemoved)
		})},
		{"ready again", "", forwardAt(1001, func(s *stream) {
			s.notify(3, policy.StateRemoved).at(900).notify(3, policy.StateReady)
		})},
		{"another endpoint", "", forwardAt(1001, func(s *stream) { s.notify(4, policy.StateDraining) })},
		{"another gateway", "", forwardAt(1001, func(s *stream) {
			s.observe(emulator.EndpointNotified{Gateway: 1, Endpoint: 3, State: policy.StateDraining})
		})},
		{"new process", "", forwardAt(1001, func(s *stream) {
			s.notify(3, policy.StateDraining).stopGateway(true).at(500).startGateway()
		})},
		{"new process that is notified", RuleDrain, forwardAt(1502, func(s *stream) {
			s.notify(3, policy.StateDraining).stopGateway(true).at(500).notify(3, policy.StateDraining).startGateway()
		})},
	})
}

func TestSlowStart(t *testing.T) {
	overload := func(share float64) func(*stream) {
		return func(s *stream) { s.observe(emulator.EndpointOverloaded{Endpoint: 1, InformedShare: share}) }
	}
	runStreams(t, []streamTest{
		{"by gateways that were not notified", "", overload(0.6)},
		{"by gateways that were notified", RuleSlowStart, overload(0.7)},
	})
}

func TestCeiling(t *testing.T) {
	send := func(s *stream, key emulator.RequestKey, customer policy.CustomerID, units float64) {
		s.submitUnits(key, customer, units).forward(key, 0, 1).receive(key, 0, 100)
		s.end(key, 0, policy.StatusOK).answer(key, emulator.AnswerServed)
	}
	runStreams(t, []streamTest{
		{"burst and slack", "", func(s *stream) { send(s, 1, 1, 6); send(s, 2, 1, 5) }},
		{"more than burst and slack", RuleCeiling, func(s *stream) { send(s, 1, 1, 6); send(s, 2, 1, 5.1) }},
		{"another customer", "", func(s *stream) { send(s, 1, 1, 6); send(s, 2, 2, 6) }},
		{"refilled", "", func(s *stream) { send(s, 1, 1, 11); send(s.at(1000), 2, 1, 2) }},
		{"refilled too little", RuleCeiling, func(s *stream) { send(s, 1, 1, 11); send(s.at(1000), 2, 1, 2.1) }},
		{"never more than the burst", RuleCeiling, func(s *stream) {
			send(s, 1, 1, 1)
			send(s.at(60_000), 2, 1, 11.1)
		}},
		{"further attempts take nothing", "", func(s *stream) {
			s.submitUnits(1, 1, 11).forward(1, 0, 1).receive(1, 0, 1).end(1, 0, policy.StatusReset)
			s.forward(1, 1, 2).receive(1, 1, 1).end(1, 1, policy.StatusOK).answer(1, emulator.AnswerServed)
		}},
		{"rejected without an attempt", "", func(s *stream) {
			s.submitUnits(1, 1, 20).answer(1, emulator.AnswerRejected)
		}},
		{"no ceiling", "", func(s *stream) {
			s.observe(emulator.RequestSubmitted{Request: 1, Units: 1e9, Deadline: s.now}).receive(1, 0, 1)
			s.answer(1, emulator.AnswerFailed)
		}},
	})
}

func TestDisconnect(t *testing.T) {
	forwardAt := func(at int) func(*stream) {
		return func(s *stream) { s.submit(1, classIdempotent).disconnect(1).at(at).forward(1, 0, 1) }
	}
	runStreams(t, []streamTest{
		{"within the grace", "", forwardAt(100)},
		{"after the grace", RuleDisconnect, forwardAt(101)},
		{"shortly before the deadline", RuleDisconnect, forwardAt(3999)},
	})
}

// With slack, the end of an attempt may be observed late, but no later than the slack.
func TestSlack(t *testing.T) {
	retry := func(status policy.Status, after int) func(*stream) {
		return func(s *stream) {
			s.submit(1, classAtMostOnce).forward(1, 0, 0).at(10).forward(1, 1, 1).at(10+after).end(1, 0, status)
			s.at(100).end(1, 1, policy.StatusOK).answer(1, emulator.AnswerServed)
		}
	}
	reject := func(status policy.Status, after int) func(*stream) {
		return func(s *stream) {
			s.submit(1, classAtMostOnce).forward(1, 0, 0).answer(1, emulator.AnswerRejected).at(after).end(1, 0, status)
		}
	}
	runStreams(t, []streamTest{
		{"retry, proof within the slack", "", retry(policy.StatusConnectFailed, 50)},
		{"retry, none", RuleSingleExecution, retry(policy.StatusReset, 50)},
		{"rejection, proof within the slack", "", reject(policy.StatusRejected, 50)},
		{"rejection, none", RuleSafeRejection, reject(policy.StatusReset, 50)},
		{"rejection, proof too late", RuleSafeRejection, reject(policy.StatusRejected, 51)},
		{"rejection, not ended", RuleSafeRejection, func(s *stream) {
			s.submit(1, classAtMostOnce).forward(1, 0, 0).answer(1, emulator.AnswerRejected)
		}},
		{"answered within", "", func(s *stream) {
			s.submit(1, classAtMostOnce).at(4550).answer(1, emulator.AnswerFailed)
		}},
		{"answered after", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classAtMostOnce).at(4551).answer(1, emulator.AnswerFailed)
		}},
		{"overlap of idempotent attempts", RuleSingleAttempt, func(s *stream) {
			s.submit(1, classIdempotent).forward(1, 0, 0).forward(1, 1, 1).at(51).end(1, 0, policy.StatusReset)
			s.end(1, 1, policy.StatusOK).answer(1, emulator.AnswerServed)
		}},
		{"drain", "", func(s *stream) {
			s.notify(1, policy.StateDraining).at(1050).submit(1, classIdempotent).forward(1, 0, 1)
			s.end(1, 0, policy.StatusOK).answer(1, emulator.AnswerServed)
		}},
		{"drain, too late", RuleDrain, func(s *stream) {
			s.notify(1, policy.StateDraining).at(1051).submit(1, classIdempotent).forward(1, 0, 1)
			s.end(1, 0, policy.StatusOK).answer(1, emulator.AnswerServed)
		}},
	}, WithSlack(SocketSlack))
}

func TestUnlocatedRetriesAreReported(t *testing.T) {
	s := newStream()
	s.submit(1, classKeyZone).forward(1, 0, 0).end(1, 0, policy.StatusReset)
	s.forward(1, 1, 99).end(1, 1, policy.StatusOK).answer(1, emulator.AnswerServed)
	report := s.finish()
	assertBroken(t, report, "")
	if report.Unlocated != 1 {
		t.Errorf("unlocated = %d, want 1", report.Unlocated)
	}
}

func TestUndecidedRequestsAreReported(t *testing.T) {
	s := newStream()
	s.submit(1, classIdempotent).submit(2, classIdempotent).submit(3, classIdempotent)
	s.answer(2, emulator.AnswerFailed).disconnect(3)
	report := s.checker.Finish(startTime + 4500*time.Millisecond)
	assertBroken(t, report, "")
	if report.Undecided != 1 || report.Requests != 3 {
		t.Errorf("undecided, requests = %d, %d, want 1, 3", report.Undecided, report.Requests)
	}
}

func TestReportOrderAndBound(t *testing.T) {
	s := newStream()
	s.observe(emulator.EndpointOverloaded{Endpoint: 1, InformedShare: 1})
	for key := emulator.RequestKey(1); key <= 30; key++ {
		s.submit(key, classAtMostOnce)
	}
	report := s.finish()
	if len(report.Violations) != 2 || report.Violations[0].Rule != RuleFinalAnswer ||
		report.Violations[1].Rule != RuleSlowStart {
		t.Fatalf("violations = %+v", report.Violations)
	}
	lost := report.Violations[0]
	if lost.Count != 30 || len(lost.Requests) != maxReportedRequests || lost.Requests[0] != 1 || lost.First == "" {
		t.Errorf("lost = %+v", lost)
	}
	if first := report.Violations[1]; first.FirstAt != startTime || len(first.Requests) != 0 {
		t.Errorf("overload = %+v", first)
	}
}

// Half a million requests of customers that come once leave nothing behind.
func TestMemoryIsBounded(t *testing.T) {
	s := newStream()
	const count = 500_000
	largest, customers := 0, 0
	for key := emulator.RequestKey(1); key <= count; key++ {
		s.now += time.Millisecond
		s.submitUnits(key, policy.CustomerID(key), 1).forward(key, 0, 1).receive(key, 0, 1)
		switch key % 4 {
		case 0: // the attempt never ends
			s.answer(key, emulator.AnswerServed)
		case 1:
			s.disconnect(key).end(key, 0, policy.StatusCancelled)
		default:
			s.end(key, 0, policy.StatusOK).answer(key, emulator.AnswerServed)
		}
		largest = max(largest, len(s.checker.requests))
		customers = max(customers, len(s.checker.ceilings.buckets))
	}
	// A quarter is held for 5.5 s and a quarter for 4.5 s, the others for 1 s, of 1,000 requests a second.
	if largest > 3100 || len(s.checker.freeRequests) > 3100 || len(s.checker.queue) > 3100 {
		t.Errorf("requests held = %d, unused %d", largest, len(s.checker.freeRequests))
	}
	if customers > 2*minSweepThreshold {
		t.Errorf("customers held = %d", customers)
	}
	assertBroken(t, s.finish(), "")
}
