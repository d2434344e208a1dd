package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/loopback"
	"springfield/internal/experiment"
)

// progressInterval is the interval at which the progress of a load is shown.
const progressInterval = 500 * time.Millisecond

// deployment describes a single run of an emulated deployment over sockets.
type deployment struct {
	name     string // name of the experiment in the record
	scenario emulator.Scenario
	seed     uint64

	gateway     string // gateway program, or "" if the gateways are started by hand
	gatewayArgs []string
	directory   string                         // for the configurations and logs of the gateways
	onStarted   func(loopback.Addresses) error // if set, called after the start and before the load
	observer    emulator.Observer              // if set, receives every observation of the run
}

// incompleteRunError reports a run that ended before its load was over. The run's record covers the time until then.
type incompleteRunError struct{ cause error }

func (e *incompleteRunError) Error() string {
	if errors.Is(e.cause, context.Canceled) {
		return "interrupted: the results end there, and requests that were still open count as missing"
	}
	return fmt.Sprintf("the run ended early: %v", e.cause)
}

func (e *incompleteRunError) Unwrap() error { return e.cause }

// run runs the deployment and returns its record. The record is nil if nothing was measured. run returns both a record
// and an error if the run ended early or a gateway crashed.
func (d *deployment) run(ctx context.Context, stderr io.Writer) (*experiment.Record, error) {
	version, err := programVersion()
	if err != nil {
		return nil, err
	}
	runMeasurement := newMeasurement(&d.scenario)
	startTime := time.Now()
	observers := emulator.Observers{runMeasurement}
	if d.observer != nil {
		observers = append(observers, d.observer)
	}
	world, err := d.start(ctx, observers, stderr)
	if err != nil {
		return nil, err
	}
	defer world.Close()
	if d.onStarted != nil {
		if err := d.onStarted(world.Addresses()); err != nil {
			return nil, err
		}
	}
	summary, err := d.drive(ctx, world, stderr)
	result, rules, ok := runMeasurement.finish()
	if !ok {
		return nil, fmt.Errorf("the run ended before its load began: %w", err)
	}
	record := &experiment.Record{Experiment: d.name, Version: version, Form: experiment.FormLoopback,
		Decider: experiment.Springfield, Size: float64(d.scenario.Gateways), Seed: d.seed, Elapsed: time.Since(startTime),
		Result: result, Rules: rules}
	switch {
	case err != nil:
		err = &incompleteRunError{cause: err}
	case summary.GatewayCrashes > 0:
		err = fmt.Errorf("%s exited unexpectedly", plural(summary.GatewayCrashes, "gateway"))
	}
	return record, err
}

// start starts the deployment. Cancelling ctx aborts the start but has no effect on a deployment that has started: an
// interrupt must not reset the connections before the measurement is finished.
func (d *deployment) start(ctx context.Context, observer emulator.Observer, stderr io.Writer) (*loopback.World, error) {
	line := newProgressLine(stderr)
	line.show("starting %s and %s", plural(d.scenario.Gateways, "gateway"),
		plural(d.scenario.Endpoints.Count, "endpoint"))
	defer line.clear()
	worldCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	defer stop()
	world, err := loopback.Start(worldCtx, loopback.Options{
		Scenario:    d.scenario,
		Seed:        d.seed,
		Gateway:     d.gateway,
		GatewayArgs: d.gatewayArgs,
		Directory:   d.directory,
		Observer:    observer,
		Logger:      slog.New(slog.NewTextHandler(stderr, nil)),
	})
	if err != nil {
		cancel(err)
		return nil, fmt.Errorf("start the deployment: %w", err)
	}
	return world, nil // worldCtx must not be cancelled here: the world uses worldCtx until Close
}

// drive runs the load and shows its progress.
func (d *deployment) drive(ctx context.Context, world *loopback.World, stderr io.Writer) (loopback.Summary, error) {
	line := newProgressLine(stderr)
	defer line.clear()
	driveCtx, stop := context.WithCancel(ctx)
	progressDone := make(chan struct{})
	go func() {
		defer close(progressDone)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-driveCtx.Done():
				return
			case <-ticker.C:
				line.show("%d requests sent, the load takes %v", world.Summary().Requests, d.scenario.Length.AsDuration())
			}
		}
	}()
	summary, err := world.Drive(ctx)
	stop()
	<-progressDone
	return summary, err
}
