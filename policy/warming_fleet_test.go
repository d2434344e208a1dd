package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// The endpoints of a warmingFleet: some are warm, the others warm up.
const (
	fleetWarmEndpoints    = 12
	fleetWarmingEndpoints = 6
	fleetFirstWarmingID   = 1000
	fleetWarmingStart     = 60 * time.Second // start of the endpoints that warm up
	fleetWarmCapacity     = 20.0             // units/s of a warm endpoint
	fleetCapacity         = fleetWarmCapacity * fleetWarmEndpoints
	fleetLatency          = 100 * time.Millisecond
)

// warmingList returns ready endpoints that started at the given time, with consecutive ids from firstID.
func warmingList(firstID EndpointID, count int, startedAt time.Duration) (list []Endpoint) {
	for i := range count {
		list = append(list, Endpoint{ID: firstID + EndpointID(i), Weight: 1, State: StateReady, StartedAt: startedAt})
	}
	return list
}

// warmingFleet emulates gateways in front of endpoints of which some warm up, with seeded random arrivals. It records
// what all gateways together forward to each endpoint that warms up.
type warmingFleet struct {
	cfg               Config
	rng               *rand.Rand
	now               time.Duration
	gateways          []*testGateway
	notifiedAt        []time.Duration // time of each gateway's list update with the endpoints that warm up
	receivingGateways int             // only the first gateways, this many, get requests
	requestSizes      []float64       // units of requests, drawn at random; empty: always meanUnits
	meanUnits         float64
	nextID            RequestID
	inFlight          []fleetAttempt              // attempts in flight, ordered by their end
	forwardedUnits    map[EndpointID][]timedUnits // units forwarded to each endpoint that warms up
	recordedAttempts  map[*testGateway]int        // number of attempts already recorded, by gateway
	requestUnits      map[RequestID]float64       // units of each request
}

// fleetAttempt is an attempt in flight of one of a fleet's gateways.
type fleetAttempt struct {
	endsAt   time.Duration
	gateway  *testGateway
	request  RequestID
	endpoint EndpointID
}

// timedUnits records the units of an attempt and when it was forwarded.
type timedUnits struct {
	at    time.Duration
	units float64
}

func newWarmingFleet(gateways int, largeRequests bool) *warmingFleet {
	cfg := testConfig()
	cfg.GatewayCount, cfg.Classes[idempotentClass].LatencyObjective = gateways, 2*time.Second
	cfg.WarmUpInitialCapacity, cfg.WarmUpDuration = 0.2, 12*time.Second
	cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 2.5, 3*time.Second
	fleet := &warmingFleet{cfg: cfg, rng: rand.New(rand.NewPCG(uint64(gateways), 11)),
		gateways: make([]*testGateway, gateways), notifiedAt: make([]time.Duration, gateways), receivingGateways: gateways,
		requestSizes: []float64{1, 1, 1, 1, 1, 2, 2, 2, 3, 4}, meanUnits: 1.8, forwardedUnits: map[EndpointID][]timedUnits{},
		recordedAttempts: map[*testGateway]int{}, requestUnits: map[RequestID]float64{}}
	if largeRequests {
		fleet.requestSizes, fleet.meanUnits = nil, 4
	}
	return fleet
}

// run runs a scenario from the start of the fleet until all endpoints are warm.
func (f *warmingFleet) run(scenario warmUpScenario) {
	for index := range f.gateways {
		f.startGateway(index)
		f.notifiedAt[index] = fleetWarmingStart
		if scenario.staggered {
			f.notifiedAt[index] += time.Duration(index) * 3 * time.Second / time.Duration(len(f.gateways))
		}
	}
	loadBefore, loadAfter := scenario.loadBefore*fleetCapacity, scenario.loadAfter*fleetCapacity
	if scenario.mostRestarted {
		f.advanceTo(fleetWarmingStart-20*time.Second, loadBefore)
		f.receivingGateways = max(1, len(f.gateways)*3/10)
	}
	f.advanceTo(fleetWarmingStart-time.Second, loadBefore)
	for index := f.receivingGateways; index < len(f.gateways); index++ {
		f.startGateway(index)
	}
	f.receivingGateways = len(f.gateways)
	for index := 0; scenario.someRestarted && index < len(f.gateways); index += 3 {
		f.startGateway(index)
	}
	f.advanceTo(fleetWarmingStart, loadBefore)
	if scenario.quietAfterStart {
		f.advanceTo(fleetWarmingStart+3*f.cfg.WarmUpOverloadWindow, 1)
	}
	f.advanceTo(fleetWarmingStart+f.cfg.WarmUpDuration, loadAfter)
}

// startGateway starts or restarts a gateway.
func (f *warmingFleet) startGateway(index int) {
	cfg := f.cfg
	cfg.GatewayIndex, cfg.Seed = index, f.rng.Uint64()
	gateway := newTestGateway(cfg, f.now)
	gateway.engine.UpdateEndpoints(f.now, UpdateCached, readyEndpoints(fleetWarmEndpoints))
	f.gateways[index] = gateway
}

// advanceTo submits requests at random times until the given time, at a rate in units/s over all gateways.
func (f *warmingFleet) advanceTo(until time.Duration, rate float64) {
	for {
		interval := f.rng.ExpFloat64() * f.meanUnits / rate
		at := f.now + time.Duration(interval*float64(time.Second))
		end := min(at, until)
		f.finishAttempts(end, rate)
		f.updateEndpoints(end)
		f.now = end
		if at > until {
			return
		}
		f.submit()
	}
}

