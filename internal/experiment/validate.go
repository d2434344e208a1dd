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

// scenarioPrefix is the prefix of the scenario's keys in an experiment file.
const scenarioPrefix = "scenario."

// maxSweptValue is the largest swept value, so that a mistyped value is reported and does not start an endless run.
const maxSweptValue = 100_000

// namePattern matches valid names of experiments.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]*$`)

// keyError is an error in the value of a key.
type keyError struct{ key, reason string }

// validate returns the errors in the experiment, in a fixed order.
func (e *Experiment) validate() []keyError {
	errs := slices.Concat(e.validateName(), e.validateForm(), e.validateDeciders(), e.validateSeeds(), e.validateSweep())
	if e.Workers < 0 {
		errs = append(errs, keyError{"workers", fmt.Sprintf("is %d, want 0 or more", e.Workers)})
	}
	scenarioErrs := validateScenario(&e.Scenario)
	if e.Sweep != nil && len(errs) == 0 && len(scenarioErrs) == 0 {
		scenarioErrs = e.validateSizes()
	}
	return append(errs, scenarioErrs...)
}

func (e *Experiment) validateName() []keyError {
	if !namePattern.MatchString(e.Name) {
		return []keyError{{"name", fmt.Sprintf("is %q, want lower-case letters, digits, - and _", e.Name)}}
	}
	return nil
}

func (e *Experiment) validateForm() []keyError {
	if e.Form != FormVirtual && e.Form != FormLoopback {
		return []keyError{{"form", fmt.Sprintf("is %q, want %q or %q", e.Form, FormVirtual, FormLoopback)}}
	}
	return nil
}

func (e *Experiment) validateDeciders() []keyError {
	if len(e.Deciders) == 0 {
		return []keyError{{"deciders", "is missing or empty"}}
	}
	known := DeciderNames(e.Form)
	var errs []keyError
	for i, name := range e.Deciders {
		key := fmt.Sprintf("deciders[%d]", i)
		if !slices.Contains(known, name) {
			reason := fmt.Sprintf("is %q, want one of %s (form %s)", name, strings.Join(known, ", "), e.Form)
			errs = append(errs, keyError{key, reason})
		}
		if slices.Contains(e.Deciders[:i], name) {
			errs = append(errs, keyError{key, fmt.Sprintf("%q occurs twice", name)})
		}
	}
	return errs
}

// DeciderNames returns the names of the deciders that a form supports. Gateway processes support only the project's
// policy.
func DeciderNames(form Form) []string {
	if form == FormLoopback {
		return []string{Springfield}
	}
	return append([]string{Springfield}, baseline.Names()...)
}

func (e *Experiment) validateSeeds() []keyError {
	if len(e.Seeds) == 0 {
		return []keyError{{"seeds", "is missing or empty"}}
	}
	for i, seed := range e.Seeds {
		if slices.Contains(e.Seeds[:i], seed) {
			return []keyError{{fmt.Sprintf("seeds[%d]", i), fmt.Sprintf("%d occurs twice", seed)}}
		}
	}
	return nil
}

func (e *Experiment) validateSweep() []keyError {
	if e.Sweep == nil {
		return nil
	}
	swept, ok := sweepKeys[e.Sweep.Key]
	if !ok {
		reason := fmt.Sprintf("is %q, want one of %s", e.Sweep.Key, strings.Join(SweepKeys(), ", "))
		return []keyError{{"sweep.key", reason}}
	}
	if len(e.Sweep.Values) == 0 {
		return []keyError{{"sweep.values", "is missing or empty"}}
	}
	var errs []keyError
	for i, value := range e.Sweep.Values {
		key := fmt.Sprintf("sweep.values[%d]", i)
		switch {
		case math.IsNaN(value) || value < 0 || value > maxSweptValue:
			errs = append(errs, keyError{key, fmt.Sprintf("is %g, want 0 to %d", value, maxSweptValue)})
		case swept.integer && (value < 1 || value != math.Trunc(value)):
			errs = append(errs, keyError{key, fmt.Sprintf("is %g, want a whole number from 1", value)})
		case slices.Contains(e.Sweep.Values[:i], value):
			errs = append(errs, keyError{key, fmt.Sprintf("%g occurs twice", value)})
		}
	}
	return errs
}

// validateSizes validates the scenario of each swept value. Its errors are reported at the key of the value.
func (e *Experiment) validateSizes() []keyError {
	var errs []keyError
	for i, value := range e.Sweep.Values {
		scenario := e.scenarioForSize(value)
		for _, keyErr := range validateScenario(&scenario) {
			key := fmt.Sprintf("sweep.values[%d]", i)
			errs = append(errs, keyError{key, fmt.Sprintf("with %g, %s %s", value, keyErr.key, keyErr.reason)})
		}
	}
	return errs
}

// validateScenario returns the errors in a scenario, with their keys in the experiment file.
func validateScenario(scenario *emulator.Scenario) []keyError {
	var errs []keyError
	for _, err := range splitJoinedErrors(model.Validate(scenario)) {
		var scenarioErr *model.ScenarioError
		if errors.As(err, &scenarioErr) {
			errs = append(errs, keyError{scenarioPrefix + scenarioErr.Path, scenarioErr.Reason})
		} else {
			errs = append(errs, keyError{strings.TrimSuffix(scenarioPrefix, "."), err.Error()})
		}
	}
	return errs
}

// splitJoinedErrors returns the errors that errors.Join combined.
func splitJoinedErrors(err error) []error {
	if err == nil {
		return nil
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}
