// Package experiment runs a scenario with several deciders, seeds and sizes, in parallel on all cores. It reads
// experiment files, keeps results in a store so that an interrupted experiment can resume, and compares versions of the
// policy by runs that are paired by size and seed.
package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"springfield/internal/emulator"
	"springfield/internal/emulator/invariant"
	"springfield/internal/measure"
)

// Form selects the kind of emulated deployment in which an experiment runs.
type Form string

// The forms of an experiment.
const (
	FormVirtual  Form = "virtual"  // discrete-event simulation in one process
	FormLoopback Form = "loopback" // gateway processes on loopback sockets, in real time
)

// Springfield is the name of the decider that uses this project's policy.
const Springfield = "springfield"

// Experiment holds the content of an experiment file.
type Experiment struct {
	Name         string            `toml:"name"`
	Description  string            `toml:"description"`
	Form         Form              `toml:"form"`
	Deciders     []string          `toml:"deciders"`
	Seeds        []uint64          `toml:"seeds"`
	Workers      int               `toml:"workers"`       // maximum number of concurrent runs; 0: one per core
	ScenarioFile string            `toml:"scenario_file"` // relative to the experiment file; Scenario overrides its keys
	Sweep        *Sweep            `toml:"sweep"`
	Scenario     emulator.Scenario `toml:"scenario"`
}

// Run describes one run of an experiment.
type Run struct {
	Form     Form
	Decider  string
	Seed     uint64
	Size     float64 // swept value, or the number of gateways if there is no sweep
	Scenario emulator.Scenario
}

// RunFunc carries out one run. It returns an error if the run could not be carried out or was interrupted. A broken
// rule is not an error: the report contains it.
type RunFunc func(ctx context.Context, run Run) (measure.Result, invariant.Report, error)

// Runs returns the runs of the experiment, ordered by size, seed and decider, each in the order of the file.
func (e *Experiment) Runs() []Run {
	var runs []Run
	for _, size := range e.sizes() {
		scenario := e.scenarioForSize(size)
		for _, seed := range e.Seeds {
			for _, decider := range e.Deciders {
				runs = append(runs, Run{Form: e.Form, Decider: decider, Seed: seed, Size: size, Scenario: scenario})
			}
		}
	}
	return runs
}

func (e *Experiment) sizes() []float64 {
	if e.Sweep == nil {
		return []float64{float64(e.Scenario.Gateways)}
	}
	return e.Sweep.Values
}

// scenarioForSize returns a copy of the scenario for one size. The runs of a size share the slices of the copy, which
// are never modified.
func (e *Experiment) scenarioForSize(size float64) emulator.Scenario {
	scenario := e.Scenario
	scenario.Classes = slices.Clone(scenario.Classes)
	scenario.Plans = slices.Clone(scenario.Plans)
	scenario.Faults = slices.Clone(scenario.Faults)
	if e.Sweep != nil {
		sweepKeys[e.Sweep.Key].apply(&scenario, size)
	}
	return scenario
}

// digest returns a hash of the form and the scenario. Together with the decider, the seed and the version of the
// program it identifies everything that a run depends on. The scenario's name and description are left out, so that
// a change of them does not repeat the run.
func (r *Run) digest() (string, error) {
	scenario := r.Scenario
	scenario.Name, scenario.Description = "", ""
	text, err := json.Marshal(struct {
		Form     Form
		Scenario emulator.Scenario
	}{r.Form, scenario})
	if err != nil {
		return "", fmt.Errorf("encode scenario: %w", err)
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8]), nil
}
