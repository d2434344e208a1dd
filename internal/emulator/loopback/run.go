package loopback

import (
	"context"
	"errors"
	"time"

	"springfield/internal/emulator/model"
)

const (
	// loadDelay is the time from the readiness of all gateways in Drive until the load begins.
	loadDelay = 200 * time.Millisecond

	// outcomeTimeout is how long after the last deadline a run waits for clients without an outcome.
	outcomeTimeout = 10 * time.Second
)

// Run runs a scenario until its load is over and all of its requests are answered. If ctx ends first, it returns the
// totals so far and the error of ctx. No gateway process is left when it returns.
func Run(ctx context.Context, options Options) (Summary, error) {
	w, err := Start(ctx, options)
	if err != nil {
		return Summary{}, err
	}
	defer w.Close()
	return w.Drive(ctx)
}

// Drive runs the load and the faults of the scenario. It must be called only once. It first waits until all gateways
// are ready, including those that are started by hand.
func (w *World) Drive(ctx context.Context) (Summary, error) {
	if err := w.awaitReady(ctx, 0); err != nil {
		return w.Summary(), err
	}
	startTime := time.Now()
	w.scheduler.Do(w.beginLoad)
	maxDuration := loadDelay + w.scenario.Length.AsDuration() + w.longestDeadline() + outcomeTimeout
	timer := time.NewTimer(maxDuration)
	defer timer.Stop()
	var err error
	select {
	case <-w.runFinished:
	case <-timer.C:
		err = ErrUnanswered
	case <-ctx.Done():
		err = errors.Join(ctx.Err(), context.Cause(ctx))
	case <-w.ctx.Done(): // the world was closed, or the context of Start has ended
		err = context.Cause(w.ctx)
	}
	summary := w.Summary()
	summary.LoadTime = time.Since(startTime) - loadDelay
	return summary, err
}

// Summary returns the totals of the run so far.
func (w *World) Summary() Summary {
	var summary Summary
	w.scheduler.Do(func() { summary = w.summary })
	return summary
}

// beginLoad schedules the faults and the first request.
func (w *World) beginLoad() {
	loadStart := w.scheduler.Now() + loadDelay
	w.workload = model.NewWorkload(w.scenario, w.options.Seed, loadStart)
	faults := model.StreamFaults.Random(w.options.Seed)
	w.scheduler.After(loadDelay, func() {
		model.ScheduleFaults(w.scenario, w.scheduler, faults, faultTarget{w}, w.options.Observer)
	})
	w.scheduleNextArrival()
}

// scheduleNextArrival schedules the next first try of a client. Each first try that is sent schedules the next one.
func (w *World) scheduleNextArrival() {
	arrival, ok := w.workload.Next()
	if !ok {
		w.loadEnded = true
		w.checkRunFinished()
		return
	}
	w.pendingRequests++
	w.scheduler.After(arrival.At-w.scheduler.Now(), func() {
		w.submit(arrival)
		w.scheduleNextArrival()
	})
}

// recordFinalOutcome records that a client has the outcome of a request and will not retry it.
func (w *World) recordFinalOutcome() {
	w.pendingRequests--
	w.checkRunFinished()
}

func (w *World) checkRunFinished() {
	if w.loadEnded && w.pendingRequests == 0 {
		close(w.runFinished)
	}
}
