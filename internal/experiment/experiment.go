// Package experiment runs scenarios many times: several deciders, seeds and sizes, in parallel over the cores. It reads
// experiment files, keeps results in a store so that an interrupted experiment resumes, and compares versions of the
// policy, paired by seed.
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

// Form says in which world an experiment runs.
type Form string

// The forms of an experiment.
const (
	FormVirtual  Form = "virtual"  // discrete events in one process
	FormLoopback Form = "loopback" // gateway processes on sockets of this machine, in real time
)

// Springfield is the name of the decider that is this project's policy.
const Springfield = "springfield"

// Experiment is what an experiment file describes.
type Experiment struct {
	Name         string            `toml:"name"`
	Description  string            `toml:"description"`
	Form         Form              `toml:"form"`
	Deciders     []string          `toml:"deciders"`
	Seeds        []uint64          `toml:"seeds"`
	Workers      int               `toml:"workers"`       // runs at once, at most; 0: one for each core
	ScenarioFile string            `toml:"scenario_file"` // relative to the experiment file; Scenario overrides its keys
	Sweep        *Sweep            `toml:"sweep"`
	Scenario     emulator.Scenario `toml:"scenario"`
}

// Run is one run of an experiment.
type Run struct {
	Form     Form
	Decider  string
	Seed     uint64
	Size     float64 // the swept value, or the number of gateways where nothing is swept
	Scenario emulator.Scenario
}

// World carries out one run. It returns an error if the run could not be made or was interrupted; a broken rule is no
// error.
type World func(ctx context.Context, run Run) (measure.Result, invariant.Report, error)

// Runs returns the runs of the experiment: by size, then by seed, then by decider, each in the order of the file.
func (e *Experiment) Runs() []Run {
	var runs []Run
	for _, size := range e.sizes() {
		scenario := e.scenarioOf(size)
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

// scenarioOf returns a copy of the scenario at a size. Runs of a size share its slices, which nothing changes.
func (e *Experiment) scenarioOf(size float64) emulator.Scenario {
	scenario := e.Scenario
	scenario.Classes = slices.Clone(scenario.Classes)
	scenario.Plans = slices.Clone(scenario.Plans)
	scenario.Faults = slices.Clone(scenario.Faults)
	if e.Sweep != nil {
		sweepKeys[e.Sweep.Key].apply(&scenario, size)
	}
	return scenario
}

// digest identifies what a run depends on besides its decider, its seed and the version of the program. The scenario's
// name and description are left out.
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
