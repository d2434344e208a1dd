package policy

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Default seed and number of checks of each property. The fixed seed makes the result the same in each run; the flags
// -rapid.seed=0 and -rapid.checks=100000 search further.
const (
	propertySeed   = "20261202"
	propertyChecks = "500"
)

// minOccurrences is the minimum number of times that each situation must occur over all scenarios.
const minOccurrences = 20

// TestMain sets the defaults of the flags of package rapid.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": propertySeed, "rapid.checks": propertyChecks, "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil { // runs before flag parsing, so that the command line overrides it
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// checkRule checks that no scenario breaks a rule.
func checkRule(t *testing.T, checkedRule rule) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		m := drawScenario(t).execute(false)
		if violated := m.violated[checkedRule]; len(violated) > 0 {
			t.Fatalf("violated rule: %s: %q\nactions: %+v", checkedRule, violated, m.log)
		}
	})
}

// Each of the following tests checks one rule over random scenarios.

func TestEachRequestGetsOneAnswerInTime(t *testing.T)           { checkRule(t, ruleOneAnswer) }
func TestOnlyReadyEndpointsGetRequests(t *testing.T)            { checkRule(t, ruleReadyEndpoint) }
func TestNonIdempotentRequestIsNotRepeated(t *testing.T)        { checkRule(t, ruleNonIdempotent) }
func TestDeduplicatedRequestIsRetriedWithinItsKey(t *testing.T) { checkRule(t, ruleKeyScope) }
func TestNoRejectionAfterPossibleExecution(t *testing.T)        { checkRule(t, ruleRejection) }
func TestConfiguredLimitsAreKept(t *testing.T)                  { checkRule(t, ruleLimits) }
func TestInFlightUnitsReturnToZero(t *testing.T)                { checkRule(t, ruleInFlight) }

// A gateway may drop timers that are not pending, so firing them must not change any action, then or later.
func TestTimerThatIsNotPendingChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t)
		fired, dropped := s.execute(false).log, s.execute(true).log
		if !slices.Equal(fired, dropped) {
			t.Fatalf("actions with all timers fired: %+v\nwith only pending timers fired: %+v", fired, dropped)
		}
	})
}

// Guards against generators that no longer produce a situation, so that the properties would hold without testing it.
func TestScenariosReachEachSituation(t *testing.T) {
	total := map[situation]int{}
	rapid.Check(t, func(t *rapid.T) {
		for situation, count := range drawScenario(t).execute(false).occurrences {
			total[situation] += count
		}
	})
	for _, situation := range situations {
		if total[situation] < minOccurrences {
			t.Errorf("too few occurrences (%d): %s", total[situation], situation)
		}
	}
	t.Log(total)
}
