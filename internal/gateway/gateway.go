// Package gateway runs a gateway process. It starts and connects the components, serves clients until its context ends,
// and shuts down gracefully.
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

// firstListTimeout limits how long readiness waits for the first response of discovery.
const firstListTimeout = 300 * time.Millisecond

// NetworkHooks replace the calls of a gateway to the network. Soak tests inject faults through them. The zero value
// replaces nothing.
type NetworkHooks struct {
	Listener func(net.Listener) (net.Listener, error) // wraps the listener for clients
	Dial     upstream.Dialer                          // opens connections to endpoints
}

// options holds the parameters of a run that tests override. The zero value is used in production, except that
// NetworkHooks may set dial.
type options struct {
	drainDelay time.Duration                         // how long a drain accepts new connections; 0 means the default
	dial       upstream.Dialer                       // opens connections to endpoints; nil means the default
	wrapEngine func(frontend.Engine) frontend.Engine // wraps the event loop for the frontend; nil means no wrapper
	inspect    func(*frontend.Server)                // receives the server before it serves; may be nil
}

// components holds the running components of a gateway.
type components struct {
	clock     clock.Clock
	loop      *eventloop.Loop
	discovery *discovery.Client
	server    *frontend.Server
}

// Run serves clients until ctx is done. Then it drains: it goes on accepting connections for a short time, answers
// every accepted request, and returns. It reloads the configuration at each signal on reload.
func Run(ctx context.Context, cfg *config.Config, reload <-chan os.Signal, hooks NetworkHooks) error {
	var listener net.Listener
	err := oserror.RetryShortage(ctx, func() (err error) {
		listener, err = net.Listen("tcp", cfg.Listen)
		return err
	})
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	if hooks.Listener != nil {
		if listener, err = hooks.Listener(listener); err != nil {
			return err
		}
	}
	slog.Info("listening", "name", cfg.Name, "address", listener.Addr().String())
	return run(ctx, cfg, listener, reload, options{dial: hooks.Dial})
}

// run does the work of Run with an open listener, which it closes.
func run(ctx context.Context, cfg *config.Config, listener net.Listener, reload <-chan os.Signal, opts options) error {
	defer func() { _ = listener.Close() }() // fails if the drain has closed it already
	seed, err := cfg.RandomSeed()
	if err != nil {
		return err
	}
	// The components outlive ctx, because they are needed until the last request is answered.
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
		served <- err // shutDown receives it; open requests are still answered
		return errors.Join(fmt.Errorf("serve clients: %w", err),
			shutDown(parts, listener, served, cfg.LongestDeadline(), opts))
	case <-ctx.Done():
	}
	return shutDown(parts, listener, served, cfg.LongestDeadline(), opts)
}

// logSummary logs the counters and decision totals at the end of the process.
func logSummary(loop *eventloop.Loop) {
	attributes := append(counters.Summary(), loop.DecisionCounts()...)
	slog.Info("summary", append(attributes, "violations", invariant.Total())...)
}

// start creates the components and starts their goroutines, which run until ctx is done. When it returns, the endpoint
// list of the configuration is in use.
func start(ctx context.Context, running *sync.WaitGroup, cfg *config.Config, seed uint64, reload <-chan os.Signal,
	opts options) *components {
	gatewayClock := clock.New()
	pool := upstream.NewPool(upstream.Options{
		Dial:           opts.dial,
		DialTimeout:    cfg.DialTimeout(),
		IdleTimeout:    cfg.UpstreamIdleTimeout(),
		MaxConnections: cfg.UpstreamConnections(),
		ResponseMemory: cfg.ResponseMemory(),
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
		config.ReloadOnSignal(ctx, cfg, reload, func(reloaded *config.Config, requestedAt time.Time) {
			discoveryClient.Migrate(reloaded.Discovery, requestedAt)
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
		MaxSentRequests: cfg.MaxSentRequests(),
		RequestMemory:   cfg.RequestMemory(),
	})
	return &components{clock: gatewayClock, loop: loop, discovery: discoveryClient, server: server}
}

// awaitFirstList waits for the first response of discovery, for firstListTimeout at most. Without an endpoint list the
// gateway can only reject requests, but it must become ready nevertheless.
func awaitFirstList(ctx context.Context, client *discovery.Client) {
	select {
	case <-client.FirstResponse():
	case <-time.After(firstListTimeout):
	case <-ctx.Done():
	}
}
