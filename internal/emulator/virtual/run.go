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
	// StartTime is the Unix time at which the load of every run begins.
	StartTime = 1_750_000_000 * time.Second

	// contextCheckInterval is the virtual time between two checks whether the run's context has ended.
	contextCheckInterval = 50 * time.Millisecond

	// lateAnswerPeriod is how long a run continues after the last deadline, so that late answers are observed.
	lateAnswerPeriod = 2 * time.Second
)

// Options configures a run.
type Options struct {
	Scenario   emulator.Scenario
	Seed       uint64
	NewDecider emulator.NewDecider // constructor of the decider of each gateway; nil selects PolicyDecider
	Observer   emulator.Observer   // receives the observations of the run; may be nil
}

// Summary reports the amount of work in a run.
type Summary struct {
	Events      int64         // functions that the scheduler has executed
	Requests    int64         // tries of clients, retries included
	Attempts    int64         // attempts sent to endpoints
	Connections int64         // connections that gateways opened to endpoints
	VirtualTime time.Duration // virtual time that the run covers
	WallTime    time.Duration // real time that the run took
}

// Run executes a scenario until its load has ended and all requests have their final answers. If ctx ends earlier, Run
// returns the summary up to that point and the error of ctx.
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
	err := w.runUntilFinished(ctx)
	return Summary{
		Events:      w.scheduler.Executed(),
		Requests:    w.requests,
		Attempts:    w.attempts,
		Connections: w.connections,
		VirtualTime: w.scheduler.Now() - StartTime,
		WallTime:    time.Since(startedAt),
	}, err
}

// runUntilFinished runs the scheduler until the load has ended and no request is pending, at most until
// lateAnswerPeriod after the last deadline.
func (w *world) runUntilFinished(ctx context.Context) error {
	loadEnd := StartTime + w.scenario.Length.AsDuration()
	latestEnd := loadEnd + lateAnswerPeriod
	for i := range w.scenario.Classes {
		latestEnd = max(latestEnd, loadEnd+w.scenario.Classes[i].Deadline.AsDuration()+lateAnswerPeriod)
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
