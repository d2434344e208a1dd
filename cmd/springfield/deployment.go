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

const progressInterval = 500 * time.Millisecond

// deployment is a deployment on sockets that is about to be run once.
type deployment struct {
	name     string // under which its record is kept
	scenario emulator.Scenario
	seed     uint64

	gateway     string // program of the gateways; "": they are started by hand
	gatewayArgs []string
	directory   string
	onStarted   func(loopback.Addresses) error // nil, or called before the load
	observer    emulator.Observer              // nil, or told of the run as the measurement is
}

// incompleteRunError is returned for a run that ended early. What was measured until then has been shown.
type incompleteRunError struct{ cause error }

func (e *incompleteRunError) Error() string {
	if errors.Is(e.cause, context.Canceled) {
		return "interrupted: the figures end there, and requests that were open count as missing"
	}
	return fmt.Sprintf("the run ended early: %v", e.cause)
}

func (e *incompleteRunError) Unwrap() error { return e.cause }

// run runs the deployment. The record is nil if nothing was measured; if there is a record and an error, the run ended
// early.
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
		err = fmt.Errorf("%s ended without being told to", plural(summary.GatewayCrashes, "gateway process"))
	}
	return record, err
}

// start starts the deployment. It ends with the context only until it has started: later an interrupt must not reset
// the connections before the measurement is finished.
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
	return world, nil // worldCtx is of no use once the world is closed
}

// drive plays the load and shows how far it is.
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
				line.show("%d requests sent, of a load of %v", world.Summary().Requests, d.scenario.Length.Of())
			}
		}
	}()
	summary, err := world.Drive(ctx)
	stop()
	<-progressDone
	return summary, err
}
