package invariant

import (
	"testing"

	"springfield/internal/emulator"
	"springfield/policy"
)

// An attempt that is observed late must be checked as one that started when it was sent: before the attempts and the
// answer that were observed earlier, but not before those that preceded it.
func TestCheckerOrdersAttemptsByTheTimeTheyWereSent(t *testing.T) {
	late := func(class, sentAt int, status policy.Status) func(*stream) {
		return func(s *stream) {
			s.submit(1, class).at(50).forward(1, 0, 1).at(60).forwardSentAt(1, 2, sentAt).end(1, 1, status)
			s.at(200).end(1, 0, policy.StatusOK).answer(1, emulator.AnswerServed)
		}
	}
	afterAnswer := func(sentAt int) func(*stream) {
		return func(s *stream) {
			s.submit(1, classIdempotent).at(50).answer(1, emulator.AnswerFailed)
			s.at(150).forwardSentAt(0, 1, sentAt).end(1, 0, policy.StatusCancelled)
		}
	}
	runStreamTests(t, []streamTestCase{
		{"sent before the other attempt", "", late(classIdempotent, 10, policy.StatusCancelled)},
		{"not executed before the other attempt", "", late(classAtMostOnce, 10, policy.StatusRejected)},
		{"perhaps executed before the other attempt", RuleSingleExecution,
			late(classAtMostOnce, 10, policy.StatusCancelled)},
		{"sent while the other attempt was in flight", RuleSingleAttempt,
			late(classIdempotent, 55, policy.StatusCancelled)},
		{"still in flight when the other attempt was sent", RuleSingleAttempt, func(s *stream) {
			s.submit(1, classIdempotent).at(50).forward(1, 0, 1).at(60).forwardSentAt(1, 2, 10)
			s.at(200).end(1, 0, policy.StatusOK).end(1, 1, policy.StatusOK).answer(1, emulator.AnswerServed)
		}},
		{"sent before the answer", "", afterAnswer(40)},
		{"sent after the answer", RuleFinalAnswer, afterAnswer(120)},
		{"sent before a rejection", RuleSafeRejection, func(s *stream) {
			s.submit(1, classAtMostOnce).at(50).answer(1, emulator.AnswerRejected)
			s.at(60).forwardSentAt(0, 1, 40).end(1, 0, policy.StatusCancelled)
		}},
		{"sent within the grace period of a drain", "", func(s *stream) {
			s.notify(1, policy.StateDraining).at(900).submit(1, classIdempotent)
			s.at(1200).forwardSentAt(0, 1, 950).end(1, 0, policy.StatusOK).answer(1, emulator.AnswerServed)
		}},
	}, WithSlack(SocketSlack))
}
