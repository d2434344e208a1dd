package virtual

import (
	"context"
	"errors"
	"fmt"
	"hash"
	"hash/fnv"
	"reflect"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/invariant"
	"springfield/internal/emulator/model"
)

// typeCounter counts observations by type.
type typeCounter map[string]int

// Observe implements emulator.Observer.
func (c typeCounter) Observe(_ time.Duration, observation emulator.Observation) {
	c[reflect.TypeOf(observation).Name()]++
}

// hashObserver computes a hash of all observations in their order.
type hashObserver struct{ hash.Hash64 }

// Observe implements emulator.Observer.
func (o hashObserver) Observe(at time.Duration, observation emulator.Observation) {
	_, _ = fmt.Fprintf(o, "%d %T%+v\n", at, observation, observation) // writing to a hash never fails
}

// runOnce executes a scenario and returns the summary without its WallTime, which depends on the machine.
func runOnce(t *testing.T, scenario emulator.Scenario, seed uint64, observer emulator.Observer) Summary {
	t.Helper()
	summary, err := Run(t.Context(), Options{Scenario: scenario, Seed: seed, Observer: observer})
	if err != nil {
		t.Fatal(err)
	}
	summary.WallTime = 0
	return summary
}

// A run that depends on anything but its scenario and seed, such as map order or wall time, could not be reproduced.
func TestSeedDeterminesRun(t *testing.T) {
	first, second, other := hashObserver{fnv.New64a()}, hashObserver{fnv.New64a()}, hashObserver{fnv.New64a()}
	scenario := faultyScenario()
	firstSummary := runOnce(t, scenario, 7, first)
	secondSummary := runOnce(t, scenario, 7, second)
	runOnce(t, scenario, 8, other)
	if first.Sum64() != second.Sum64() || firstSummary != secondSummary {
		t.Errorf("two runs of one seed differ: %+v %x, %+v %x", firstSummary, first.Sum64(), secondSummary, second.Sum64())
	}
	if other.Sum64() == first.Sum64() {
		t.Error("two seeds produced the same run")
	}
}

// The policy must break no rule while all kinds of faults occur. The run must also produce every type of observation
// but EndpointOverloaded, so that no rule passes for lack of observations.
func TestPolicyKeepsRulesUnderFaults(t *testing.T) {
	scenario := faultyScenario()
	for seed := range uint64(3) {
		checker, counter := invariant.NewChecker(&scenario), typeCounter{}
		summary := runOnce(t, scenario, seed, emulator.Observers{checker, counter})
		report := checker.Finish(StartTime + summary.VirtualTime)
		if !report.Passed() {
			t.Errorf("seed %d: rules were violated: %+v", seed, report)
		}
		if len(counter) < 12 { // 12 types are all but EndpointOverloaded
			t.Errorf("seed %d: got only these types of observations: %v", seed, counter)
		}
	}
}

// The emulator must not lose a request: each one must end with an answer or with a disconnected client.
func TestEveryRequestIsAnswered(t *testing.T) {
	counter := typeCounter{}
	scenario := model.DefaultScenario()
	scenario.Clients.Abandon = 0.05
	summary := runOnce(t, scenario, 1, counter)
	submitted := counter["RequestSubmitted"]
	finished := counter["RequestAnswered"] + counter["ClientDisconnected"]
	if submitted == 0 || submitted != finished || int64(submitted) != summary.Requests {
		t.Errorf("%d requests were submitted and %d have ended: %+v %v", submitted, finished, summary, counter)
	}
}

// A run must not continue after its context has ended.
func TestRunStopsWhenContextIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Run(ctx, Options{Scenario: model.DefaultScenario()}); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
}

// A run must not start with an invalid scenario.
func TestInvalidScenarioIsRejected(t *testing.T) {
	var problem *model.ScenarioError
	if _, err := Run(t.Context(), Options{}); !errors.As(err, &problem) {
		t.Errorf("got %v, want a *model.ScenarioError", err)
	}
}
