package virtualsoak

import (
	"context"
	"errors"
	"sync"
)

// RunSeeds runs the seeds from first to last, at most parallel at a time, and calls done with each result in the order
// of the seeds. It stops early when done returns false, when a run cannot be carried out, or when ctx ends.
func RunSeeds(ctx context.Context, first, last uint64, parallel int,
	run func(context.Context, uint64) (Result, error), done func(Result) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := startRuns(ctx, first, last, parallel, run)
	waiting := map[uint64]outcome{}
	next := first
	var err error
	for finished := range outcomes {
		waiting[finished.seed] = finished
		for err == nil {
			current, ok := waiting[next]
			if !ok {
				break
			}
			delete(waiting, next)
			next++
			if err = current.err; err == nil && !done(current.result) {
				err = errStopped
			}
		}
		if err != nil {
			cancel()
		}
	}
	if errors.Is(err, errStopped) {
		return nil
	}
	if err == nil {
		err = ctx.Err()
	}
	return err
}

// errStopped ends the runs after done has returned false.
var errStopped = errors.New("stopped")

// outcome is the end of the run of a seed.
type outcome struct {
	seed   uint64
	result Result
	err    error
}

// startRuns starts the runs and returns a channel of their outcomes, which is closed once all of them have ended. No
// further run starts once ctx has ended.
func startRuns(ctx context.Context, first, last uint64, parallel int,
	run func(context.Context, uint64) (Result, error)) <-chan outcome {
	seeds := make(chan uint64)
	outcomes := make(chan outcome)
	var workers sync.WaitGroup
	for range parallel {
		workers.Go(func() {
			for seed := range seeds {
				result, err := run(ctx, seed)
				outcomes <- outcome{seed: seed, result: result, err: err}
			}
		})
	}
	go func() {
		defer close(outcomes)
		defer workers.Wait()
		defer close(seeds)
		for seed := first; ; seed++ {
			select {
			case seeds <- seed:
			case <-ctx.Done():
				return
			}
			if seed == last {
				return
			}
		}
	}()
	return outcomes
}
