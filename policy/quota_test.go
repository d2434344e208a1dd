package policy

import (
	"testing"
	"time"
)

func TestQuotaRuleRejectsOnEmptyBucket(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	gateway.submit(1, idempotentClass, costlyPlan, 1)
	gateway.finish(1, StatusOK, 2)
	c := gateway.engine.customers[costlyPlan+1]
	for range 6 { // usage of twice the quota empties the bucket of 20 in 2 s
		gateway.advance(time.Second)
		gateway.engine.recordUsage(gateway.now, c, 2)
	}
	if c.fleetBucket.tokens != 0 || c.rejectProbability <= 0.5 {
		t.Fatalf("bucket of %v units, reject probability %v", c.fleetBucket.tokens, c.rejectProbability)
	}
	c.rejectProbability = 1
	gateway.submit(2, idempotentClass, costlyPlan, 1)
	if len(gateway.rejected) != 1 {
		t.Errorf("not rejected at an empty bucket and a reject probability of 1: %v", gateway.log)
	}
	c.fleetBucket.tokens = 5
	gateway.submit(3, idempotentClass, costlyPlan, 1)
	if len(gateway.forwarded) != 2 {
		t.Errorf("not forwarded with units in the bucket: %v", gateway.log)
	}
}

func TestQuotaIsSplitEvenlyBeforeFirstReading(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	for id := RequestID(1); id <= 12; id++ {
		gateway.submit(id, idempotentClass, costlyPlan, 1)
	}
	if len(gateway.forwarded) != 10 || len(gateway.rejected) != 2 { // half of a burst of 20
		t.Errorf("%d forwarded, %d rejected", len(gateway.forwarded), len(gateway.rejected))
	}
}

// Before the meter has seen a surge, the units that this gateway forwarded since the last reading drain its
// own bucket.
func TestSurgeBeforeTheMeterIsLimitedByOwnUnits(t *testing.T) {
	gateway := startTestGateway(testConfig(), 9)
	for id := RequestID(1); id <= 60; id++ { // 60 units at once; this gateway's share is about half
		gateway.submit(id, idempotentClass, costlyPlan, 1)
		gateway.finish(id, StatusOK, 0.5)
	}
	if units := len(gateway.forwarded); units < 8 || units > 12 { // half of a burst of 20, and the first request's
		t.Errorf("%d units of a surge were forwarded", units)
	}
}

// One of sixty gateways carries a third of the requests of a customer within its quota. An even split of the
// burst is a sixth of one request, and the debt of one would last for ten seconds.
func TestCustomerWithinQuotaIsServedByOneOfManyGateways(t *testing.T) {
	const gateways = 60
	cfg := testConfig()
	cfg.GatewayCount, cfg.Plans[costlyPlan].OverQuotaCost = gateways, 1
	for cfg.Seed = 1; cfg.Seed <= 50; cfg.Seed++ {
		gateway := startTestGateway(cfg, 9)
		nextID := RequestID(1)
		submitNext := func() { // a unit a second here of three; the quota is 10
			gateway.advance(2 * time.Second)
			gateway.submitSpread(nextID, 2, gateways)
			if gateway.lastForwardedIs(nextID) {
				gateway.finish(nextID, StatusOK, 0.3)
			}
			nextID++
		}
		// While its usage is unknown, it is drawn at random every twelve seconds whether it is admitted.
		for len(gateway.forwarded) == 0 && nextID < 150 {
			submitNext()
		}
		firstAfter := nextID
		for nextID < firstAfter+9 {
			submitNext()
		}
		if forwarded := len(gateway.forwarded); forwarded < 9 {
			t.Errorf("seed %d: %d of 10 requests of a customer at 0.3 of its quota were forwarded, from the first on",
				cfg.Seed, forwarded)
		}
	}
}

