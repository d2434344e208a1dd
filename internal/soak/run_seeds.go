package soak

import (
	"context"
	"math"
	"sync"

	"golang.org/x/sync/semaphore"
)

// Limits limits the runs that are carried out concurrently. A run with more gateways than allowed runs alone.
type Limits struct {
	Runs     int // concurrent runs
	Gateways int // gateway processes of all concurrent runs; 0: unlimited
}

// RunSeeds runs the plan of each seed from first to last; see RunPlans.
func RunSeeds(ctx context.Context, first, last uint64, limits Limits, run func(context.Context, Plan) (Result, error),
	done func(Result)) error {
	return RunPlans(ctx, SeedPlans(first, last), limits, run, done)
}

// SeedPlans returns a function that returns the plans of the seeds from first to last one after another.
func SeedPlans(first, last uint64) func(context.Context) (Plan, bool) {
	seed, ended := first, last < first
	return func(context.Context) (Plan, bool) {
		if ended {
			return Plan{}, false
		}
		plan := NewPlan(seed)
		ended = seed == last
		seed++
		return plan, true
	}
}

// RunPlans runs the plans that next returns until it returns false, within the limits, and calls done after each run,
// never concurrently. It stops early when ctx ends or when a run cannot be carried out, and then cancels the context of
// next.
func RunPlans(ctx context.Context, next func(context.Context) (Plan, bool), limits Limits,
	run func(context.Context, Plan) (Result, error), done func(Result)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	gate := newGate(limits)
	var runs sync.WaitGroup
	var mu sync.Mutex
	for {
		plan, ok := next(ctx)
		if !ok || gate.enter(ctx, plan.Gateways) != nil {
			break
		}
		runs.Go(func() {
			defer gate.leave(plan.Gateways)
			result, err := run(ctx, plan)
			if err != nil {
				cancel(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			done(result)
		})
	}
	runs.Wait()
	return context.Cause(ctx)
}

// gate admits runs within limits, in the order of their arrival.
type gate struct {
	maxGateways    int64
	runs, gateways *semaphore.Weighted
}

func newGate(limits Limits) *gate {
	maxGateways := int64(limits.Gateways)
	if maxGateways == 0 {
		maxGateways = math.MaxInt64
	}
	return &gate{
		maxGateways: maxGateways,
		runs:        semaphore.NewWeighted(int64(limits.Runs)),
		gateways:    semaphore.NewWeighted(maxGateways),
	}
}

// enter waits until a run with the given number of gateways is within the limits. It returns an error if ctx ends
// first.
func (g *gate) enter(ctx context.Context, gateways int) error {
	if err := g.runs.Acquire(ctx, 1); err != nil {
		return err
	}
	if err := g.gateways.Acquire(ctx, g.weight(gateways)); err != nil {
		g.runs.Release(1)
		return err
	}
	return nil
}

// leave ends a run that has entered.
func (g *gate) leave(gateways int) {
	g.gateways.Release(g.weight(gateways))
	g.runs.Release(1)
}

// weight returns the number of gateways by which a run counts.
func (g *gate) weight(gateways int) int64 { return min(int64(gateways), g.maxGateways) }
