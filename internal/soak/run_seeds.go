package soak

import (
	"context"
	"sync"
)

// RunSeeds runs the plan of each seed from first to last; see RunPlans.
func RunSeeds(ctx context.Context, first, last uint64, parallel int, run func(context.Context, Plan) (Result, error),
	done func(Result)) error {
	return RunPlans(ctx, SeedPlans(first, last), parallel, run, done)
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

// RunPlans runs the plans that next returns until it returns false, at most parallel at a time, and calls done after
// each run, never concurrently. It stops early when ctx ends or when a run cannot be carried out, and then cancels the
// context of next.
func RunPlans(ctx context.Context, next func(context.Context) (Plan, bool), parallel int,
	run func(context.Context, Plan) (Result, error), done func(Result)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	plans := make(chan Plan)
	var workers sync.WaitGroup
	var mu sync.Mutex
	for range parallel {
		workers.Go(func() {
			for plan := range plans {
				result, err := run(ctx, plan)
				if err != nil {
					cancel(err)
					return
				}
				mu.Lock()
				done(result)
				mu.Unlock()
			}
		})
	}
feed:
	for {
		plan, ok := next(ctx)
		if !ok {
			break
		}
		select {
		case plans <- plan:
		case <-ctx.Done():
			break feed
		}
	}
	close(plans)
	workers.Wait()
	return context.Cause(ctx)
}
