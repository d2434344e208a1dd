package policy

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The checks of each property. They begin with a fixed seed, so that the verdict is the same in each run; flags such as
// -rapid.seed=0 and -rapid.checks=100000 search further.
const (
	propertySeed   = "20261202"
	propertyChecks = "500"
)

// minOccurrences is how often each situation occurs over all scenarios at least.
const minOccurrences = 20

func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": propertySeed, "rapid.checks": propertyChecks, "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil { // before the flags of the command line, which win
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// checkRule checks that no scenario breaks a rule.
func checkRule(t *testing.T, checked rule) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		m := drawScenario(t).play(false)
		if broken := m.broken[checked]; len(broken) > 0 {
			t.Fatalf("broken: %s: %q\nactions: %+v", checked, broken, m.log)
		}
	})
}

func TestEachRequestGetsOneAnswerInTime(t *testing.T)       { checkRule(t, ruleOneAnswer) }
func TestOnlyReadyEndpointsGetRequests(t *testing.T)        { checkRule(t, ruleReadyEndpoint) }
func TestNonIdempotentRequestIsNotRepeated(t *testing.T)    { checkRule(t, ruleNonIdempotent) }
func TestDeduplicatedRequestStaysWithinItsKey(t *testing.T) { checkRule(t, ruleKeyScope) }
func TestNoRejectionAfterPossibleExecution(t *testing.T)    { checkRule(t, ruleRejection) }
func TestLimitsAreKept(t *testing.T)                        { checkRule(t, ruleLimits) }
func TestInFlightUnitsReturnToZero(t *testing.T)            { checkRule(t, ruleRelease) }

// A gateway may drop a timer that is not pending: fired, it would lead to no other actions, then or later.
func TestTimerThatIsNotPendingChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t)
		fired, dropped := s.play(false).log, s.play(true).log
		if !slices.Equal(fired, dropped) {
			t.Fatalf("actions with all timers: %+v\nwith the pending ones alone: %+v", fired, dropped)
		}
	})
}

// The properties say nothing about situations that do not occur.
func TestScenariosReachEachSituation(t *testing.T) {
	total := map[situation]int{}
	rapid.Check(t, func(t *rapid.T) {
		for situation, count := range drawScenario(t).play(false).seen {
			total[situation] += count
		}
	})
	for _, situation := range situations {
		if total[situation] < minOccurrences {
			t.Errorf("%d times only: %s", total[situation], situation)
		}
	}
	t.Log(total)
}