// finishAttempts ends the attempts that are due. At a rate over the endpoints' capacity, the excess is rejected.
func (f *warmingFleet) finishAttempts(until time.Duration, rate float64) {
	for len(f.inFlight) > 0 && f.inFlight[0].endsAt <= until {
		attempt := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		status := StatusOK
		if f.rng.Float64()*rate > fleetCapacity {
			status = StatusRejected
		}
		f.advance(attempt.gateway, attempt.endsAt)
		attempt.gateway.finishFirstAttempt(attempt.request, attempt.endpoint, status, fleetLatency)
	}
}

// updateEndpoints sends the endpoints that warm up to the gateways that are due to be notified.
func (f *warmingFleet) updateEndpoints(until time.Duration) {
	list := warmingList(fleetFirstWarmingID, fleetWarmingEndpoints, fleetWarmingStart)
	for index, notifiedAt := range f.notifiedAt {
		if notifiedAt > f.now && notifiedAt <= until {
			f.advance(f.gateways[index], notifiedAt)
			f.gateways[index].engine.UpdateEndpoints(notifiedAt, UpdateDelta, list)
		}
	}
}

// submit submits a request of a new customer at a random gateway.
func (f *warmingFleet) submit() {
	gateway := f.gateways[f.rng.IntN(f.receivingGateways)]
	f.advance(gateway, f.now)
	f.nextID++
	requestUnits := f.meanUnits
	if len(f.requestSizes) > 0 {
		requestUnits = f.requestSizes[f.rng.IntN(len(f.requestSizes))]
	}
	f.requestUnits[f.nextID] = requestUnits
	gateway.engine.Submit(f.now, Request{ID: f.nextID, Plan: unknownPlan, Customer: CustomerID(f.nextID),
		TimeLeft: time.Second, Units: requestUnits, SetSize: 1})
	f.recordAttempts(gateway)
}

// advance moves a gateway's time forward and records the attempts of queued requests that it forwards.
func (f *warmingFleet) advance(gateway *testGateway, until time.Duration) {
	gateway.advanceTo(max(until, gateway.now))
	f.recordAttempts(gateway)
}

// recordAttempts records the attempts that a gateway has started since the last call.
func (f *warmingFleet) recordAttempts(gateway *testGateway) {
	for _, started := range gateway.forwarded[f.recordedAttempts[gateway]:] {
		attempt := fleetAttempt{started.at + fleetLatency, gateway, started.request, started.endpoint}
		position := sort.Search(len(f.inFlight), func(i int) bool { return f.inFlight[i].endsAt > attempt.endsAt })
		f.inFlight = slices.Insert(f.inFlight, position, attempt)
		if started.endpoint >= fleetFirstWarmingID {
			f.recordUnits(started.endpoint, timedUnits{started.at, f.requestUnits[started.request]})
		}
	}
	f.recordedAttempts[gateway] = len(gateway.forwarded)
}

// recordUnits inserts units that were forwarded to an endpoint in the order of time.
func (f *warmingFleet) recordUnits(endpoint EndpointID, forwarded timedUnits) {
	recorded := f.forwardedUnits[endpoint]
	position := sort.Search(len(recorded), func(i int) bool { return recorded[i].at > forwarded.at })
	f.forwardedUnits[endpoint] = slices.Insert(recorded, position, forwarded)
}

// worstExcess returns the largest excess over the budget within a window, relative to the margin for random variation.
// It examines each window that ends with an attempt. A result over 1 breaks the slow-start bound.
func (f *warmingFleet) worstExcess() float64 {
	worstRatio := math.Inf(-1)
	window := f.cfg.WarmUpOverloadWindow
	for _, attempts := range f.forwardedUnits {
		first, units := 0, 0.0
		for _, attempt := range attempts {
			units += attempt.units
			for attempts[first].at <= attempt.at-window {
				units -= attempts[first].units
				first++
			}
			budget := f.budgetRate(attempt.at) * window.Seconds() / f.meanUnits
			worstRatio = max(worstRatio, (units/f.meanUnits-budget)/(2*math.Sqrt(budget)+2))
		}
	}
	return worstRatio
}

// budgetRate returns the units/s that all gateways together may forward to an endpoint that warms up.
func (f *warmingFleet) budgetRate(at time.Duration) float64 {
	initial := f.cfg.WarmUpInitialCapacity
	capacityShare := initial + (1-initial)*(at-fleetWarmingStart).Seconds()/f.cfg.WarmUpDuration.Seconds()
	return f.cfg.WarmUpOverloadFactor * fleetWarmCapacity * capacityShare
}

// usedBudget returns the used share of the total warm-up budget of all endpoints that warm up.
func (f *warmingFleet) usedBudget() float64 {
	used := 0.0
	for _, attempts := range f.forwardedUnits {
		for _, attempt := range attempts {
			used += attempt.units
		}
	}
	meanRate := f.budgetRate(fleetWarmingStart + f.cfg.WarmUpDuration/2)
	return used / (meanRate * f.cfg.WarmUpDuration.Seconds() * fleetWarmingEndpoints)
}
