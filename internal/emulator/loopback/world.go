package loopback

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// World is a deployment on sockets: its endpoints, discovery, clients and gateway processes.
type World struct {
	options    Options
	scenario   *emulator.Scenario
	scheduler  *emulator.WallScheduler
	logger     *slog.Logger
	subnet     subnet
	ctx        context.Context // ends with the world and ends its goroutines
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // goroutines that Close waits for
	launcher   *launcher

	// The fields below are accessed only in the scheduler.

	network       *model.Network
	meter         *model.Meter
	discovery     *model.Discovery
	workload      *model.Workload
	serverRandom  *rand.Rand
	gatewayRandom *rand.Rand
	attemptRandom *rand.Rand

	endpoints        []*endpoint // in the order of IDs, which begin at 1: endpoints[0] has ID 1
	gateways         []*gateway
	requests         map[emulator.RequestKey]*request
	discoveryDown    bool
	byteFaultShare   float64       // share of the responses that get a byteFault
	slowListDuration time.Duration // how long agents take to write a complete list; 0 means without delay
	zonePartitions   []int         // number of active partitions that separate each zone from the others
	resetShare       float64       // share of the attempts whose connection is reset
	aimed            aimedFaults   // active faults of single requests and attempts
	spoiltShare      float64       // share of the responses that are truncated or followed by an unsolicited one
	lastObserved     time.Duration // time of the latest observation, so that no later one has an earlier time

	ready             chan struct{} // closed when all gateways have become ready for the first time
	notReady          int           // gateways that have never been ready
	startFailed       chan struct{} // receives an item when a gateway ends before it was ever ready
	clientConnections int           // client requests that have a connection or are opening one
	pendingRequests   int           // client requests, sent or scheduled, that have no final outcome yet
	loadEnded         bool          // the workload has no further first tries
	runFinished       chan struct{} // closed when the load has ended and no request is pending
	summary           Summary
}

