package invariant

import (
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// streamTestCase is a stream of observations and the rule that it breaks. An empty rule means that it breaks none.
type streamTestCase struct {
	name    string
	rule    Rule
	observe func(s *stream)
}

// runStreamTests checks that each stream breaks its rule exactly once and no other rule.
func runStreamTests(t *testing.T, tests []streamTestCase, options ...Option) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newStream(options...)
			test.observe(s)
			assertViolation(t, s.finish(), test.rule)
		})
	}
}

// Guards against a checker that misses lost requests, duplicate or late answers, answers of other requests, or attempts
// after the answer, or that reports answers in time and disconnects before the deadline.
func TestCheckerRequiresOneFinalAnswer(t *testing.T) {
	runStreamTests(t, []streamTestCase{
		{"served", "", func(s *stream) {
			s.submit(1, classAtMostOnce).forward(1, 0, 1).at(10).end(1, 0, policy.StatusOK).answer(1, emulator.AnswerServed)
		}},
		{"failed at the end of the grace period", "", func(s *stream) {
			s.submit(1, classAtMostOnce).at(4500).answer(1, emulator.AnswerFailed)
		}},
		{"failed after the grace period", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classAtMostOnce).at(4501).answer(1, emulator.AnswerFailed)
		}},
		{"never answered", RuleFinalAnswer, func(s *stream) { s.submit(1, classAtMostOnce).forward(1, 0, 1) }},
		{"never answered while other requests continue", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classAtMostOnce)
			for key := emulator.RequestKey(2); key < 100; key++ {
				s.at(int(key)*100).submit(key, classAtMostOnce).answer(key, emulator.AnswerFailed)
			}
		}},
		{"client disconnects at its deadline", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classAtMostOnce).at(4000).disconnect(1)
		}},
		{"client disconnects earlier", "", func(s *stream) { s.submit(1, classAtMostOnce).at(3999).disconnect(1) }},
		{"answered twice", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classIdempotent).answer(1, emulator.AnswerFailed).at(5).answer(1, emulator.AnswerFailed)
		}},
		{"served with the answer of another request", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classIdempotent).forward(1, 0, 1).end(1, 0, policy.StatusOK)
			s.observe(emulator.RequestAnswered{Request: 1, Answer: emulator.AnswerServed})
		}},
		{"connection ended without an answer", RuleFinalAnswer, func(s *stream) {
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

// Guards against a checker that requires the wrong answers when a gateway stops. Requests that are open at a killed
// gateway need no answer, and neither do requests that arrive while it is down. Requests that are open at a graceful
// shutdown do.
func TestCheckerExcusesOnlyKilledGateways(t *testing.T) {
	runStreamTests(t, []streamTestCase{
		{"killed", "", func(s *stream) { s.submit(1, classAtMostOnce).forward(1, 0, 1).at(5).stopGateway(true) }},
		{"killed and started again", "", func(s *stream) {
			s.submit(1, classAtMostOnce).at(5).stopGateway(true).at(100).startGateway()
		}},
		{"connections end after the kill", "", func(s *stream) {
			s.submit(1, classAtMostOnce).at(5).stopGateway(true).answer(1, emulator.AnswerMissing)
		}},
		{"connections end just before the kill", "", func(s *stream) {
			s.submit(1, classAtMostOnce).at(5).answer(1, emulator.AnswerMissing).stopGateway(true)
		}},
		{"request arrives after the kill", "", func(s *stream) { s.stopGateway(true).submit(1, classAtMostOnce) }},
		{"request arrives after a shutdown", "", func(s *stream) { s.stopGateway(false).submit(1, classAtMostOnce) }},
		{"request arrives after a new start", RuleFinalAnswer, func(s *stream) {
			s.stopGateway(true).startGateway().submit(1, classAtMostOnce)
		}},
		{"shut down while open", RuleFinalAnswer, func(s *stream) { s.submit(1, classAtMostOnce).at(5).stopGateway(false) }},
		{"shut down after the answer", "", func(s *stream) {
			s.submit(1, classAtMostOnce).at(5).answer(1, emulator.AnswerRejected).stopGateway(false)
		}},
	})
}

// Guards against retries that may execute a request twice: of a non-idempotent request after an outcome that leaves its
// execution open, or with an idempotency key that is expired or unknown at the new endpoint.
func TestCheckerForbidsSecondExecution(t *testing.T) {
	retry := func(class int, status policy.Status, endpoint policy.EndpointID, after int) func(*stream) {
		return func(s *stream) {
			s.submit(1, class).forward(1, 0, 0).at(1).end(1, 0, status)
			s.at(after).forward(1, 1, endpoint).at(after+1).end(1, 1, policy.StatusOK).answer(1, emulator.AnswerServed)
		}
	}
	runStreamTests(t, []streamTestCase{
		{"at most once, rejected", "", retry(classAtMostOnce, policy.StatusRejected, 1, 5)},
		{"at most once, connect failed", "", retry(classAtMostOnce, policy.StatusConnectFailed, 1, 5)},
		{"at most once, not sent", "", retry(classAtMostOnce, policy.StatusNotSent, 1, 5)},
		{"at most once, error", RuleSingleExecution, retry(classAtMostOnce, policy.StatusServerError, 1, 5)},
		{"at most once, timed out", RuleSingleExecution, retry(classAtMostOnce, policy.StatusTimedOut, 1, 5)},
		{"at most once, reset", RuleSingleExecution, retry(classAtMostOnce, policy.StatusReset, 0, 5)},
		{"at most once, cancelled", RuleSingleExecution, retry(classAtMostOnce, policy.StatusCancelled, 1, 5)},
		{"idempotent, reset", "", retry(classIdempotent, policy.StatusReset, 7, 3000)},
		{"fleet-wide key", "", retry(classKeyFleet, policy.StatusReset, 7, 1000)},
		{"fleet-wide key, expired", RuleSingleExecution, retry(classKeyFleet, policy.StatusReset, 7, 1001)},
		{"fleet-wide key, expired, rejected", "", retry(classKeyFleet, policy.StatusRejected, 7, 1001)},
		{"zone key, same zone", "", retry(classKeyZone, policy.StatusReset, 3, 5)},
		{"zone key, other zone", RuleSingleExecution, retry(classKeyZone, policy.StatusReset, 4, 5)},
		{"cell key, same cell", "", retry(classKeyCell, policy.StatusReset, 1, 5)},
		{"cell key, other cell", RuleSingleExecution, retry(classKeyCell, policy.StatusReset, 2, 5)},
		{"second retry after the key has expired", RuleSingleExecution, func(s *stream) {
			s.submit(1, classKeyFleet).forward(1, 0, 0).at(500).end(1, 0, policy.StatusReset)
			s.forward(1, 1, 1).at(900).end(1, 1, policy.StatusReset)
			s.at(1100).forward(1, 2, 2).end(1, 2, policy.StatusOK).answer(1, emulator.AnswerServed)
		}},
	})
}

// Guards against rejections of requests that may have been executed, after which a client's retry could execute them
// again.
func TestCheckerForbidsUnsafeRejection(t *testing.T) {
	reject := func(class int, status policy.Status) func(*stream) {
		return func(s *stream) {
			s.submit(1, class).forward(1, 0, 0).at(1).end(1, 0, status).answer(1, emulator.AnswerRejected)
		}
	}
	runStreamTests(t, []streamTestCase{
		{"not forwarded", "", func(s *stream) { s.submit(1, classAtMostOnce).answer(1, emulator.AnswerRejected) }},
		{"at most once, rejected", "", reject(classAtMostOnce, policy.StatusRejected)},
		{"at most once, error", RuleSafeRejection, reject(classAtMostOnce, policy.StatusServerError)},
		{"at most once, in flight", RuleSafeRejection, func(s *stream) {
			s.submit(1, classAtMostOnce).forward(1, 0, 0).answer(1, emulator.AnswerRejected)
		}},
		{"idempotent, timed out", "", reject(classIdempotent, policy.StatusTimedOut)},
		{"fleet-wide key, timed out", "", reject(classKeyFleet, policy.StatusTimedOut)},
		{"zone key, timed out", RuleSafeRejection, reject(classKeyZone, policy.StatusTimedOut)},
		{"failed instead of rejected", "", func(s *stream) {
			s.submit(1, classAtMostOnce).forward(1, 0, 0).end(1, 0, policy.StatusReset).answer(1, emulator.AnswerFailed)
		}},
	})
}

// Guards against several attempts of a request in flight at the same time, which only hedging allows.
func TestCheckerForbidsOverlappingAttempts(t *testing.T) {
	overlap := func(s *stream) {
		s.submit(1, classIdempotent).forward(1, 0, 0).at(5).forward(1, 1, 1)
		s.at(9).end(1, 0, policy.StatusOK).answer(1, emulator.AnswerServed).at(10).end(1, 1, policy.StatusCancelled)
	}
	runStreamTests(t, []streamTestCase{{"overlapping attempts", RuleSingleAttempt, overlap}})
	runStreamTests(t, []streamTestCase{{"overlapping attempts with hedging", "", overlap}}, WithHedging())
}

// Guards against attempts at an endpoint after the grace period of its drain or removal. The period starts with the
// first notification of the gateway's current process.
func TestCheckerForbidsAttemptsAfterDrainGrace(t *testing.T) {
	forwardAt := func(at int, before func(*stream)) func(*stream) {
		return func(s *stream) {
			before(s)
			s.at(at).submit(1, classIdempotent).forward(1, 0, 3)
			s.end(1, 0, policy.StatusOK).answer(1, emulator.AnswerServed)
		}
	}
	draining := func(s *stream) { s.notify(3, policy.StateDraining) }
	runStreamTests(t, []streamTestCase{
		{"within the grace period", "", forwardAt(1000, draining)},
		{"after the grace period", RuleDrain, forwardAt(1001, draining)},
		{"removed", RuleDrain, forwardAt(1001, func(s *stream) { s.notify(3, policy.StateRemoved) })},
		{"notified again", RuleDrain, forwardAt(1001, func(s *stream) {
			s.notify(3, policy.StateDraining).at(900).notify(3, policy.StateRemoved)
		})},
		{"ready again", "", forwardAt(1001, func(s *stream) {
			s.notify(3, policy.StateRemoved).at(900).notify(3, policy.StateReady)
		})},
		{"another endpoint drains", "", forwardAt(1001, func(s *stream) { s.notify(4, policy.StateDraining) })},
		{"another gateway was notified", "", forwardAt(1001, func(s *stream) {
			s.observe(emulator.EndpointNotified{Gateway: 1, Endpoint: 3, State: policy.StateDraining})
		})},
		{"new process of the gateway", "", forwardAt(1001, func(s *stream) {
			s.notify(3, policy.StateDraining).stopGateway(true).at(500).startGateway()
		})},
		{"new process of the gateway is notified", RuleDrain, forwardAt(1502, func(s *stream) {
			s.notify(3, policy.StateDraining).stopGateway(true).at(500).notify(3, policy.StateDraining).startGateway()
		})},
	})
}

// Guards against an endpoint that is overloaded while it warms up, mainly by gateways that were notified of its start.
func TestCheckerForbidsOverloadByNotifiedGateways(t *testing.T) {
	overload := func(share float64) func(*stream) {
		return func(s *stream) { s.observe(emulator.EndpointOverloaded{Endpoint: 1, InformedShare: share}) }
	}
	runStreamTests(t, []streamTestCase{
		{"less than two thirds by notified gateways", "", overload(0.6)},
		{"more than two thirds by notified gateways", RuleSlowStart, overload(0.7)},
	})
}

// Guards against customers who exceed their ceiling. Only the first attempt of a request is charged, and the bucket
// never holds more than the burst.
func TestCheckerEnforcesCeiling(t *testing.T) {
	send := func(s *stream, key emulator.RequestKey, customer policy.CustomerID, units float64) {
		s.submitUnits(key, customer, units).forward(key, 0, 1).receive(key, 0, 100)
		s.end(key, 0, policy.StatusOK).answer(key, emulator.AnswerServed)
	}
	runStreamTests(t, []streamTestCase{
		{"burst and slack", "", func(s *stream) { send(s, 1, 1, 6); send(s, 2, 1, 5) }},
		{"more than burst and slack", RuleCeiling, func(s *stream) { send(s, 1, 1, 6); send(s, 2, 1, 5.1) }},
		{"another customer", "", func(s *stream) { send(s, 1, 1, 6); send(s, 2, 2, 6) }},
		{"refilled", "", func(s *stream) { send(s, 1, 1, 11); send(s.at(1000), 2, 1, 2) }},
		{"refilled too little", RuleCeiling, func(s *stream) { send(s, 1, 1, 11); send(s.at(1000), 2, 1, 2.1) }},
		{"refilled to no more than the burst", RuleCeiling, func(s *stream) {
			send(s, 1, 1, 1)
			send(s.at(60_000), 2, 1, 11.1)
		}},
		{"further attempts are not charged", "", func(s *stream) {
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

// Guards against attempts that start after the client has disconnected and the grace period has passed.
func TestCheckerForbidsAttemptsAfterDisconnect(t *testing.T) {
	forwardAt := func(at int) func(*stream) {
		return func(s *stream) { s.submit(1, classIdempotent).disconnect(1).at(at).forward(1, 0, 1) }
	}
	runStreamTests(t, []streamTestCase{
		{"within the grace period", "", forwardAt(100)},
		{"after the grace period", RuleDisconnect, forwardAt(101)},
		{"shortly before the deadline", RuleDisconnect, forwardAt(3999)},
	})
}

// Guards against false violations in runs over sockets, where the end of an attempt may be observed late by up to the
// slack, and against missed violations beyond the slack.
func TestCheckerAppliesSlack(t *testing.T) {
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
	runStreamTests(t, []streamTestCase{
		{"retry, safe outcome observed within the slack", "", retry(policy.StatusConnectFailed, 50)},
		{"retry, unsafe outcome", RuleSingleExecution, retry(policy.StatusReset, 50)},
		{"rejection, safe outcome observed within the slack", "", reject(policy.StatusRejected, 50)},
		{"rejection, unsafe outcome", RuleSafeRejection, reject(policy.StatusReset, 50)},
		{"rejection, safe outcome observed after the slack", RuleSafeRejection, reject(policy.StatusRejected, 51)},
		{"rejection, attempt never ends", RuleSafeRejection, func(s *stream) {
			s.submit(1, classAtMostOnce).forward(1, 0, 0).answer(1, emulator.AnswerRejected)
		}},
		{"answered within the slack", "", func(s *stream) {
			s.submit(1, classAtMostOnce).at(4550).answer(1, emulator.AnswerFailed)
		}},
		{"answered after the slack", RuleFinalAnswer, func(s *stream) {
			s.submit(1, classAtMostOnce).at(4551).answer(1, emulator.AnswerFailed)
		}},
		{"overlapping attempts", RuleSingleAttempt, func(s *stream) {
			s.submit(1, classIdempotent).forward(1, 0, 0).forward(1, 1, 1).at(51).end(1, 0, policy.StatusReset)
			s.end(1, 1, policy.StatusOK).answer(1, emulator.AnswerServed)
		}},
		{"forwarded to a draining endpoint within the slack", "", func(s *stream) {
			s.notify(1, policy.StateDraining).at(1050).submit(1, classIdempotent).forward(1, 0, 1)
			s.end(1, 0, policy.StatusOK).answer(1, emulator.AnswerServed)
		}},
		{"forwarded to a draining endpoint after the slack", RuleDrain, func(s *stream) {
			s.notify(1, policy.StateDraining).at(1051).submit(1, classIdempotent).forward(1, 0, 1)
			s.end(1, 0, policy.StatusOK).answer(1, emulator.AnswerServed)
		}},
	}, WithSlack(SocketSlack))
}

// Guards against retries to an endpoint of unknown zone and cell that the report silently counts as checked.
func TestReportCountsUnlocatedRetries(t *testing.T) {
	s := newStream()
	s.submit(1, classKeyZone).forward(1, 0, 0).end(1, 0, policy.StatusReset)
	s.forward(1, 1, 99).end(1, 1, policy.StatusOK).answer(1, emulator.AnswerServed)
	report := s.finish()
	assertViolation(t, report, "")
	if report.Unlocated != 1 {
		t.Errorf("unlocated = %d, want 1", report.Unlocated)
	}
}

// Guards against requests that the report silently counts as answered because the run ended before they were overdue.
func TestReportCountsUndecidedRequests(t *testing.T) {
	s := newStream()
	s.submit(1, classIdempotent).submit(2, classIdempotent).submit(3, classIdempotent)
	s.answer(2, emulator.AnswerFailed).disconnect(3)
	report := s.checker.Finish(startTime + 4500*time.Millisecond)
	assertViolation(t, report, "")
	if report.Undecided != 1 || report.Requests != 3 {
		t.Errorf("undecided, requests = %d, %d, want 1, 3", report.Undecided, report.Requests)
	}
}

// Guards against a report that lists rules out of order or an unbounded number of requests.
func TestReportIsOrderedAndBounded(t *testing.T) {
	s := newStream()
	s.observe(emulator.EndpointOverloaded{Endpoint: 1, InformedShare: 1})
	for key := emulator.RequestKey(1); key <= 30; key++ {
		s.submit(key, classAtMostOnce)
	}
	report := s.finish()
	if len(report.Violations) != 2 || report.Violations[0].Rule != RuleFinalAnswer ||
		report.Violations[1].Rule != RuleSlowStart {
		t.Fatalf("violations = %+v, want final-answer and slow-start", report.Violations)
	}
	lost := report.Violations[0]
	if lost.Count != 30 || len(lost.Requests) != maxReportedRequests || lost.Requests[0] != 1 || lost.First == "" {
		t.Errorf("final-answer report = %+v, want 30 violations and the first 20 requests", lost)
	}
	if overload := report.Violations[1]; overload.FirstAt != startTime || len(overload.Requests) != 0 {
		t.Errorf("slow-start report = %+v, want the start time and no requests", overload)
	}
}

// Guards against a checker whose memory grows with the length of the run. Half a million requests, each of another
// customer, must leave neither requests nor ceiling buckets behind.
func TestCheckerMemoryIsBounded(t *testing.T) {
	s := newStream()
	const count = 500_000
	maxRequests, maxCustomers := 0, 0
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
		maxRequests = max(maxRequests, len(s.checker.requests))
		maxCustomers = max(maxCustomers, len(s.checker.ceilings.buckets))
	}
	// At 1,000 requests per second, a quarter of the requests is tracked for 5.5 s, a quarter for 4.5 s and half for 1 s.
	if maxRequests > 3100 || len(s.checker.freeRequests) > 3100 || len(s.checker.queue) > 3100 {
		t.Errorf("requests tracked = %d, kept for reuse = %d, want at most 3100", maxRequests, len(s.checker.freeRequests))
	}
	if maxCustomers > 2*minSweepThreshold {
		t.Errorf("there are %d ceiling buckets, which exceeds the limit", maxCustomers)
	}
	assertViolation(t, s.finish(), "")
}
