package soak

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"testing"

	"springfield/internal/emulator/model"
)

// Guards against pairs of kinds of fault that no run covers: consecutive seeds cover all pairs from any first seed.
func TestConsecutiveSeedsCoverAllPairs(t *testing.T) {
	for _, first := range []uint64{1, 500} {
		covered := map[Pair]bool{}
		for seed := first; seed < first+uint64(len(Pairs())); seed++ {
			plan := NewPlan(seed)
			for _, pair := range plan.CoveredPairs() {
				covered[pair] = true
			}
		}
		if len(covered) != len(Pairs()) {
			t.Errorf("from seed %d: %d of %d pairs are covered", first, len(covered), len(Pairs()))
		}
	}
}

// Guards against kinds of fault that a short soak leaves out: 20 consecutive seeds cover all kinds from any first seed.
func TestFewConsecutiveSeedsCoverAllKinds(t *testing.T) {
	const seeds = 20
	for first := range uint64(100) {
		covered := map[Kind]bool{}
		for seed := first; seed < first+seeds; seed++ {
			for _, fault := range NewPlan(seed).Faults {
				covered[fault.Kind] = true
			}
		}
		if len(covered) != len(Kinds()) {
			t.Errorf("from seed %d: %d of %d kinds are covered", first, len(covered), len(Kinds()))
		}
	}
}

// Guards against plans that differ between two calls for a seed, whose faults do not overlap, or whose scenario is
// invalid.
func TestPlansAreReproducibleOverlappingAndValid(t *testing.T) {
	for seed := range uint64(400) {
		plan := NewPlan(seed)
		if !reflect.DeepEqual(plan, NewPlan(seed)) {
			t.Fatalf("seed %d: two calls return different plans", seed)
		}
		if count := len(plan.Faults); count < 3 || count > 5 {
			t.Errorf("seed %d: %d faults, want 3 to 5", seed, count)
		}
		for i := 1; i < len(plan.Faults); i++ {
			before, fault := plan.Faults[i-1], plan.Faults[i]
			if fault.At < before.At || fault.At >= before.At+before.Length {
				t.Errorf("seed %d: %+v does not overlap %+v", seed, fault, before)
			}
			if fault.At+fault.Length > plan.loadLength() {
				t.Errorf("seed %d: %+v outlasts the load", seed, fault)
			}
		}
		scenario := plan.scenario()
		if err := model.Validate(&scenario); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// Seeds must draw different settings: small and large fleets, polled and pushed lists, and all scopes of keys.
func TestSeedsDrawDifferentSettings(t *testing.T) {
	fleets, scopes, polled, attempts := map[int]bool{}, map[string]bool{}, map[bool]bool{}, map[int]bool{}
	for seed := range uint64(1000) {
		plan := NewPlan(seed)
		scenario := plan.scenario()
		fleets[scenario.Gateways] = true
		polled[scenario.Discovery.Polled] = true
		attempts[scenario.Limits.MaxAttempts] = true
		for i := range scenario.Classes {
			scopes[scenario.Classes[i].Scope] = true
		}
	}
	if len(fleets) != maxGateways-minGateways+1 || len(polled) != 2 || len(attempts) != 5 || len(scopes) != 4 {
		t.Errorf("fleets %v, polled %v, maximum attempts %v, scopes %v", fleets, polled, attempts, scopes)
	}
}

// Guards against shrunk plans that keep a fault that the finding does not need, or lose one that it needs.
func TestShrinkKeepsOnlyNeededFaults(t *testing.T) {
	const what = "expected finding"
	plan := Plan{Faults: []Fault{{Kind: CloseLogs}, {Kind: SlowLists}, {Kind: FailAccept}}}
	run := func(needed ...Kind) func(context.Context, Plan) (Result, error) {
		return func(_ context.Context, plan Plan) (Result, error) {
			for _, kind := range needed {
				if !plan.has(kind) {
					return Result{Findings: []Finding{{What: "another finding"}}}, nil
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
		t.Errorf("the error is %v, want that of the run", err)
	}
}
