package soak

import (
	"reflect"
	"testing"

	"springfield/internal/emulator/model"
)

// Guards against variations that a name does not repeat, that equal the plan they vary, or that cannot be run.
func TestVariationsAreReproducibleDifferentAndValid(t *testing.T) {
	changedGateways := 0
	for seed := range uint64(40) {
		plan := NewPlan(seed)
		for number := range uint64(20) {
			varied := plan.Vary(number + 1)
			repeated, err := NamedPlan(varied.Name())
			if err != nil || !reflect.DeepEqual(repeated, varied) {
				t.Fatalf("%s: %+v, %v; want %+v", varied.Name(), repeated, err, varied)
			}
			sameFaults := reflect.DeepEqual(varied.Faults, plan.Faults)
			if sameFaults && varied.Gateways == plan.Gateways {
				t.Errorf("%s equals the plan that it varies", varied.Name())
			}
			if sameFaults {
				changedGateways++
			}
			scenario := varied.scenario()
			if err := model.Validate(&scenario); err != nil || !varied.faultsOverlap() {
				t.Errorf("%s is invalid: %v, %+v", varied.Name(), err, varied.Faults)
			}
			plan = varied
		}
	}
	if changedGateways == 0 {
		t.Error("no variation changes the number of gateways alone")
	}
}

// Guards against different plans that have the same random changes because their names end alike.
func TestVariationsDependOnWholeName(t *testing.T) {
	plan := NewPlan(17)
	first, second := plan.Vary(1).Vary(1), plan.Vary(2).Vary(1)
	if reflect.DeepEqual(first.Faults, second.Faults) && first.Gateways == second.Gateways {
		t.Errorf("%s and %s are the same plan", first.Name(), second.Name())
	}
}

// Guards against names that are accepted but repeat another run than the one meant.
func TestInvalidPlanNamesAreErrors(t *testing.T) {
	for _, name := range []string{"", "x", "1.", ".1", "1.x", "1-2", "-1", "1..2"} {
		if _, err := NamedPlan(name); err == nil {
			t.Errorf("no error for %q", name)
		}
	}
}
