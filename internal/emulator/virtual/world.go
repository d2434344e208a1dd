package virtual

import (
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// world holds the state of an emulated deployment on virtual time.
type world struct {
	scenario   *emulator.Scenario
	seed       uint64
	newDecider emulator.NewDecider
	observer   emulator.Observer
	scheduler  *emulator.VirtualScheduler

	workload    *model.Workload
	network     *model.Network
	meter       *model.Meter
	ledger      *model.Ledger
	discovery   *model.Discovery
	groundTruth *groundTruth
	endpoints   []*endpoint // endpoint IDs start at 1: endpoints[0] has ID 1
	gateways    []*gateway

	serverRandom  *rand.Rand
	gatewayRandom *rand.Rand
	attemptRandom *rand.Rand

	partitionsByZone []int   // number of active partitions that separate each zone from the others
	resetShare       float64 // share of the attempts whose connection is reset
	spoiltShare      float64 // share of the successful responses that the gateway cannot parse

	// pendingRequests is the number of client requests, scheduled or sent, without a final outcome. A retry belongs to
	// the request of its first try.
	pendingRequests int
	requests        int64 // tries that arrived at gateways, client retries included
	attempts        int64 // attempts sent to endpoints
	connections     int64 // connections opened by gateways
}

func newWorld(options *Options) *world {
	scenario := &options.Scenario
	w := &world{
		scenario:         scenario,
		seed:             options.Seed,
		newDecider:       options.NewDecider,
		observer:         options.Observer,
		scheduler:        emulator.NewVirtualScheduler(StartTime),
		network:          model.NewNetwork(scenario.Network, model.StreamNetwork.Random(options.Seed)),
		meter:            model.NewMeter(scenario.Meter, model.StreamMeter.Random(options.Seed)),
		ledger:           model.NewLedger(scenario.Plans),
		serverRandom:     model.StreamServers.Random(options.Seed),
		gatewayRandom:    model.StreamGateways.Random(options.Seed),
		attemptRandom:    model.StreamAttempts.Random(options.Seed),
		partitionsByZone: make([]int, model.Zones(scenario)),
	}
	if w.observer == nil {
		w.observer = emulator.Observers{}
	}
	w.workload = model.NewWorkload(scenario, options.Seed, StartTime)
	w.discovery = model.NewDiscovery(scenario.Discovery, w.scheduler, model.StreamDiscovery.Random(options.Seed))
	w.discovery.OnOverdue = func(gateway int, list []policy.Endpoint) { w.gateways[gateway].countAsNotified(list) }
	w.groundTruth = newGroundTruth(w)
	for number := range scenario.Endpoints.Count {
		w.addEndpoint(model.ZoneOf(scenario, number), model.CellOf(scenario, number), 0)
	}
	for number := range scenario.Gateways {
		w.gateways = append(w.gateways, newGateway(w, number))
	}
	return w
}

// start starts the gateways with the current endpoint list, schedules the faults and begins the load.
func (w *world) start() {
	_, list := w.discovery.List()
	for _, g := range w.gateways {
		g.start(list)
	}
	faults := model.StreamFaults.Random(w.seed)
	model.ScheduleFaults(w.scenario, w.scheduler, faults, faultTarget{w}, w.observer)
	w.scheduleNextArrival()
}

// scheduleNextArrival schedules the next first try of a client. Each first try that is sent schedules the next one.
func (w *world) scheduleNextArrival() {
	arrival, ok := w.workload.Next()
	if !ok {
		return
	}
	w.pendingRequests++
	w.scheduler.After(arrival.At-w.scheduler.Now(), func() {
		w.submit(arrival)
		w.scheduleNextArrival()
	})
}

func (w *world) observe(observation emulator.Observation) {
	w.observer.Observe(w.scheduler.Now(), observation)
}

// reachable reports whether no active partition separates a gateway from an endpoint.
func (w *world) reachable(g *gateway, e *endpoint) bool {
	if e.partitions > 0 {
		return false
	}
	return g.zone == e.zone || w.partitionsByZone[g.zone] == 0 && w.partitionsByZone[e.zone] == 0
}

// longestDeadline returns the longest deadline of all request classes.
func (w *world) longestDeadline() time.Duration {
	var longest time.Duration
	for i := range w.scenario.Classes {
		longest = max(longest, w.scenario.Classes[i].Deadline.AsDuration())
	}
	return longest
}
