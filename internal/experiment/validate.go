package experiment

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"springfield/internal/baseline"
	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
)

// scenarioKey is the prefix of the scenario's keys in an experiment file.
const scenarioKey = "scenario."

// maxSwept bounds swept whole numbers, so that a slip of the keyboard is an error and no run that never ends.
const maxSwept = 100_000

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]*$`)

// keyFault is a fault of the value of a key.
type keyFault struct{ key, reason string }

// validate returns what is wrong with the experiment, in a fixed order.
func (e *Experiment) validate() []keyFault {
	faults := slices.Concat(e.validateName(), e.validateForm(), e.validateDeciders(), e.validateSeeds(), e.validateSweep())
	if e.Workers < 0 {
		faults = append(faults, keyFault{"workers", fmt.Sprintf("is %d, want 0 or more", e.Workers)})
	}
	scenarioFaults := validateScenario(&e.Scenario)
	if e.Sweep != nil && len(faults) == 0 && len(scenarioFaults) == 0 {
		scenarioFaults = e.validateSizes()
	}
	return append(faults, scenarioFaults...)
}

func (e *Experiment) validateName() []keyFault {
	if !namePattern.MatchString(e.Name) {
		return []keyFault{{"name", fmt.Sprintf("is %q, want lower-case letters, digits, - and _", e.Name)}}
	}
	return nil
}

func (e *Experiment) validateForm() []keyFault {
	if e.Form != FormVirtual && e.Form != FormLoopback {
		return []keyFault{{"form", fmt.Sprintf("is %q, want %q or %q", e.Form, FormVirtual, FormLoopback)}}
	}
	return nil
}

func (e *Experiment) validateDeciders() []keyFault {
	if len(e.Deciders) == 0 {
		return []keyFault{{"deciders", "is missing or empty"}}
	}
	known := DeciderNames(e.Form)
	var faults []keyFault
	for i, name := range e.Deciders {
		key := fmt.Sprintf("deciders[%d]", i)
		if !slices.Contains(known, name) {
			reason := fmt.Sprintf("is %q, want one of %s (form %s)", name, strings.Join(known, ", "), e.Form)
			faults = append(faults, keyFault{key, reason})
		}
		if slices.Contains(e.Deciders[:i], name) {
			faults = append(faults, keyFault{key, fmt.Sprintf("%q stands twice", name)})
		}
	}
	return faults
}

// DeciderNames returns the names that deciders may have. A gateway process has the project's policy alone.
func DeciderNames(form Form) []string {
	if form == FormLoopback {
		return []string{Springfield}
	}
	return append([]string{Springfield}, baseline.Names()...)
}

func (e *Experiment) validateSeeds() []keyFault {
	if len(e.Seeds) == 0 {
		return []keyFault{{"seeds", "is missing or empty"}}
	}
	for i, seed := range e.Seeds {
		if slices.Contains(e.Seeds[:i], seed) {
			return []keyFault{{fmt.Sprintf("seeds[%d]", i), fmt.Sprintf("%d stands twice", seed)}}
		}
	}
	return nil
}

func (e *Experiment) validateSweep() []keyFault {
	if e.Sweep == nil {
		return nil
	}
	swept, ok := sweepKeys[e.Sweep.Key]
	if !ok {
		reason := fmt.Sprintf("is %q, want one of %s", e.Sweep.Key, strings.Join(SweepKeys(), ", "))
		return []keyFault{{"sweep.key", reason}}
	}
	if len(e.Sweep.Values) == 0 {
		return []keyFault{{"sweep.values", "is missing or empty"}}
	}
	var faults []keyFault
	for i, value := range e.Sweep.Values {
		key := fmt.Sprintf("sweep.values[%d]", i)
		switch {
		case math.IsNaN(value) || value < 0 || value > maxSwept:
			faults = append(faults, keyFault{key, fmt.Sprintf("is %g, want 0 to %d", value, maxSwept)})
		case swept.whole && (value < 1 || value != math.Trunc(value)):
			faults = append(faults, keyFault{key, fmt.Sprintf("is %g, want a whole number from 1", value)})
		case slices.Contains(e.Sweep.Values[:i], value):
			faults = append(faults, keyFault{key, fmt.Sprintf("%g stands twice", value)})
		}
	}
	return faults
}

// validateSizes validates the scenario of each swept value. A fault counts as one of the value.
func (e *Experiment) validateSizes() []keyFault {
	var faults []keyFault
	for i, value := range e.Sweep.Values {
		scenario := e.scenarioOf(value)
		for _, fault := range validateScenario(&scenario) {
			key := fmt.Sprintf("sweep.values[%d]", i)
			faults = append(faults, keyFault{key, fmt.Sprintf("with %g, %s %s", value, fault.key, fault.reason)})
		}
	}
	return faults
}

// validateScenario returns the faults of a scenario under their keys in the experiment file.
func validateScenario(scenario *emulator.Scenario) []keyFault {
	var faults []keyFault
	for _, err := range unjoin(model.Validate(scenario)) {
		var fault *model.ScenarioError
		if errors.As(err, &fault) {
			faults = append(faults, keyFault{scenarioKey + fault.Path, fault.Reason})
		} else {
			faults = append(faults, keyFault{strings.TrimSuffix(scenarioKey, "."), err.Error()})
		}
	}
	return faults
}

// unjoin returns the errors that errors.Join has joined.
func unjoin(err error) []error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}
