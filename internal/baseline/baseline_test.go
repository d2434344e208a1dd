package baseline

import (
	"maps"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

func TestAdmitAllReachesAllEndpoints(t *testing.T) {
	gateway := start(AdmitAll, testConfig(), 4)
	counts := map[policy.EndpointID]int{}
	for id := policy.RequestID(1); id <= 400; id++ {
		gateway.submit(id, idempotentClass, quotaPlan, 4)
		counts[gateway.lastEndpoint()]++
	}
	gateway.expect(t, "far over quota", 400, 0, 0)
	for id := policy.EndpointID(1); id <= 4; id++ {
		if counts[id] < 70 || counts[id] > 130 {
			t.Errorf("endpoint %d got %d of 400", id, counts[id])
		}
	}
}

// Two gateways carry the customer: each grants half of its burst of 20 units and half of its rate of 10 a second.
func TestEvenSplitGrantsItsPart(t *testing.T) {
	gateway := start(EvenSplit, testConfig(), 4)
	for id := policy.RequestID(1); id <= 12; id++ {
		gateway.submit(id, idempotentClass, quotaPlan, 1)
	}
	gateway.expect(t, "at once", 10, 2, 0)
	gateway.now += time.Second
	for id := policy.RequestID(13); id <= 18; id++ {
		gateway.submit(id, idempotentClass, quotaPlan, 1)
	}
	gateway.expect(t, "a second later", 15, 3, 0)
	gateway.now += time.Hour // the bucket is not filled beyond its part
	for id := policy.RequestID(19); id <= 30; id++ {
		gateway.submit(id, idempotentClass, quotaPlan, 1)
	}
	gateway.expect(t, "an hour later", 25, 5, 0)
	for id := policy.RequestID(31); id <= 40; id++ {
		gateway.submit(id, idempotentClass, softPlan, 1)
		gateway.submit(id+100, idempotentClass, unlimitedPlan, 100)
	}
	gateway.expect(t, "for other customers", 45, 5, 0)
}

// A customer of many gateways can send its largest request at one of them now and then.
func TestEvenSplitHoldsTheLargestRequest(t *testing.T) {
	gateway := start(EvenSplit, testConfig(), 4)
	submit := func(id policy.RequestID) {
		gateway.decider.Submit(gateway.now, policy.Request{ID: id, Plan: quotaPlan, TimeLeft: time.Second, Units: 4,
			SetSize: 100})
	}
	submit(1)
	submit(2)
	gateway.expect(t, "at once", 1, 1, 0)
	gateway.now += 40 * time.Second // at a hundredth of ten units a second
	submit(3)
	gateway.expect(t, "later", 2, 1, 0)
}

// Of two endpoints of which one has all the load, the other one is chosen unless both draws miss it.
func TestEvenSplitPrefersTheLessLoaded(t *testing.T) {
	for _, test := range []struct {
		weights [2]float64
		want    [2]int // in flight after 120 requests, about
	}{
		{[2]float64{1, 1}, [2]int{60, 60}},
		{[2]float64{2, 1}, [2]int{80, 40}},
		{[2]float64{0.5, 0.25}, [2]int{80, 40}},
		{[2]float64{0, 1}, [2]int{60, 60}},
	} {
		gateway := start(EvenSplit, testConfig(), 0)
		first, second := readyEndpoint(1), readyEndpoint(2)
		first.Weight, second.Weight = test.weights[0], test.weights[1]
		gateway.decider.UpdateEndpoints(gateway.now, policy.UpdateFull, []policy.Endpoint{first, second})
		for id := policy.RequestID(1); id <= 120; id++ {
			gateway.submit(id, idempotentClass, unlimitedPlan, 1)
		}
		for i, want := range test.want {
			got := gateway.internals().endpoints[policy.EndpointID(i+1)].inFlight
			if got < want-6 || got > want+6 {
				t.Errorf("weights %v: %d in flight at endpoint %d, want about %d", test.weights, got, i+1, want)
			}
		}
	}
}

func TestOraclesGoByTheTruth(t *testing.T) {
	for name, oracle := range map[string]struct {
		newDecider emulator.NewDecider
		age        time.Duration
	}{
		"late":    {LateOracle, time.Second},
		"instant": {InstantOracle, 0},
	} {
		gateway := start(oracle.newDecider, testConfig(), 3)
		gateway.truth.backlogs = map[policy.EndpointID]time.Duration{1: 3, 2: 1, 3: 2}
		for id := policy.RequestID(1); id <= 5; id++ {
			gateway.submit(id, idempotentClass, quotaPlan, 1)
			if gateway.lastEndpoint() != 2 {
				t.Errorf("%s: forwarded to endpoint %d, want that with the shortest queue", name, gateway.lastEndpoint())
			}
		}
		gateway.truth.quotaLeft = 1.5
		gateway.submit(6, idempotentClass, quotaPlan, 2)
		gateway.expect(t, name+" with too little quota", 5, 1, 0)
		gateway.submit(7, idempotentClass, quotaPlan, 1)
		gateway.submit(8, idempotentClass, softPlan, 2)
		gateway.submit(9, idempotentClass, unlimitedPlan, 2)
		gateway.expect(t, name+" with enough, or where overuse earns", 8, 1, 0)
		if want := map[time.Duration]bool{oracle.age: true}; !maps.Equal(gateway.truth.ages, want) {
			t.Errorf("%s: asked for ages %v, want %v", name, gateway.truth.ages, want)
		}
	}
}

// Where queues are equally long, the requests of a gateway are spread.
func TestOracleSpreadsOverEqualQueues(t *testing.T) {
	gateway := start(InstantOracle, testConfig(), 3)
	counts := map[policy.EndpointID]int{}
	for id := policy.RequestID(1); id <= 9; id++ {
		gateway.submit(id, idempotentClass, unlimitedPlan, 1)
		counts[gateway.lastEndpoint()]++
	}
	if want := map[policy.EndpointID]int{1: 3, 2: 3, 3: 3}; !maps.Equal(counts, want) {
		t.Errorf("got %v", counts)
	}
}
