package soak

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against reports that leave out a finding or its seed, or that count runs, requests or pairs wrongly.
func TestReportListsFindingsAndSeeds(t *testing.T) {
	report := NewReport()
	plan := Plan{Seed: 7, Faults: []Fault{
		{Kind: CloseLogs, At: 0, Length: 2 * time.Second},
		{Kind: SlowLists, At: time.Second, Length: 2 * time.Second},
		{Kind: FailAccept, At: 4 * time.Second, Length: time.Second}, // overlaps no other fault
	}}
	report.Add(Result{Plan: plan, Requests: 10})
	if !report.Clean() {
		t.Error("the report is not clean although no run had a finding")
	}
	plan.Seed = 9
	report.Add(Result{Plan: plan, Requests: 5, Findings: []Finding{{What: "crash", Count: 2, Detail: "ended"}}})
	var text strings.Builder
	if err := report.Write(&text); err != nil {
		t.Fatal(err)
	}
	pairs := fmt.Sprintf("1 of %d pairs", len(Pairs()))
	for _, want := range []string{"2 runs, 15 requests", pairs, "found: crash; seeds [9]; ended"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the report lacks %q:\n%s", want, text.String())
		}
	}
	if report.Clean() {
		t.Error("the report is clean although a run had a finding")
	}
}

// Guards against seeds that are left out or run twice, and against runs that go on after one has returned an error.
func TestRunSeedsRunsEachSeedOnceAndStopsAtError(t *testing.T) {
	seen := map[uint64]int{}
	run := func(_ context.Context, plan Plan) (Result, error) { return Result{Plan: plan}, nil }
	count := func(result Result) { seen[result.Plan.Seed]++ }
	if err := RunSeeds(t.Context(), 3, 9, Limits{Runs: 3}, run, count); err != nil {
		t.Fatal(err)
	}
	for seed := uint64(3); seed <= 9; seed++ {
		if seen[seed] != 1 {
			t.Errorf("seed %d was run %d times", seed, seen[seed])
		}
	}
	failed := errors.New("failed")
	var runs atomic.Int32
	err := RunSeeds(t.Context(), 1, 1_000_000, Limits{Runs: 2}, func(context.Context, Plan) (Result, error) {
		runs.Add(1)
		return Result{}, failed
	}, func(Result) {})
	if !errors.Is(err, failed) || runs.Load() > 2 {
		t.Errorf("the error is %v after %d runs, want that of the run after at most 2", err, runs.Load())
	}
}
