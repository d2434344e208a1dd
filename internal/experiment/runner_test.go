package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"path/filepath"
	"reflect"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"springfield/internal/emulator/invariant"
	"springfield/internal/emulator/model"
	"springfield/internal/measure"
)

// trialExperiment returns a virtual experiment with the default scenario.
func trialExperiment(seeds ...uint64) *Experiment {
	return &Experiment{Name: "trial", Form: FormVirtual, Deciders: []string{Springfield}, Seeds: seeds,
		Scenario: model.DefaultScenario()}
}

func openTestStore(t *testing.T, path string) *Store {
	t.Helper()
	store, err := OpenStore(path)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// countingRunFunc returns a RunFunc that counts its calls and returns results with as many requests as the seed of the
// run.
func countingRunFunc(runs *atomic.Int64) RunFunc {
	return func(_ context.Context, run Run) (measure.Result, invariant.Report, error) {
		runs.Add(1)
		var result measure.Result
		result.Requests.Total = int64(run.Seed)
		return result, invariant.Report{Violations: []invariant.RuleReport{}}, nil
	}
}

func requestTotals(records []Record) []int64 {
	var totals []int64
	for _, record := range records {
		totals = append(totals, record.Result.Requests.Total)
	}
	return totals
}

// Guards against records that are returned in the order in which concurrent runs finish.
func TestExecuteReturnsRecordsInRunOrder(t *testing.T) {
	var runs atomic.Int64
	experiment := trialExperiment(9, 1, 5, 3, 7, 2)
	outcome, err := Execute(t.Context(), experiment, Options{RunFunc: countingRunFunc(&runs), Version: "v1", Workers: 4})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := requestTotals(outcome.Records), []int64{9, 1, 5, 3, 7, 2}; !reflect.DeepEqual(got, want) {
		t.Errorf("records are of seeds %v, want %v", got, want)
	}
}

// Guards against an interrupted experiment that loses finished runs, repeats them, or stores the interrupted run.
func TestInterruptedExperimentResumes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "results.db")
	experiment := trialExperiment(1, 2, 3, 4)
	ctx, interrupt := context.WithCancel(t.Context())
	defer interrupt()
	var runs atomic.Int64
	countedRun := countingRunFunc(&runs)
	interrupted := func(ctx context.Context, run Run) (measure.Result, invariant.Report, error) {
		if run.Seed == 3 {
			interrupt()
			return measure.Result{}, invariant.Report{}, ctx.Err()
		}
		return countedRun(ctx, run)
	}
	store := openTestStore(t, path)
	outcome, err := Execute(ctx, experiment, Options{RunFunc: interrupted, Version: "v1", Workers: 1, Store: store})
	if !errors.Is(err, context.Canceled) || len(outcome.Records) != 2 || outcome.Missing != 2 || outcome.Failed != 0 {
		t.Fatalf("%d records, %d missing, %d failed, error %v", len(outcome.Records), outcome.Missing, outcome.Failed, err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}

	store = openTestStore(t, path)
	defer func() { _ = store.Close() }()
	runs.Store(0)
	var last Progress
	outcome, err = Execute(t.Context(), experiment, Options{RunFunc: countedRun, Version: "v1", Store: store,
		Progress: func(progress Progress) { last = progress }})
	if err != nil || outcome.Stored != 2 || runs.Load() != 2 {
		t.Errorf("%d from the store, %d runs, error %v, want 2 and 2", outcome.Stored, runs.Load(), err)
	}
	if got, want := requestTotals(outcome.Records), []int64{1, 2, 3, 4}; !reflect.DeepEqual(got, want) {
		t.Errorf("records are of seeds %v, want %v", got, want)
	}
	if last.Done != 4 || last.Planned != 4 {
		t.Errorf("the last progress is %d of %d, want 4 of 4", last.Done, last.Planned)
	}
}

// Guards against a stored record that is used although the seed, the scenario or the version differs, and against
// repeated runs when only the description differs.
func TestExecuteRepeatsOnlyChangedRuns(t *testing.T) {
	store := openTestStore(t, filepath.Join(t.TempDir(), "results.db"))
	defer func() { _ = store.Close() }()
	var runs atomic.Int64
	options := Options{RunFunc: countingRunFunc(&runs), Version: "v1", Store: store}
	execute := func(what string, experiment *Experiment, options Options, want int64) {
		t.Helper()
		runs.Store(0)
		if _, err := Execute(t.Context(), experiment, options); err != nil || runs.Load() != want {
			t.Errorf("%s: %d runs, error %v, want %d", what, runs.Load(), err, want)
		}
	}
	execute("first", trialExperiment(1, 2), options, 2)
	execute("again", trialExperiment(1, 2), options, 0)
	execute("another seed", trialExperiment(1, 2, 3), options, 1)
	changed := trialExperiment(1, 2)
	changed.Scenario.Clients.Load = 0.7
	execute("another scenario", changed, options, 2)
	changed.Scenario.Description = "in other words"
	execute("another description", changed, options, 0)
	fresh := options
	fresh.Fresh = true
	execute("fresh", changed, fresh, 2)
	options.Version = "v2"
	execute("another version", changed, options, 2)

	records, err := store.Records("trial")
	if err != nil || len(records) != 5 { // the records are those of three seeds of v1 and two of v2
		t.Errorf("%d records, error %v, want 5", len(records), err)
	}
	names, err := store.Experiments()
	if err != nil || !reflect.DeepEqual(names, []string{"trial"}) {
		t.Errorf("experiments are %v, error %v", names, err)
	}
}

