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
	started     func(loopback.Addresses) error // nil, or called before the load
	observer    emulator.Observer              // nil, or told of the run as the measurement is
}

// interruptedError is returned for a run that ended early. What was measured until then has been shown.
type interruptedError struct{ cause error }

func (e *interruptedError) Error() string {
	if errors.Is(e.cause, context.Canceled) {
		return "interrupted: the figures end there, and requests that were open count as missing"
	}
	return fmt.Sprintf("the run ended early: %v", e.cause)
}

func (e *interruptedError) Unwrap() error { return e.cause }

// run runs the deployment. The record is nil if nothing was measured; if there is a record and an error, the run ended
// early.
func (d *deployment) run(ctx context.Context, stderr io.Writer) (*experiment.Record, error) {
	version, err := programVersion()
	if err != nil {
		return nil, err
	}
	measured := newMeasurement(&d.scenario)
	began := time.Now()
	observers := emulator.Observers{measured}
	if d.observer != nil {
		observers = append(observers, d.observer)
	}
	world, err := d.start(ctx, observers, stderr)
	if err != nil {
		return nil, err
	}
	defer world.Close()
	if d.started != nil {
		if err := d.started(world.Addresses()); err != nil {
			return nil, err
		}
	}
	summary, err := d.drive(ctx, world, stderr)
	result, rules, ok := measured.finish()
	if !ok {
		return nil, fmt.Errorf("the run ended before its load began: %w", err)
	}
	record := &experiment.Record{Experiment: d.name, Version: version, Form: experiment.FormLoopback,
		Decider: experiment.Springfield, Size: float64(d.scenario.Gateways), Seed: d.seed, Elapsed: time.Since(began),
		Result: result, Rules: rules}
	switch {
	case err != nil:
		err = &interruptedError{cause: err}
	case summary.GatewayCrashes > 0:
		err = fmt.Errorf("%s ended without being told to", plural(summary.GatewayCrashes, "gateway process"))
	}
	return record, err
}

// start starts the deployment. It ends with the context only until it has started: later an interrupt must not reset
// the connections before the measurement is finished.
func (d *deployment) start(ctx context.Context, observer emulator.Observer, stderr io.Writer) (*loopback.World, error) {
	shown := newProgress(stderr)
	shown.show("starting %s and %s", plural(d.scenario.Gateways, "gateway"),
		plural(d.scenario.Endpoints.Count, "endpoint"))
	defer shown.clear()
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
	shown := newProgress(stderr)
	defer shown.clear()
	driving, stop := context.WithCancel(ctx)
	shownAll := make(chan struct{})
	go func() {
		defer close(shownAll)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-driving.Done():
				return
			case <-ticker.C:
				shown.show("%d requests sent, of a load of %v", world.Summary().Requests, d.scenario.Length.AsDuration())
			}
		}
	}()
	summary, err := world.Drive(ctx)
	stop()
	<-shownAll
	return summary, err
}
