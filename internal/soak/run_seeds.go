package soak

import (
	"context"
	"sync"
)

// RunSeeds runs the plan of each seed from first to last, at most parallel at a time, and calls done after each run,
// never concurrently. It stops early when ctx ends or when a run cannot be carried out.
func RunSeeds(ctx context.Context, first, last uint64, parallel int, run func(context.Context, Plan) (Result, error),
	done func(Result)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	var mu sync.Mutex
	for range parallel {
		workers.Go(func() {
			for seed := range seeds {
				result, err := run(ctx, NewPlan(seed))
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
	for seed := first; seed <= last; seed++ {
		select {
		case seeds <- seed:
		case <-ctx.Done():
			break feed
		}
	}
	close(seeds)
	workers.Wait()
	return context.Cause(ctx)
}
