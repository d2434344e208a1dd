// Package gateway runs one gateway process: it connects the parts, serves until it is told to stop, and shuts down
// gracefully.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"springfield/internal/clock"
	"springfield/internal/config"
	"springfield/internal/counters"
	"springfield/internal/discovery"
	"springfield/internal/eventloop"
	"springfield/internal/frontend"
	"springfield/internal/invariant"
	"springfield/internal/oserror"
	"springfield/internal/upstream"
)

// firstListWait bounds how long readiness waits for the first answer of discovery.
const firstListWait = 300 * time.Millisecond

// NetworkHooks replace the calls of a gateway to the network. Soak tests inject faults through them. The zero value
// replaces nothing.
type NetworkHooks struct {
	WrapListener func(net.Listener) (net.Listener, error) // wraps the listener for clients
	Dial         upstream.Dialer                          // opens connections to endpoints
}

// options are the parts of a run that tests replace. The zero value is a production run.
type options struct {
	drainDelay time.Duration                         // how long new connections are accepted in a drain; 0: drainDelay
	dial       upstream.Dialer                       // opens connections to endpoints; nil: the default of upstream
	wrapEngine func(frontend.Engine) frontend.Engine // wraps the event loop that serves clients; nil: it is used as it is
	inspect    func(*frontend.Server)                // is shown the server before it serves
}

// components are the running parts of a gateway.
type components struct {
	clock     clock.Clock
	loop      *eventloop.Loop
	discovery *discovery.Client
	server    *frontend.Server
}

// Run serves clients until ctx ends. Then it drains: it goes on accepting connections for a short time, answers every
// request that it has accepted, and returns. At each signal on reload it reads its configuration again.
func Run(ctx context.Context, cfg *config.Config, reload <-chan os.Signal, hooks NetworkHooks) error {
	var listener net.Listener
	err := oserror.RetryShortage(ctx, func() (err error) {
		listener, err = net.Listen("tcp", cfg.Listen)
		return err
	})
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	if hooks.WrapListener != nil {
		if listener, err = hooks.WrapListener(listener); err != nil {
			return err
		}
	}
	slog.Info("listening", "name", cfg.Name, "address", listener.Addr().String())
	return run(ctx, cfg, listener, reload, options{dial: hooks.Dial})
}

// run is Run on a listener that is open already; it closes the listener.
func run(ctx context.Context, cfg *config.Config, listener net.Listener, reload <-chan os.Signal, opts options) error {
	defer func() { _ = listener.Close() }() // a drain has closed it already
	seed, err := cfg.RandomSeed()
	if err != nil {
		return err
	}
	// The components outlive ctx: they are needed until the last request is answered.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	parts := start(background, &running, cfg, seed, reload, opts)
	defer logSummary(parts.loop)
	defer running.Wait()
	defer stop()
	if opts.inspect != nil {
		opts.inspect(parts.server)
	}
	served := make(chan error, 1)
	go func() { served <- parts.server.Serve(listener) }()
	awaitFirstList(ctx, parts.discovery)
	parts.server.SetReady()
	slog.Info("ready")

	select {
	case err := <-served:
		slog.Error("accepting failed", "err", err)
		served <- err // for the drain: requests that are open are answered all the same
		return errors.Join(fmt.Errorf("serve clients: %w", err),
			shutDown(parts, listener, served, cfg.LongestDeadline(), opts))
	case <-ctx.Done():
	}
	return shutDown(parts, listener, served, cfg.LongestDeadline(), opts)
}

// logSummary logs, at the end of the process, what has been counted.
func logSummary(loop *eventloop.Loop) {
	attributes := append(counters.Summary(), loop.Decisions()...)
	slog.Info("summary", append(attributes, "violations", invariant.Total())...)
}

// start builds the components and starts their goroutines, which run until ctx ends. The endpoint list of the
// configuration is in use once it returns.
func start(ctx context.Context, running *sync.WaitGroup, cfg *config.Config, seed uint64, reload <-chan os.Signal,
	opts options) *components {
	gatewayClock := clock.New()
	pool := upstream.NewPool(upstream.Options{
		Dial:           opts.dial,
		DialTimeout:    cfg.DialTimeout(),
		IdleTimeout:    cfg.UpstreamIdleTimeout(),
		MaxConnections: cfg.UpstreamConnections(),
	})
	loop := eventloop.New(gatewayClock, cfg.PolicyConfig(seed), pool)
	running.Go(func() { loop.Run(ctx) })
	running.Go(func() { pool.Run(ctx) })

	discoveryClient := discovery.NewClient(discovery.Options{
		Clock:   gatewayClock,
		Address: cfg.Discovery,
		Zones:   cfg.Settings.Zones,
		Pacing:  discovery.PacingFor(&cfg.Settings),
		Seed:    seed,
	}, loop)
	discoveryClient.PublishCached(ctx, cfg.Known)
	running.Go(func() { discoveryClient.Run(ctx) })
	running.Go(func() {
		config.Follow(ctx, cfg, reload, func(fresh *config.Config, askedAt time.Time) {
			discoveryClient.Migrate(fresh.Discovery, askedAt)
		})
	})

	var engine frontend.Engine = loop
	if opts.wrapEngine != nil {
		engine = opts.wrapEngine(engine)
	}
	server := frontend.NewServer(frontend.Options{
		Clock:           gatewayClock,
		Engine:          engine,
		Settings:        &cfg.Settings,
		MaxConnections:  cfg.ClientConnections(),
		LongestDeadline: cfg.LongestDeadline(),
	})
	return &components{clock: gatewayClock, loop: loop, discovery: discoveryClient, server: server}
}

// awaitFirstList waits until discovery has answered, for a short time at most: without an endpoint list the gateway
// can only reject requests, but it has to become ready all the same.
func awaitFirstList(ctx context.Context, client *discovery.Client) {
	select {
	case <-client.FirstResponse():
	case <-time.After(firstListWait):
	case <-ctx.Done():
	}
}
