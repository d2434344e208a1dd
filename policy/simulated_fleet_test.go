package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"time"
)

// fleetScenario configures one seeded run of a simulated fleet. Each run has bursts, faults, slow and restarting
// endpoints, delayed usage readings, and a shutdown at the end.
type fleetScenario struct {
	name        string
	seed        uint64
	gateways    int
	endpoints   int
	requestRate float64 // requests/s of all clients
	greedyOnly  bool    // only the four customers that exceed their quotas send requests
	configure   func(*Config)
	wantHash    string // SHA-256 of all actions in order
}

// simulatedFleet simulates endpoints, clients, the usage meter and discovery for its gateways.
type simulatedFleet struct {
	scenario     fleetScenario
	cfg          Config
	rng          *rand.Rand
	now          time.Duration
	queue        eventQueue
	gateways     []*simulatedGateway
	endpoints    []*simulatedEndpoint
	nextID       RequestID
	meteredUnits map[CustomerID]map[int64]float64 // units by second of the simulated time
	hash         hash.Hash                        // hash of all actions
	actionCounts map[string]int                   // number of actions, by name
}

// simulatedEndpoint is an endpoint whose requests wait for one another in a queue.
type simulatedEndpoint struct {
	Endpoint
	slowdown  float64       // factor on the service time
	busyUntil time.Duration // end of the queued work
	faulty    bool          // fails a quarter of its attempts
}

// firstSimulatedID is the id of the first simulated endpoint.
const firstSimulatedID = 100

func newSimulatedFleet(scenario fleetScenario) *simulatedFleet {
	cfg := testConfig()
	cfg.GatewayCount = scenario.gateways
	cfg.Classes[keyedClass].KeyScope = []KeyScope{KeyScopeFleet, KeyScopeZone, KeyScopeCell}[scenario.seed%3]
	scenario.configure(&cfg)
	fleet := &simulatedFleet{scenario: scenario, cfg: cfg, rng: rand.New(rand.NewPCG(scenario.seed, 0)), now: time.Hour,
		meteredUnits: map[CustomerID]map[int64]float64{}, hash: sha256.New(), actionCounts: map[string]int{}}
	for i := range scenario.endpoints {
		fleet.endpoints = append(fleet.endpoints, &simulatedEndpoint{
			slowdown: 0.5 + fleet.rng.Float64(),
			faulty:   i%6 == 5,
			Endpoint: Endpoint{ID: EndpointID(firstSimulatedID + i), Weight: float64(1 + i%2), State: StateReady,
				Zone: i % 2, Cell: i % 3},
		})
	}
	for i := range scenario.gateways {
		cfg.GatewayIndex, cfg.Zone, cfg.Seed = i, i%2, scenario.seed*1000+uint64(i)
		fleet.gateways = append(fleet.gateways, startSimulatedGateway(fleet, cfg))
	}
	return fleet
}

func (f *simulatedFleet) endpointList() []Endpoint {
	var list []Endpoint
	for _, endpoint := range f.endpoints {
		list = append(list, endpoint.Endpoint)
	}
	return list
}

// after schedules a call after the given delay.
func (f *simulatedFleet) after(delay time.Duration, run func()) {
	f.queue.add(f.now+max(0, delay), run)
}

func (f *simulatedFleet) run(length time.Duration) {
	end := f.now + length
	f.after(0, f.submitRandomRequest)
	f.after(2*time.Second, f.changeEndpoint)
	f.after(length-time.Second, func() {
		for _, gateway := range f.gateways {
			gateway.engine.BeginShutdown(f.now, f.now+700*time.Millisecond)
		}
	})
	for due, ok := f.queue.popDue(end); ok; due, ok = f.queue.popDue(end) {
		f.now = due.at
		due.run()
	}
}

// submitRandomRequest submits a request of a random customer and schedules the next one. The rate doubles for a third
// of the time.
func (f *simulatedFleet) submitRandomRequest() {
	requestRate := f.scenario.requestRate
	if int(f.now/time.Second)%6 >= 4 {
		requestRate *= 2
	}
	f.after(time.Duration(f.rng.ExpFloat64()/requestRate*float64(time.Second)), f.submitRandomRequest)
	customer := f.rng.IntN(40)
	if f.scenario.greedyOnly || f.rng.IntN(3) == 0 {
		customer = f.rng.IntN(4) // one of the four customers that exceed their quotas
	}
	setSize := 1 + customer%f.scenario.gateways
	f.nextID++
	request := &simulatedRequest{inFlight: noAttempt, Request: Request{
		ID:       f.nextID,
		Class:    f.rng.IntN(len(f.cfg.Classes)),
		Plan:     customer % 4, // plan 3 is not configured
		Customer: CustomerID(customer),
		Units:    float64(1 + f.rng.IntN(4)),
		SetSize:  setSize,
		SetFirst: customer,
		TimeLeft: time.Duration(100+f.rng.IntN(1900)) * time.Millisecond,
	}}
	gateway := f.gateways[(customer+f.rng.IntN(setSize))%f.scenario.gateways]
	gateway.requests[request.ID] = request
	if f.rng.IntN(25) == 0 {
		f.after(time.Duration(f.rng.IntN(400))*time.Millisecond, func() { gateway.disconnect(request) })
	}
	gateway.engine.Submit(f.now, request.Request)
}

