package virtualsoak

import (
	"fmt"
	"reflect"
	"testing"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
)

// checkedSeeds is the number of seeds whose scenarios are checked.
const checkedSeeds = 4000

// constantFields lists the fields of a scenario that are not drawn.
var constantFields = []string{"Description"}

// valueSets holds the first two values that each field of a scenario has had. Entries of lists share the field of the
// list.
type valueSets map[string]map[string]bool

// record adds the values of all fields within a value.
func (s valueSets) record(path string, value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			s.record(path+"."+value.Type().Field(i).Name, value.Field(i))
		}
	case reflect.Slice:
		for i := range value.Len() {
			s.record(path, value.Index(i))
		}
	default:
		if s[path] == nil {
			s[path] = map[string]bool{}
		}
		if len(s[path]) < 2 {
			s[path][fmt.Sprint(value.Interface())] = true
		}
	}
}

// Guards against invalid scenarios, scenarios that differ between two calls for a seed, kinds of fault that are never
// drawn, and settings that are the same in all scenarios.
func TestScenariosAreValidAndCoverAllSettings(t *testing.T) {
	drawn := valueSets{}
	kinds := map[emulator.FaultKind]int{}
	for seed := range uint64(checkedSeeds) {
		scenario := NewScenario(seed)
		if err := model.Validate(&scenario); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if !reflect.DeepEqual(scenario, NewScenario(seed)) {
			t.Fatalf("seed %d: two calls return different scenarios", seed)
		}
		drawn.record("", reflect.ValueOf(scenario))
		for _, fault := range scenario.Faults {
			kinds[fault.Kind]++
		}
	}
	for _, field := range constantFields {
		delete(drawn, "."+field)
	}
	for path, values := range drawn {
		if len(values) < 2 {
			t.Errorf("%s is the same in all scenarios: %v", path, values)
		}
	}
	for _, kind := range faultKinds {
		if kinds[kind] < checkedSeeds/len(faultKinds) {
			t.Errorf("%s occurs %d times, want at least once in %d seeds", kind, kinds[kind], len(faultKinds))
		}
	}
}

// Guards against faults that do not overlap, and against slow starts in which an endpoint would fail at the first few
// requests.
func TestFaultsOverlapAndSlowStartsAreUsable(t *testing.T) {
	for seed := range uint64(checkedSeeds) {
		scenario := NewScenario(seed)
		if count := len(scenario.Faults); count < 1 || count > maxFaults {
			t.Errorf("seed %d: %d faults, want 1 to %d", seed, count, maxFaults)
		}
		for i := 1; i < len(scenario.Faults); i++ {
			before, fault := scenario.Faults[i-1], scenario.Faults[i]
			if fault.At < before.At || fault.At >= before.At+before.Length {
				t.Errorf("seed %d: %+v does not overlap %+v", seed, fault, before)
			}
		}
		warmUp := scenario.WarmUp
		perSecond := warmUp.OverloadFactor * float64(scenario.Endpoints.Cores) / model.MeanWork(&scenario).Seconds()
		withstood := perSecond * warmUp.InitialCapacity * warmUp.OverloadWindow.AsDuration().Seconds()
		if warmUp.Duration > 0 && warmUp.InitialCapacity < 1 && withstood < minOverloadRequests-0.01 {
			t.Errorf("seed %d: an endpoint in slow start withstands %.2f requests", seed, withstood)
		}
	}
}
