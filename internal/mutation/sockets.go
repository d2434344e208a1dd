package mutation

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"

	"springfield/internal/emulator/loopback"
	"springfield/internal/soak"
)

// findingRun is the kind of the finding for a run that could not be carried out because of a mutation.
const findingRun = "run"

// SoakSockets returns a function that soaks gateways on loopback sockets, within the limits on concurrent runs.
func SoakSockets(limits soak.Limits) SoakFunc {
	return func(ctx context.Context, program Program, seeds Seeds, done func(Run)) (int, error) {
		var started atomic.Int64
		run := func(ctx context.Context, plan soak.Plan) (soak.Result, error) {
			started.Add(1)
			return runPlan(ctx, program, plan)
		}
		err := soak.RunSeeds(ctx, seeds.First, seeds.Last, limits, run, func(result soak.Result) {
			done(newRun(&result))
		})
		return int(started.Load()), err
	}
}

// runPlan runs a plan in a directory of its own. A mutated gateway that never becomes ready is a finding.
func runPlan(ctx context.Context, program Program, plan soak.Plan) (soak.Result, error) {
	directory, err := os.MkdirTemp(program.Directory, fmt.Sprintf("soak-%d-", plan.Seed))
	if err != nil {
		return soak.Result{}, err
	}
	defer func() { _ = os.RemoveAll(directory) }() // a failed removal only leaves temporary files
	result, err := soak.Run(ctx, plan, soak.Options{Gateway: program.Path, Directory: directory,
		Logger: slog.New(slog.DiscardHandler)})
	if program.Mutated && errors.Is(err, loopback.ErrNotReady) && ctx.Err() == nil {
		finding := soak.Finding{What: findingRun, Count: 1, Detail: loopback.ErrNotReady.Error()}
		return soak.Result{Plan: plan, Findings: []soak.Finding{finding}}, nil
	}
	return result, err
}

func newRun(result *soak.Result) Run {
	run := Run{Seed: result.Plan.Seed, Void: result.Void()}
	for _, finding := range result.Findings {
		run.Findings = append(run.Findings, Finding(finding))
	}
	return run
}