// changeEndpoint drains, removes, restarts or slows down an endpoint, or sends the full list, and schedules the next
// change. The update reaches the gateways with different delays.
func (f *simulatedFleet) changeEndpoint() {
	f.after(1500*time.Millisecond, f.changeEndpoint)
	endpoint := f.endpoints[f.rng.IntN(len(f.endpoints))]
	kind := UpdateDelta
	switch f.rng.IntN(6) {
	case 0:
		endpoint.State = StateDraining
	case 1:
		endpoint.State = StateRemoved
	case 2, 3:
		endpoint.State, endpoint.StartedAt = StateReady, f.now
	case 4:
		endpoint.slowdown *= 4
	default:
		kind = UpdateFull
	}
	list := []Endpoint{endpoint.Endpoint}
	if kind == UpdateFull {
		list = f.endpointList()
	}
	for i, gateway := range f.gateways {
		f.after(time.Duration(50*(i%8))*time.Millisecond, func() {
			if f.rng.IntN(10) == 0 {
				gateway.engine.UpdateEndpoints(f.now, UpdateFailed, nil)
			}
			gateway.engine.UpdateEndpoints(f.now, kind, list)
		})
	}
}

// record adds an action to the hash. The action names and the line format are part of the recorded hashes, so that they
// must not change.
func (f *simulatedFleet) record(gateway *simulatedGateway, action string, values ...any) {
	f.actionCounts[action]++
	_, _ = fmt.Fprintln(f.hash, int64(f.now), gateway.index, action, values) // writing to a hash never fails
}

func (f *simulatedFleet) actionsHash() string { return hex.EncodeToString(f.hash.Sum(nil)) }

// recordUsage adds the units of a forwarded request to the metered usage of its customer.
func (f *simulatedFleet) recordUsage(request *simulatedRequest) {
	if f.meteredUnits[request.Customer] == nil {
		f.meteredUnits[request.Customer] = map[int64]float64{}
	}
	f.meteredUnits[request.Customer][int64(f.now/time.Second)] += request.Units
}

// usageReading returns the usage of the request's customer in the last period that the meter has evaluated, as a share
// of its quota. It reports false if there is no meter or no quota.
func (f *simulatedFleet) usageReading(request *simulatedRequest) (usage float64, ok bool) {
	if f.cfg.MeterPeriod <= 0 || request.Plan >= len(f.cfg.Plans) || f.cfg.Plans[request.Plan].QuotaRate <= 0 {
		return 0, false
	}
	period := int64((f.now-400*time.Millisecond)/f.cfg.MeterPeriod) - 1
	units := f.meteredUnits[request.Customer][period]
	usage = units / f.cfg.MeterPeriod.Seconds() / f.cfg.Plans[request.Plan].QuotaRate
	return math.Round(usage*100) / 100, true
}

// serveAttempt queues an attempt at an endpoint and returns how and after what time it ends.
func (f *simulatedFleet) serveAttempt(
	endpoint *simulatedEndpoint, units float64,
) (status Status, latency time.Duration) {
	work := time.Duration(endpoint.slowdown * units * (0.5 + f.rng.Float64()) * float64(10*time.Millisecond))
	endpoint.busyUntil = max(endpoint.busyUntil, f.now) + work/2
	wait := endpoint.busyUntil - f.now
	switch draw := f.rng.IntN(40); {
	case endpoint.State != StateReady || wait > 600*time.Millisecond:
		return StatusRejected, 2 * time.Millisecond
	case endpoint.faulty && draw < 10:
		faults := []Status{StatusServerError, StatusReset, StatusConnectFailed, StatusRejected}
		return faults[draw%len(faults)], wait + work/2
	case draw == 20:
		return StatusOK, time.Hour // an attempt that is never answered
	case draw == 21:
		return StatusNotSent, 0
	}
	return StatusOK, wait + work/2
}
