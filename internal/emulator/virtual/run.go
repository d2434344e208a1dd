package virtual

import (
	"context"
	"errors"
	"fmt"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
)

const (
	// StartTime is when the load of every run begins, as Unix time.
	StartTime = 1_750_000_000 * time.Second

	// contextCheckInterval is how often, in virtual time, a run looks whether its context has ended.
	contextCheckInterval = 50 * time.Millisecond

	// lateAnswerPeriod is how long after the last deadline a run goes on, so that late answers are seen.
	lateAnswerPeriod = 2 * time.Second
)

// Options describe a run.
type Options struct {
	Scenario   emulator.Scenario
	Seed       uint64
	NewDecider emulator.NewDecider // of each gateway; nil: PolicyDecider
	Observer   emulator.Observer   // nil: nobody observes
}

// Summary tells how much a run has done.
type Summary struct {
	Events      int64         // functions that the scheduler has run
	Requests    int64         // tries of clients, their retries included
	Attempts    int64         // attempts that were sent to endpoints
	Connections int64         // that gateways have opened to endpoints
	VirtualTime time.Duration // that the run covers
	WallTime    time.Duration // that it took
}

// Run plays a scenario until its load is over and all of its requests are answered. If ctx ends before, it returns what
// was done until then and the error of ctx.
func Run(ctx context.Context, options Options) (Summary, error) {
	if err := model.Validate(&options.Scenario); err != nil {
		return Summary{}, fmt.Errorf("scenario: %w", err)
	}
	if options.NewDecider == nil {
		options.NewDecider = PolicyDecider
	}
	startedAt := time.Now()
	w := newWorld(&options)
	w.start()
	err := w.play(ctx)
	return Summary{
		Events:      w.scheduler.Executed(),
		Requests:    w.requests,
		Attempts:    w.attempts,
		Connections: w.connections,
		VirtualTime: w.scheduler.Now() - StartTime,
		WallTime:    time.Since(startedAt),
	}, err
}

// play runs the scheduler until no request is open after the end of the load, and no later than all must be answered.
func (w *world) play(ctx context.Context) error {
	loadEnd := StartTime + w.scenario.Length.Of()
	latestEnd := loadEnd + lateAnswerPeriod
	for i := range w.scenario.Classes {
		latestEnd = max(latestEnd, loadEnd+w.scenario.Classes[i].Deadline.Of()+lateAnswerPeriod)
	}
	for now := StartTime; now < latestEnd; {
		if err := ctx.Err(); err != nil {
			return errors.Join(err, context.Cause(ctx))
		}
		now = min(latestEnd, now+contextCheckInterval)
		w.scheduler.RunUntil(now)
		if now >= loadEnd && w.pendingRequests == 0 {
			return nil
		}
	}
	return nil
}
