package experiment

import (
	"context"
	"fmt"

	"springfield/internal/baseline"
	"springfield/internal/emulator"
	"springfield/internal/emulator/invariant"
	"springfield/internal/emulator/virtual"
	"springfield/internal/measure"
)

// UnknownDeciderError is returned for a run whose decider does not exist in the form of the run.
type UnknownDeciderError struct{ Name string }

// Error implements error.
func (e *UnknownDeciderError) Error() string { return fmt.Sprintf("there is no decider %q", e.Name) }

// NewRunFunc returns a RunFunc that carries out runs of both forms.
func NewRunFunc(options LoopbackOptions) RunFunc {
	runLoopback := newLoopbackRunFunc(options)
	return func(ctx context.Context, run Run) (measure.Result, invariant.Report, error) {
		if run.Form == FormLoopback {
			return runLoopback(ctx, run)
		}
		return runVirtual(ctx, run)
	}
}

// runVirtual carries out a run in virtual time. It implements RunFunc.
func runVirtual(ctx context.Context, run Run) (measure.Result, invariant.Report, error) {
	newDecider, err := deciderByName(run.Decider)
	if err != nil {
		return measure.Result{}, invariant.Report{}, err
	}
	recorder := measure.NewRecorder(&run.Scenario, virtual.StartTime)
	checker := invariant.NewChecker(&run.Scenario)
	summary, err := virtual.Run(ctx, virtual.Options{
		Scenario:   run.Scenario,
		Seed:       run.Seed,
		NewDecider: checker.ObserveLists(newDecider),
		Observer:   emulator.Observers{recorder, checker},
	})
	if err != nil {
		return measure.Result{}, invariant.Report{}, err
	}
	end := virtual.StartTime + summary.VirtualTime
	return recorder.Result(end), checker.Finish(end), nil
}

func deciderByName(name string) (emulator.NewDecider, error) {
	if name == Springfield {
		return virtual.PolicyDecider, nil
	}
	newDecider, ok := baseline.ByName(name)
	if !ok {
		return nil, &UnknownDeciderError{Name: name}
	}
	return newDecider, nil
}
