package soak

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"testing"

	"springfield/internal/emulator/model"
)

// Consecutive seeds cover all pairs of kinds, wherever they begin.
func TestConsecutiveSeedsCoverAllPairs(t *testing.T) {
	for _, first := range []uint64{1, 500} {
		covered := map[Pair]bool{}
		for seed := first; seed < first+uint64(len(Pairs())); seed++ {
			plan := NewPlan(seed)
			for _, pair := range plan.Covers() {
				covered[pair] = true
			}
		}
		if len(covered) != len(Pairs()) {
			t.Errorf("from seed %d: %d of %d pairs", first, len(covered), len(Pairs()))
		}
	}
}

// The faults of a run are two or three of different kinds, each of which begins while the one before lasts. The run is
// the same each time it is drawn, and can be run.
func TestPlansOverlapAndCanBeRun(t *testing.T) {
	for seed := range uint64(400) {
		plan := NewPlan(seed)
		if !reflect.DeepEqual(plan, NewPlan(seed)) {
			t.Fatalf("seed %d: drawn differently", seed)
		}
		if count := len(plan.Faults); count < 2 || count > 3 {
			t.Errorf("seed %d: %d faults", seed, count)
		}
		for i := 1; i < len(plan.Faults); i++ {
			before, fault := plan.Faults[i-1], plan.Faults[i]
			if fault.At < before.At || fault.At >= before.At+before.Length {
				t.Errorf("seed %d: %+v does not overlap %+v", seed, fault, before)
			}
			if fault.At+fault.Length > loadLength {
				t.Errorf("seed %d: %+v outlasts the load", seed, fault)
			}
		}
		scenario := plan.scenario()
		if err := model.Validate(&scenario); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// The shrinker removes the faults that a finding does not need, and keeps the others.
func TestShrinkKeepsWhatAFindingNeeds(t *testing.T) {
	const what = "planted"
	plan := Plan{Faults: []Fault{{Kind: CloseLogs}, {Kind: SlowLists}, {Kind: FailAccept}}}
	run := func(needed ...Kind) func(context.Context, Plan) (Result, error) {
		return func(_ context.Context, plan Plan) (Result, error) {
			for _, kind := range needed {
				if !plan.has(kind) {
					return Result{Findings: []Finding{{What: "another"}}}, nil
				}
			}
			return Result{Findings: []Finding{{What: what}}}, nil
		}
	}
	for _, needed := range [][]Kind{{}, {SlowLists}, {CloseLogs, FailAccept}, {CloseLogs, SlowLists, FailAccept}} {
		shrunk, err := Shrink(t.Context(), plan, what, run(needed...))
		if err != nil {
			t.Fatal(err)
		}
		var kinds []Kind
		for _, fault := range shrunk.Faults {
			kinds = append(kinds, fault.Kind)
		}
		if !slices.Equal(kinds, needed) {
			t.Errorf("shrunk to %v, want %v", kinds, needed)
		}
	}
	failed := errors.New("failed")
	if _, err := Shrink(t.Context(), plan, what, func(context.Context, Plan) (Result, error) {
		return Result{}, failed
	}); !errors.Is(err, failed) {
		t.Errorf("got %v", err)
	}
}
