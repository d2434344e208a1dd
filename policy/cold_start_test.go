package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The fleet and the time step of the cold-start tests.
const (
	coldStartEndpoints = 12
	coldStartTick      = 10 * time.Millisecond
	coldStartAt        = time.Hour // start time of all endpoints
)

// coldStartFleet emulates gateways that get their endpoint list when all endpoints have just started, so that no
// gateway can derive an endpoint's capacity from earlier traffic. Time advances in ticks.
type coldStartFleet struct {
	cfg              Config
	rng              *rand.Rand
	gateways         []*testGateway
	recordedAttempts []int // number of attempts already recorded, by gateway
	nextID           RequestID
	inFlight         []fleetAttempt
	forwarded        map[EndpointID][]time.Duration
	submitted        int
	attempts         int
	earlyAttempts    int // number of attempts in the first two seconds
}

// newColdStartFleet starts gateways with the operators' slow-start settings. The gateways start earlier than
// the endpoints by quietBefore and get no requests in that time.
func newColdStartFleet(gateways int, quietBefore time.Duration) *coldStartFleet {
	cfg := testConfig()
	cfg.GatewayCount, cfg.Classes[idempotentClass].LatencyObjective = gateways, 2*time.Second
	cfg.WarmUpInitialCapacity, cfg.WarmUpDuration = 0.16, 16*time.Second
	cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 2.5, 3*time.Second
	fleet := &coldStartFleet{cfg: cfg, rng: rand.New(rand.NewPCG(uint64(gateways), 5)),
		recordedAttempts: make([]int, gateways), forwarded: map[EndpointID][]time.Duration{}}
	list := warmingList(1, coldStartEndpoints, coldStartAt)
	for index := range gateways {
		cfg := cfg
		cfg.GatewayIndex, cfg.Seed = index, fleet.rng.Uint64()
		gateway := newTestGateway(cfg, coldStartAt-quietBefore)
		gateway.advanceTo(coldStartAt)
		gateway.engine.UpdateEndpoints(coldStartAt, UpdateFull, list)
		fleet.gateways = append(fleet.gateways, gateway)
	}
	return fleet
}

// run submits requests of one unit at random gateways until the endpoints are warm. The load is relative to the
// capacity of the warm endpoints.
func (f *coldStartFleet) run(load float64) {
	requestsPerTick := load * fleetWarmCapacity * coldStartEndpoints * coldStartTick.Seconds()
	dueRequests := 0.0
	for now := coldStartAt; now < coldStartAt+f.cfg.WarmUpDuration; now += coldStartTick {
		f.finishAttempts(now)
		for dueRequests += requestsPerTick; dueRequests >= 1; dueRequests-- {
			f.submit(now)
		}
		for index, gateway := range f.gateways {
			gateway.advanceTo(now)
			f.recordAttempts(index, now)
		}
	}
}

func (f *coldStartFleet) submit(now time.Duration) {
	gateway := f.gateways[f.rng.IntN(len(f.gateways))]
	gateway.advanceTo(now)
	f.nextID++
	f.submitted++
	gateway.engine.Submit(now, Request{ID: f.nextID, Plan: unknownPlan, Customer: CustomerID(f.nextID),
		TimeLeft: 3 * time.Second, Units: 1, SetSize: 1})
}

// recordAttempts records the attempts that a gateway has started since the last call.
func (f *coldStartFleet) recordAttempts(index int, now time.Duration) {
	gateway := f.gateways[index]
	for _, attempt := range gateway.forwarded[f.recordedAttempts[index]:] {
		f.inFlight = append(f.inFlight, fleetAttempt{now + fleetLatency, gateway, attempt.request, attempt.endpoint})
		f.forwarded[attempt.endpoint] = append(f.forwarded[attempt.endpoint], now)
		f.attempts++
		if now < coldStartAt+2*time.Second {
			f.earlyAttempts++
		}
	}
	f.recordedAttempts[index] = len(gateway.forwarded)
}

func (f *coldStartFleet) finishAttempts(now time.Duration) {
	for len(f.inFlight) > 0 && f.inFlight[0].endsAt <= now {
		attempt := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		attempt.gateway.advanceTo(now)
		attempt.gateway.finishFirstAttempt(attempt.request, attempt.endpoint, StatusOK, fleetLatency)
	}
}

// budget returns the units that the slow-start settings allow an endpoint in the window that ends at the given time.
func (f *coldStartFleet) budget(at time.Duration) float64 {
	initial := f.cfg.WarmUpInitialCapacity
	capacityShare := initial + (1-initial)*(at-coldStartAt).Seconds()/f.cfg.WarmUpDuration.Seconds()
	return f.cfg.WarmUpOverloadFactor * fleetWarmCapacity * capacityShare * f.cfg.WarmUpOverloadWindow.Seconds()
}

// worstExcess returns the highest ratio of the attempts that all gateways forwarded to one endpoint within a window to
// the slow-start bound. It examines each window that ends with an attempt.
func (f *coldStartFleet) worstExcess() float64 {
	worstRatio := 0.0
	for _, times := range f.forwarded {
		first := 0
		for i, at := range times {
			for times[first] <= at-f.cfg.WarmUpOverloadWindow {
				first++
			}
			worstRatio = max(worstRatio, float64(i-first+1)/slowStartBound(f.budget(at)))
		}
	}
	return worstRatio
}

// slowStartBound returns the most attempts in a window that the operators' slow-start rule accepts for a budget of n.
// The margin beyond the budget covers random variation of the arrivals.
func slowStartBound(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// Guards against starvation when all endpoints start at once: a warm-up budget that is a share of the forwarded rate is
// zero while nothing has been forwarded. The fleet must serve at once, also after a quiet time, and all gateways
// together must keep within the slow-start bound of each endpoint.
func TestColdStartedFleetServesWithinWarmUpBudget(t *testing.T) {
	for _, gateways := range []int{1, 3, 30, 300, 900} {
		for _, quietBefore := range []time.Duration{0, time.Minute} {
			for _, load := range []float64{0.1, 0.6, 1, 1.5, 2.5} {
				t.Run(fmt.Sprintf("%d gateways, load %v, quiet for %v", gateways, load, quietBefore), func(t *testing.T) {
					t.Parallel()
					fleet := newColdStartFleet(gateways, quietBefore)
					fleet.run(load)
					excess := fleet.worstExcess()
					served := float64(fleet.attempts) / float64(fleet.submitted)
					if excess > 1 {
						t.Errorf("the worst window has %.2f times the attempts of the slow-start bound", excess)
					}
					if served < 0.2 || fleet.earlyAttempts == 0 {
						t.Errorf("share of requests forwarded is %.2f, with %d in the first two seconds", served, fleet.earlyAttempts)
					}
					t.Logf("%.2f of the slow-start bound; share forwarded %.2f, %d early attempts",
						excess, served, fleet.earlyAttempts)
				})
			}
		}
	}
}
