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

// simulatedDay is one seeded day of a small simulated fleet. Its gateways meet bursts, faults, slow and
// restarting endpoints, late usage readings, and a shutdown at the end.
type simulatedDay struct {
	name      string
	seed      uint64
	gateways  int
	endpoints int
	rate      float64 // requests a second over the fleet
	greedy    bool    // all customers request more than their quotas
	configure func(*Config)
	want      string // SHA-256 of all actions, in order
}

// simulatedFleet plays the endpoints, clients, usage meter and discovery to its gateways.
type simulatedFleet struct {
	day       simulatedDay
	cfg       Config
	rng       *rand.Rand
	now       time.Duration
	queue     eventQueue
	gateways  []*simulatedGateway
	endpoints []*simulatedEndpoint
	nextID    RequestID
	used      map[CustomerID]map[int64]float64 // units by metering period
	hash      hash.Hash                        // of all actions
	counts    map[string]int                   // of the actions
}

// simulatedEndpoint is an endpoint that serves one request after another.
type simulatedEndpoint struct {
	Endpoint
	slowdown  float64 // factor on its service time
	busyUntil time.Duration
	faulty    bool
}

// firstSimulatedID is the id of the first simulated endpoint.
const firstSimulatedID = 100

func newSimulatedFleet(day simulatedDay) *simulatedFleet {
	cfg := testConfig()
	cfg.GatewayCount = day.gateways
	cfg.Classes[keyedClass].KeyScope = []KeyScope{KeyScopeFleet, KeyScopeZone, KeyScopeCell}[day.seed%3]
	day.configure(&cfg)
	fleet := &simulatedFleet{day: day, cfg: cfg, rng: rand.New(rand.NewPCG(day.seed, 0)), now: time.Hour,
		used: map[CustomerID]map[int64]float64{}, hash: sha256.New(), counts: map[string]int{}}
	for i := range day.endpoints {
		fleet.endpoints = append(fleet.endpoints, &simulatedEndpoint{
			slowdown: 0.5 + fleet.rng.Float64(),
			faulty:   i%6 == 5,
			Endpoint: Endpoint{ID: EndpointID(firstSimulatedID + i), Weight: float64(1 + i%2), State: StateReady,
				Zone: i % 2, Cell: i % 3},
		})
	}
	for i := range day.gateways {
		cfg.GatewayIndex, cfg.Zone, cfg.Seed = i, i%2, day.seed*1000+uint64(i)
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

func (f *simulatedFleet) after(delay time.Duration, run func()) {
	f.queue.add(f.now+max(0, delay), run)
}

func (f *simulatedFleet) run(length time.Duration) {
	end := f.now + length
	f.after(0, f.arrive)
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

// arrive submits a request of a random customer and plans the next arrival. A third of the time is a burst.
func (f *simulatedFleet) arrive() {
	rate := f.day.rate
	if int(f.now/time.Second)%6 >= 4 {
		rate *= 2
	}
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), f.arrive)
	customer := f.rng.IntN(40)
	if f.day.greedy || f.rng.IntN(3) == 0 {
		customer = f.rng.IntN(4) // a greedy one
	}
	setSize := 1 + customer%f.day.gateways
	f.nextID++
	request := &simulatedRequest{inFlight: noAttempt, Request: Request{
		ID:       f.nextID,
		Class:    f.rng.IntN(len(f.cfg.Classes)),
		Plan:     customer % 4, // the last one is unknown
		Customer: CustomerID(customer),
		Units:    float64(1 + f.rng.IntN(4)),
		SetSize:  setSize,
		SetFirst: customer,
		TimeLeft: time.Duration(100+f.rng.IntN(1900)) * time.Millisecond,
	}}
	gateway := f.gateways[(customer+f.rng.IntN(setSize))%f.day.gateways]
	gateway.requests[request.ID] = request
	if f.rng.IntN(25) == 0 {
		f.after(time.Duration(f.rng.IntN(400))*time.Millisecond, func() { gateway.disconnect(request) })
	}
	gateway.engine.Submit(f.now, request.Request)
}

// changeEndpoint drains, removes, restarts or slows down an endpoint, and tells the gateways.
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

// record enters an action into the hash. The names of the actions are those at the time of the recording, and
// with the form of the line they are part of what is hashed.
func (f *simulatedFleet) record(gateway *simulatedGateway, action string, values ...any) {
	f.counts[action]++
	_, _ = fmt.Fprintln(f.hash, int64(f.now), gateway.index, action, values) // a hash takes all that is written
}

func (f *simulatedFleet) actionsHash() string { return hex.EncodeToString(f.hash.Sum(nil)) }

// countUsage enters a forwarded request into the meter.
func (f *simulatedFleet) countUsage(request *simulatedRequest) {
	if f.used[request.Customer] == nil {
		f.used[request.Customer] = map[int64]float64{}
	}
	f.used[request.Customer][int64(f.now/time.Second)] += request.Units
}

// usageReading is a customer's usage in the last period that the meter has added up, as a share of its quota.
func (f *simulatedFleet) usageReading(request *simulatedRequest) (usage float64, ok bool) {
	if f.cfg.MeterPeriod <= 0 || request.Plan >= len(f.cfg.Plans) || f.cfg.Plans[request.Plan].QuotaRate <= 0 {
		return 0, false
	}
	period := int64((f.now-400*time.Millisecond)/f.cfg.MeterPeriod) - 1
	units := f.used[request.Customer][period]
	usage = units / f.cfg.MeterPeriod.Seconds() / f.cfg.Plans[request.Plan].QuotaRate
	return math.Round(usage*100) / 100, true
}

// serve plays an attempt at an endpoint: how it ends, and after what time.
func (f *simulatedFleet) serve(endpoint *simulatedEndpoint, units float64) (status Status, latency time.Duration) {
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
		return StatusOK, time.Hour // so it is silent
	case draw == 21:
		return StatusNotSent, 0
	}
	return StatusOK, wait + work/2
}