// Guards against a failed run that stops the experiment, and against the loss of its error.
func TestFailedRunDoesNotStopOthers(t *testing.T) {
	errBroken := errors.New("broken")
	var runs atomic.Int64
	countedRun := countingRunFunc(&runs)
	failing := func(ctx context.Context, run Run) (measure.Result, invariant.Report, error) {
		if run.Seed == 2 {
			return measure.Result{}, invariant.Report{}, errBroken
		}
		return countedRun(ctx, run)
	}
	outcome, err := Execute(t.Context(), trialExperiment(1, 2, 3), Options{RunFunc: failing, Version: "v1"})
	if !errors.Is(err, errBroken) || outcome.Failed != 1 || outcome.Missing != 0 || len(outcome.Records) != 2 {
		t.Errorf("%d failed, %d missing, %d records, error %v", outcome.Failed, outcome.Missing, len(outcome.Records), err)
	}
}

// Guards against concurrent loopback runs, which would disturb each other's measurements in real time.
func TestLoopbackRunsAreSequential(t *testing.T) {
	experiment := trialExperiment(1, 2, 3, 4, 5)
	experiment.Form = FormLoopback
	synctest.Test(t, func(t *testing.T) {
		var running atomic.Int64
		runFunc := func(context.Context, Run) (measure.Result, invariant.Report, error) {
			if running.Add(1) > 1 {
				t.Error("two loopback runs are active at once")
			}
			time.Sleep(time.Second) // on the test's clock, which stands still while another run can start
			running.Add(-1)
			return measure.Result{}, invariant.Report{}, nil
		}
		if _, err := Execute(t.Context(), experiment, Options{RunFunc: runFunc, Version: "v1", Workers: 4}); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against runs that broke a rule but are not reported.
func TestRulesBrokenReturnsRecordsWithViolations(t *testing.T) {
	runFunc := func(_ context.Context, run Run) (measure.Result, invariant.Report, error) {
		var report invariant.Report
		if run.Seed == 2 {
			report.Violations = []invariant.RuleReport{{Rule: invariant.RuleDrain, Count: 3}}
		}
		return measure.Result{}, report, nil
	}
	outcome, err := Execute(t.Context(), trialExperiment(1, 2), Options{RunFunc: runFunc, Version: "v1"})
	if err != nil {
		t.Fatal(err)
	}
	broken := outcome.RulesBroken()
	if len(broken) != 1 || broken[0].Seed != 2 || rulesBroken(&broken[0]) != 3 {
		t.Errorf("records with broken rules are %+v, want one of seed 2 with 3 violations", broken)
	}
}

// Guards against results that cannot be read back line by line.
func TestWriteJSONLinesWritesOneObjectPerLine(t *testing.T) {
	records := []Record{recordWithService("old", 1, 0.5), recordWithService("new", 2, 0.6)}
	var text bytes.Buffer
	if err := WriteJSONLines(&text, records); err != nil {
		t.Fatal(err)
	}
	lines := bytes.Split(bytes.TrimSpace(text.Bytes()), []byte("\n"))
	if len(lines) != len(records) {
		t.Fatalf("%d lines, want %d", len(lines), len(records))
	}
	for i, line := range lines {
		var got Record
		if err := json.Unmarshal(line, &got); err != nil || !reflect.DeepEqual(got, records[i]) {
			t.Errorf("line %d is %+v, error %v", i, got, err)
		}
	}
}

// Guards against a second process that waits forever for a store in use, or gets an unspecific error.
func TestOpenStoreReportsStoreInUse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "results.db")
	store := openTestStore(t, path)
	defer func() { _ = store.Close() }()
	if _, err := OpenStore(path); !errors.Is(err, ErrStoreInUse) {
		t.Errorf("the error is %v, want ErrStoreInUse", err)
	}
}

// Guards against records without a version, because the store could not distinguish the versions that they belong to.
func TestExecuteRejectsEmptyVersion(t *testing.T) {
	if _, err := Execute(t.Context(), trialExperiment(1), Options{}); !errors.Is(err, ErrInvalidVersion) {
		t.Errorf("the error is %v, want ErrInvalidVersion", err)
	}
}