// One of a hundred and sixty gateways sees a customer now and then, a few requests at a time. Its share of
// the burst holds none of them, so readings have to admit or reject them: from the first reading on, for the
// usage over quota has begun before this gateway saw the customer.
func TestSparselySpreadCustomerIsDecidedByReadings(t *testing.T) {
	for _, test := range []struct {
		usage, overQuotaCost float64
		gateways             int
		least, most          int // forwarded of the twenty requests after the first
	}{
		{usage: 0.3, overQuotaCost: 0.5, gateways: 160, least: 10, most: 20}, // 40 units in 4 s, against 10 a second
		{usage: 2, overQuotaCost: 0.5, gateways: 160, least: 0, most: 8},
		{usage: 0.3, overQuotaCost: 1.2, gateways: 160, least: 0, most: 4}, // overuse costs more than it would earn
		{usage: 0.3, overQuotaCost: 0.5, gateways: 35, least: 0, most: 6},  // not sparse: 0.57 units
	} {
		cfg := testConfig()
		cfg.GatewayCount, cfg.Plans[costlyPlan].OverQuotaCost = 160, test.overQuotaCost
		cfg.Seed = 2 // its gateway admits the first request
		gateway := startTestGateway(cfg, 9)
		gateway.advanceTo(5 * time.Second)
		for id := RequestID(1); id <= 21; id++ {
			gateway.advance(200 * time.Millisecond)
			gateway.submitSpread(id, 2, test.gateways)
			if gateway.lastForwardedIs(id) {
				gateway.finish(id, StatusOK, test.usage)
			}
		}
		if forwarded := len(gateway.forwarded) - 1; forwarded < test.least || forwarded > test.most {
			t.Errorf("%+v: %d of 20 requests were forwarded", test, forwarded)
		}
	}
}

// One of fifty gateways admitted a request of a customer far below its quota, and then lacked units for a
// minute. What readings show to be unused may be used, except under overload.
func TestUnusedQuotaRefillsOverdrawnBucket(t *testing.T) {
	const debt = 500
	refilled := func(usage float64, overloaded bool) float64 {
		cfg := testConfig()
		cfg.Seed = 2 // its gateway admits the first request
		gateway := startTestGateway(cfg, 3)
		gateway.submitSpread(1, 1, 50)
		c := gateway.engine.customers[spreadCustomer]
		if len(gateway.forwarded) != 1 {
			t.Fatal("the first request was not forwarded")
		}
		for range 20 {
			gateway.now += time.Second
			gateway.engine.recordUsage(gateway.now, c, usage)
		}
		c.estimatedBucket.tokens, gateway.engine.overloaded = -debt, overloaded
		gateway.engine.updateCustomer(gateway.now+time.Second, c)
		return c.estimatedBucket.tokens + debt
	}
	within, over, underOverload := refilled(0.1, false), refilled(1.5, false), refilled(0.1, true)
	if within < 30 || over != 10 || underOverload != 10 {
		t.Errorf("a second refills %v units within quota, %v over it, %v under overload; the quota is 10",
			within, over, underOverload)
	}
}

// A hundred gateways that each forward a request whenever the whole quota has earned one would forward a
// hundred quotas: the estimated bucket keeps a debt.
func TestEstimatedBucketKeepsDebt(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	for id := RequestID(1); id <= 100; id++ { // one of 20 gateways, 1 unit a second for 100 s, quota 10
		gateway.now += time.Second
		gateway.submitSpread(id, 1, 20)
		if gateway.lastForwardedIs(id) {
			gateway.finish(id, StatusOK, noUsage)
		}
	}
	// 100 s of a twentieth of 10 units a second, and the share of the burst.
	if units := len(gateway.forwarded); units < 45 || units > 55 {
		t.Errorf("%d units forwarded, an even share is 51", units)
	}
}

func TestConcurrencyQuotaIsSplitEvenly(t *testing.T) {
	cfg := testConfig()
	cfg.Plans[costlyPlan] = Plan{MaxConcurrent: 4, OverQuotaCost: 0.5}
	gateway := startTestGateway(cfg, 3)
	for id := RequestID(1); id <= 3; id++ {
		gateway.submit(id, idempotentClass, costlyPlan, 1)
	}
	if len(gateway.forwarded) != 2 || len(gateway.rejected) != 1 { // half of four
		t.Errorf("%v", gateway.log)
	}
	gateway.finish(1, StatusOK, noUsage)
	gateway.submit(4, idempotentClass, costlyPlan, 1)
	if len(gateway.forwarded) != 3 {
		t.Errorf("not forwarded though an attempt has finished: %v", gateway.log)
	}
}