// Start starts the endpoints and discovery. If the options name the gateways' program, it also starts the gateways and
// waits until they are ready. The caller ends the world with Close; it also ends with ctx.
func Start(ctx context.Context, options Options) (*World, error) {
	if err := model.Validate(&options.Scenario); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if err := checkLimits(&options.Scenario); err != nil {
		return nil, err
	}
	w := newWorld(ctx, options)
	if err := w.start(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func newWorld(ctx context.Context, options Options) *World {
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	if options.Observer == nil {
		options.Observer = emulator.Observers{}
	}
	w := &World{
		options:        options,
		scenario:       &options.Scenario,
		scheduler:      emulator.NewWallScheduler(),
		logger:         options.Logger,
		subnet:         newSubnet(),
		network:        model.NewNetwork(options.Scenario.Network, model.StreamNetwork.Random(options.Seed)),
		meter:          model.NewMeter(options.Scenario.Meter, model.StreamMeter.Random(options.Seed)),
		serverRandom:   model.StreamServers.Random(options.Seed),
		gatewayRandom:  model.StreamGateways.Random(options.Seed),
		attemptRandom:  model.StreamAttempts.Random(options.Seed),
		requests:       map[emulator.RequestKey]*request{},
		zonePartitions: make([]int, model.Zones(&options.Scenario)),
		ready:          make(chan struct{}),
		notReady:       options.Scenario.Gateways,
		startFailed:    make(chan struct{}, options.Scenario.Gateways),
		runFinished:    make(chan struct{}),
	}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.discovery = model.NewDiscovery(options.Scenario.Discovery, w.scheduler, model.StreamDiscovery.Random(options.Seed))
	w.discovery.OnOverdue = w.markNotified
	w.launcher = newLauncher()
	return w
}

// start opens all listeners, writes the configurations and starts the gateways.
func (w *World) start() error {
	addresses, err := w.subnet.reserve(gatewayHost, w.scenario.Gateways)
	if err != nil {
		return err
	}
	w.scheduler.Do(func() {
		if err = w.openListeners(addresses); err != nil {
			return
		}
		for _, g := range w.gateways {
			if err = g.writeConfig(); err != nil {
				return
			}
			if w.startsGateways() {
				g.start()
			} else {
				g.awaitReadiness()
			}
		}
	})
	if err != nil || !w.startsGateways() {
		return err
	}
	return w.awaitReady(w.ctx, readyTimeout)
}

func (w *World) openListeners(gatewayAddresses []string) error {
	for number := range w.scenario.Endpoints.Count {
		zone, cell := model.ZoneOf(w.scenario, number), model.CellOf(w.scenario, number)
		startedAt := time.Duration(0)
		switch {
		case w.options.ColdStart:
			startedAt = w.scheduler.Now()
		case w.options.EndpointAge > 0:
			startedAt = w.scheduler.Now() - w.options.EndpointAge
		}
		if err := w.addEndpoint(zone, cell, startedAt); err != nil {
			return err
		}
	}
	for number, address := range gatewayAddresses {
		g, err := newGateway(w, number, address)
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	return nil
}

// startsGateways reports whether the world starts the gateway processes itself.
func (w *World) startsGateways() bool { return w.options.Gateway != "" }

// awaitReady waits until all gateways have become ready for the first time. It waits without a limit if timeout is 0.
func (w *World) awaitReady(ctx context.Context, timeout time.Duration) error {
	var expired <-chan time.Time
	if timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.ready:
		return nil
	case <-w.startFailed:
		return fmt.Errorf("%w: a gateway process has ended; the logs are in %s", ErrNotReady, w.options.Directory)
	case <-expired:
		return fmt.Errorf("%w; the logs are in %s", ErrNotReady, w.options.Directory)
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Addresses returns the socket addresses of the deployment.
func (w *World) Addresses() Addresses {
	var addresses Addresses
	w.scheduler.Do(func() {
		for _, g := range w.gateways {
			addresses.Gateways = append(addresses.Gateways, GatewayAddress{
				Listen:    g.address,
				Discovery: g.agent.address,
				Config:    g.configPath,
				Log:       g.logPath,
			})
		}
		for _, e := range w.endpoints {
			addresses.Endpoints = append(addresses.Endpoints, e.address)
		}
	})
	return addresses
}

// Close ends the gateway processes and closes all sockets. It returns once no goroutine of the world runs any more.
func (w *World) Close() {
	w.cancel()         // the end of the context also kills the processes
	w.scheduler.Stop() // no scheduled function runs after this, so the fields can be read here
	for _, g := range w.gateways {
		g.agent.close()
		g.closeIdle()
	}
	for _, e := range w.endpoints {
		e.closeListener()
		for _, c := range e.connections {
			closeWithReset(c.conn)
		}
	}
	w.goroutines.Wait()
	w.launcher.close()
}

// observe passes an observation on. Once the context has ended it does nothing, because the world then ends its
// processes and closes its connections itself.
func (w *World) observe(observation emulator.Observation) {
	if w.ctx.Err() != nil {
		return
	}
	w.lastObserved = max(w.lastObserved, w.scheduler.Now())
	w.options.Observer.Observe(w.lastObserved, observation)
}

// markNotified records that a gateway counts as notified of entries of the endpoint list.
func (w *World) markNotified(gateway int, list []policy.Endpoint) {
	w.gateways[gateway].markNotified(list)
}

// reachable reports whether no partition separates a gateway from an endpoint.
func (w *World) reachable(gateway int, e *endpoint) bool {
	if e.partitions > 0 {
		return false
	}
	zone := w.gateways[gateway].zone
	return zone == e.zone || w.zonePartitions[zone] == 0 && w.zonePartitions[e.zone] == 0
}

// longestDeadline returns the longest deadline of all classes.
func (w *World) longestDeadline() time.Duration {
	var longest time.Duration
	for i := range w.scenario.Classes {
		longest = max(longest, w.scenario.Classes[i].Deadline.AsDuration())
	}
	return longest
}
