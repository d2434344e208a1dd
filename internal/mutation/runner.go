package mutation

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Program is a built program.
type Program struct {
	Path      string
	Directory string // directory for the files of runs
	Mutated   bool   // false for the control
}

// Run is a finished run of a soak.
type Run struct {
	Seed     uint64
	Findings []Finding
	Void     bool // the findings are invalid because the machine was too busy
}

// SoakFunc soaks a program with a range of seeds. It calls done after each run, never concurrently, and ends its runs
// early when ctx ends. It returns the number of runs that it has started. Its error is nil if it has finished all runs.
type SoakFunc func(ctx context.Context, program Program, seeds Seeds, done func(Run)) (started int, err error)

// BuildFunc builds the program of a mutant, as Build does.
type BuildFunc func(ctx context.Context, root string, mutant *Mutant, directory string) (string, error)

// Runner soaks mutants and stores the results.
type Runner struct {
	Root     string // root of the source tree
	Store    *Store
	Seeds    map[World]Seeds
	Parallel int // number of concurrent runs, which is stored with the results
	Build    BuildFunc
	Soaks    map[World]SoakFunc
	OnStart  func(mutant *Mutant)                // called before a mutant is built
	OnResult func(result *Result, isStored bool) // called with each result; isStored if the store already held it
}

// Run soaks those mutants whose results are not in the store. It returns the results of all mutants, including stored
// ones. The error joins the errors of mutants that have no result; they do not prevent other mutants from being soaked,
// but the end of ctx does.
func (r *Runner) Run(ctx context.Context, mutants []Mutant) ([]Result, error) {
	var results []Result
	var errs []error
	for i := range mutants {
		mutant := &mutants[i]
		result, err := r.result(ctx, mutant)
		if err == nil {
			results = append(results, result)
			continue
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	return results, errors.Join(errs...)
}

// result returns the stored result of a mutant, or else soaks the mutant and stores the result.
func (r *Runner) result(ctx context.Context, mutant *Mutant) (Result, error) {
	seeds := r.Seeds[mutant.World]
	key, err := Key(r.Root, mutant, seeds)
	if err != nil {
		return Result{}, err
	}
	if result, ok := r.Store.Result(key); ok {
		r.OnResult(&result, true)
		return result, nil
	}
	r.OnStart(mutant)
	result, err := r.buildAndSoak(ctx, mutant, seeds)
	if ctx.Err() != nil {
		return Result{}, fmt.Errorf("interrupted at mutant %s: %w", mutant.Name, context.Cause(ctx))
	}
	if err != nil {
		return Result{}, err
	}
	result.Key = key
	if err := r.Store.Add(result); err != nil {
		return Result{}, fmt.Errorf("store the result of mutant %s: %w", mutant.Name, err)
	}
	r.OnResult(&result, false)
	return result, nil
}

// buildAndSoak builds and soaks a mutant in a temporary directory.
func (r *Runner) buildAndSoak(ctx context.Context, mutant *Mutant, seeds Seeds) (Result, error) {
	directory, err := os.MkdirTemp("", "mutant-")
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = os.RemoveAll(directory) }() // a failed removal only leaves temporary files
	path, err := r.Build(ctx, r.Root, mutant, directory)
	if err != nil {
		return Result{}, err
	}
	runs := filepath.Join(directory, "runs")
	const directoryMode = 0o700
	if err := os.Mkdir(runs, directoryMode); err != nil {
		return Result{}, err
	}
	result := Result{Mutant: mutant.Name, Guard: mutant.Guard, Change: mutant.Change, World: mutant.World, Seeds: seeds,
		Parallel: r.Parallel}
	program := Program{Path: path, Directory: runs, Mutated: !mutant.IsUnchanged()}
	if err := result.soak(ctx, r.Soaks[mutant.World], program); err != nil {
		return Result{}, fmt.Errorf("soak of mutant %s: %w", mutant.Name, err)
	}
	return result, nil
}

// soak soaks a program and records the runs. The first finding ends the soak of a mutated program, but not that of the
// control.
func (r *Result) soak(ctx context.Context, soak SoakFunc, program Program) error {
	soakCtx, stop := context.WithCancel(ctx)
	defer stop()
	begin := time.Now()
	started, err := soak(soakCtx, program, r.Seeds, func(run Run) {
		r.record(run)
		if r.Finding != nil && program.Mutated {
			stop()
		}
	})
	r.RunsStarted, r.ElapsedSeconds = started, time.Since(begin).Seconds()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if soakCtx.Err() != nil {
		return nil // a finding has ended the soak
	}
	if err == nil && uint64(r.Runs) != r.Seeds.Count() {
		return fmt.Errorf("%d runs finished, want %d", r.Runs, r.Seeds.Count())
	}
	return err
}

// record adds a finished run.
func (r *Result) record(run Run) {
	r.Runs++
	if run.Void {
		r.VoidRuns++
	}
	if run.Void || len(run.Findings) == 0 {
		return
	}
	r.RunsWithFinding++
	if r.Finding == nil {
		r.Finding, r.FindingSeed, r.RunsUntilFinding = &run.Findings[0], run.Seed, r.Runs
	}
}
