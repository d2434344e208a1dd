package experiment

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"springfield/internal/emulator"
)

// shortExperiment returns a virtual experiment with a load of one second.
func shortExperiment(seeds ...uint64) *Experiment {
	experiment := trialExperiment(seeds...)
	experiment.Scenario.Length = emulator.Duration(time.Second)
	return experiment
}

// Guards against state that concurrent runs share, and against randomness that does not come from the seed.
func TestVirtualRunsDoNotDependOnWorkerCount(t *testing.T) {
	experiment := shortExperiment(1, 2, 3)
	experiment.Deciders = DeciderNames(FormVirtual)
	runFunc := NewRunFunc(LoopbackOptions{})
	alone, err := Execute(t.Context(), experiment, Options{RunFunc: runFunc, Version: "v1", Workers: 1})
	if err != nil {
		t.Fatal(err)
	}
	together, err := Execute(t.Context(), experiment, Options{RunFunc: runFunc, Version: "v1", Workers: 4})
	if err != nil {
		t.Fatal(err)
	}
	if len(alone.Records) != len(experiment.Runs()) {
		t.Fatalf("%d records of %d runs", len(alone.Records), len(experiment.Runs()))
	}
	for i := range alone.Records {
		first, second := &alone.Records[i], &together.Records[i]
		first.Elapsed, second.Elapsed = 0, 0
		if !reflect.DeepEqual(first, second) {
			t.Errorf("%s with seed %d: the results of one and of four workers differ", first.Decider, first.Seed)
		}
		if first.Result.Requests.Total == 0 || first.Rules.Requests != first.Result.Tries.Total {
			t.Errorf("%s with seed %d: measured %d requests and %d tries, checked %d", first.Decider, first.Seed,
				first.Result.Requests.Total, first.Result.Tries.Total, first.Rules.Requests)
		}
	}
	if reflect.DeepEqual(alone.Records[0].Result, alone.Records[len(experiment.Deciders)].Result) {
		t.Error("two seeds have the same result")
	}
}

// Guards against a virtual run that ignores its context.
func TestVirtualRunStopsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err := NewRunFunc(LoopbackOptions{})(ctx, shortExperiment(1).Runs()[0])
	if !errors.Is(err, context.Canceled) {
		t.Errorf("the error is %v, want context.Canceled", err)
	}
}

// Guards against a run with an unknown decider that starts, or whose error does not name the decider.
func TestUnknownDeciderErrorContainsName(t *testing.T) {
	runFunc := NewRunFunc(LoopbackOptions{Directory: t.TempDir()})
	for _, form := range []Form{FormVirtual, FormLoopback} {
		run := shortExperiment(1).Runs()[0]
		run.Form, run.Decider = form, "unknown-decider"
		_, _, err := runFunc(t.Context(), run)
		var unknown *UnknownDeciderError
		if !errors.As(err, &unknown) || unknown.Name != "unknown-decider" {
			t.Errorf("%s: the error is %v, want UnknownDeciderError", form, err)
		}
	}
}
