package baseline

import (
	"maps"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// AdmitAll must ignore quotas and use all endpoints about equally.
func TestAdmitAllReachesAllEndpoints(t *testing.T) {
	gateway := startGateway(AdmitAll, testConfig(), 4)
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

// EvenSplit must admit a gateway's equal part of the quota. The customer has two gateways, so each of them admits half
// of the burst of 20 units and half of the rate of 10 units a second.
func TestEvenSplitGrantsOneGatewaysPartOfTheQuota(t *testing.T) {
	gateway := startGateway(EvenSplit, testConfig(), 4)
	for id := policy.RequestID(1); id <= 12; id++ {
		gateway.submit(id, idempotentClass, quotaPlan, 1)
	}
	gateway.expect(t, "at once", 10, 2, 0)
	gateway.now += time.Second
	for id := policy.RequestID(13); id <= 18; id++ {
		gateway.submit(id, idempotentClass, quotaPlan, 1)
	}
	gateway.expect(t, "a second later", 15, 3, 0)
	gateway.now += time.Hour // the bucket does not fill beyond half of the burst
	for id := policy.RequestID(19); id <= 30; id++ {
		gateway.submit(id, idempotentClass, quotaPlan, 1)
	}
	gateway.expect(t, "an hour later", 25, 5, 0)
	for id := policy.RequestID(31); id <= 40; id++ {
		gateway.submit(id, idempotentClass, overQuotaPlan, 1)
		gateway.submit(id+100, idempotentClass, unlimitedPlan, 100)
	}
	gateway.expect(t, "for other customers", 45, 5, 0)
}

// EvenSplit must admit the largest request of a customer with many gateways, although the request exceeds one gateway's
// part of the burst.
func TestEvenSplitBucketHoldsTheLargestRequest(t *testing.T) {
	gateway := startGateway(EvenSplit, testConfig(), 4)
	submit := func(id policy.RequestID) {
		gateway.decider.Submit(gateway.now, policy.Request{ID: id, Plan: quotaPlan, TimeLeft: time.Second, Units: 4,
			SetSize: 100})
	}
	submit(1)
	submit(2)
	gateway.expect(t, "at once", 1, 1, 0)
	gateway.now += 40 * time.Second // the bucket fills at a hundredth of 10 units a second
	submit(3)
	gateway.expect(t, "later", 2, 1, 0)
}

// EvenSplit must choose the less loaded of the endpoints that it has drawn, so that the load follows the weights.
func TestEvenSplitPrefersTheLessLoaded(t *testing.T) {
	for _, test := range []struct {
		weights [2]float64
		want    [2]int // approximate attempts in flight after 120 requests
	}{
		{[2]float64{1, 1}, [2]int{60, 60}},
		{[2]float64{2, 1}, [2]int{80, 40}},
		{[2]float64{0.5, 0.25}, [2]int{80, 40}},
		{[2]float64{0, 1}, [2]int{60, 60}},
	} {
		gateway := startGateway(EvenSplit, testConfig(), 0)
		first, second := readyEndpoint(1), readyEndpoint(2)
		first.Weight, second.Weight = test.weights[0], test.weights[1]
		gateway.decider.UpdateEndpoints(gateway.now, policy.UpdateFull, []policy.Endpoint{first, second})
		for id := policy.RequestID(1); id <= 120; id++ {
			gateway.submit(id, idempotentClass, unlimitedPlan, 1)
		}
		for i, want := range test.want {
			got := gateway.base().endpoints[policy.EndpointID(i+1)].inFlight
			if got < want-6 || got > want+6 {
				t.Errorf("weights %v: %d in flight at endpoint %d, want about %d", test.weights, got, i+1, want)
			}
		}
	}
}

// An oracle must admit by the true quota of its age, and over the quota only where such requests earn more than they
// cost.
func TestOraclesAdmitByTheTrueQuota(t *testing.T) {
	for name, oracle := range map[string]struct {
		newDecider emulator.NewDecider
		age        time.Duration
	}{
		"late":    {LateOracle, time.Second},
		"instant": {InstantOracle, 0},
	} {
		gateway := startGateway(oracle.newDecider, testConfig(), 3)
		gateway.submit(1, idempotentClass, quotaPlan, 1)
		gateway.groundTruth.quotaLeft = 1.5
		gateway.submit(2, idempotentClass, quotaPlan, 2)
		gateway.expect(t, name+" with too little quota", 1, 1, 0)
		gateway.submit(3, idempotentClass, quotaPlan, 1)
		gateway.submit(4, idempotentClass, overQuotaPlan, 2)
		gateway.submit(5, idempotentClass, unlimitedPlan, 2)
		gateway.expect(t, name+" with enough quota, or where requests over quota earn value", 4, 1, 0)
		if want := map[time.Duration]bool{oracle.age: true}; !maps.Equal(gateway.groundTruth.ages, want) {
			t.Errorf("%s: asked for ages %v, want %v", name, gateway.groundTruth.ages, want)
		}
	}
}

// InstantOracle must pick the shortest backlog of all endpoints, and LateOracle the shorter one of two random
// endpoints.
func TestOraclesPreferShortQueues(t *testing.T) {
	const requests, tolerance = 900, 50
	for name, oracle := range map[string]struct {
		newDecider emulator.NewDecider
		want       map[policy.EndpointID]int
	}{
		"late":    {LateOracle, map[policy.EndpointID]int{1: requests / 9, 2: requests * 5 / 9, 3: requests * 3 / 9}},
		"instant": {InstantOracle, map[policy.EndpointID]int{2: requests}},
	} {
		gateway := startGateway(oracle.newDecider, testConfig(), 3)
		gateway.groundTruth.backlogs = map[policy.EndpointID]time.Duration{1: 3, 2: 1, 3: 2}
		counts := map[policy.EndpointID]int{}
		for id := policy.RequestID(1); id <= requests; id++ {
			gateway.submit(id, idempotentClass, unlimitedPlan, 1)
			counts[gateway.lastEndpoint()]++
		}
		for id := policy.EndpointID(1); id <= 3; id++ {
			difference := counts[id] - oracle.want[id]
			if difference < -tolerance || difference > tolerance || oracle.want[id] == 0 && counts[id] != 0 {
				t.Errorf("%s: %v forwarded by endpoint, want about %v", name, counts, oracle.want)
			}
		}
	}
}

// InstantOracle must distribute the requests of a gateway evenly over endpoints with equal backlogs.
func TestOracleSpreadsOverEqualQueues(t *testing.T) {
	gateway := startGateway(InstantOracle, testConfig(), 3)
	counts := map[policy.EndpointID]int{}
	for id := policy.RequestID(1); id <= 9; id++ {
		gateway.submit(id, idempotentClass, unlimitedPlan, 1)
		counts[gateway.lastEndpoint()]++
	}
	if want := map[policy.EndpointID]int{1: 3, 2: 3, 3: 3}; !maps.Equal(counts, want) {
		t.Errorf("got %v requests by endpoint, want 3 at each", counts)
	}
}
