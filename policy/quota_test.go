package policy

import (
	"testing"
	"time"
)

// Usage over quota must empty the customer's bucket and raise its reject probability. Requests are then rejected at
// random, but only while the bucket is empty.
func TestQuotaRuleRejectsOnEmptyBucket(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	gateway.submit(1, idempotentClass, costlyPlan, 1)
	gateway.finish(1, StatusOK, 2)
	c := gateway.engine.customers[costlyPlan+1]
	for range 6 { // usage of twice the quota empties a bucket of 20 units in 2 s
		gateway.advance(time.Second)
		gateway.engine.recordUsage(gateway.now, c, 2)
	}
	if c.meteredBucket.tokens != 0 || c.rejectProbability <= 0.5 {
		t.Fatalf("bucket of %v units, want 0; reject probability %v, want over 0.5",
			c.meteredBucket.tokens, c.rejectProbability)
	}
	c.rejectProbability = 1
	gateway.submit(2, idempotentClass, costlyPlan, 1)
	if len(gateway.rejected) != 1 {
		t.Errorf("the request was not rejected with an empty bucket and a reject probability of 1: %v", gateway.log)
	}
	c.meteredBucket.tokens = 5
	gateway.submit(3, idempotentClass, costlyPlan, 1)
	if len(gateway.forwarded) != 2 {
		t.Errorf("the request was not forwarded with enough units in the bucket: %v", gateway.log)
	}
}

// Before the first usage reading, each gateway may use only its even share of a customer's burst.
func TestQuotaIsSplitEvenlyBeforeFirstReading(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	for id := RequestID(1); id <= 12; id++ {
		gateway.submit(id, idempotentClass, costlyPlan, 1)
	}
	if len(gateway.forwarded) != 10 || len(gateway.rejected) != 2 { // half of the burst of 20
		t.Errorf("%d requests forwarded and %d rejected, want 10 and 2", len(gateway.forwarded), len(gateway.rejected))
	}
}

// Readings do not show a surge until the meter has covered it. Until then, the units that this gateway itself forwards
// must drain its bucket.
func TestUnmeteredSurgeIsLimitedByOwnForwardedUnits(t *testing.T) {
	gateway := startTestGateway(testConfig(), 9)
	for id := RequestID(1); id <= 60; id++ { // 60 units at once; the gateway's share of the usage is about a half
		gateway.submit(id, idempotentClass, costlyPlan, 1)
		gateway.finish(id, StatusOK, 0.5)
	}
	if units := len(gateway.forwarded); units < 8 || units > 12 { // half of the burst of 20, plus the first request
		t.Errorf("%d units of a surge were forwarded, want 8 to 12", units)
	}
}

// One of sixty gateways receives a third of the requests of a customer within its quota. Its even share of the burst is
// a sixth of a request, and the debt of one request would last ten seconds. The customer must be served all the same.
func TestCustomerWithinQuotaIsServedByOneOfManyGateways(t *testing.T) {
	const gateways = 60
	cfg := testConfig()
	cfg.GatewayCount, cfg.Plans[costlyPlan].OverQuotaCost = gateways, 1
	for cfg.Seed = 1; cfg.Seed <= 50; cfg.Seed++ {
		gateway := startTestGateway(cfg, 9)
		nextID := RequestID(1)
		submitNext := func() { // one unit/s at this gateway of three in all; the quota is 10
			gateway.advance(2 * time.Second)
			gateway.submitSpread(nextID, 2, gateways)
			if gateway.lastForwardedIs(nextID) {
				gateway.finish(nextID, StatusOK, 0.3)
			}
			nextID++
		}
		// While the customer's usage is unknown, a random draw every twelve seconds decides on its admission.
		for len(gateway.forwarded) == 0 && nextID < 150 {
			submitNext()
		}
		firstAfter := nextID
		for nextID < firstAfter+9 {
			submitNext()
		}
		if forwarded := len(gateway.forwarded); forwarded < 9 {
			t.Errorf("seed %d: %d of 10 requests of a customer at 0.3 of its quota were forwarded, counted from the first",
				cfg.Seed, forwarded)
		}
	}
}

// One of 160 gateways gets a few requests of a customer now and then, and its share of the burst holds none of them.
// Readings must therefore decide on admission, and from the first one on: usage over quota may have begun before this
// gateway got a request of the customer.
func TestSparselySpreadCustomerIsAdmittedByReadings(t *testing.T) {
	for _, test := range []struct {
		usage, overQuotaCost float64
		gateways             int
		atLeast, atMost      int // bounds on those forwarded of the twenty requests after the first
	}{
		{usage: 0.3, overQuotaCost: 0.5, gateways: 160, atLeast: 10, atMost: 20}, // 40 units in 4 s, quota 10 units/s
		{usage: 2, overQuotaCost: 0.5, gateways: 160, atLeast: 0, atMost: 8},
		{usage: 0.3, overQuotaCost: 1.2, gateways: 160, atLeast: 0, atMost: 4}, // overuse costs more than it would earn
		{usage: 0.3, overQuotaCost: 0.5, gateways: 35, atLeast: 0, atMost: 6},  // not sparse: burst share of 0.57 units
	} {
		cfg := testConfig()
		cfg.GatewayCount, cfg.Plans[costlyPlan].OverQuotaCost = 160, test.overQuotaCost
		cfg.Seed = 2 // with this seed the gateway admits the first request
		gateway := startTestGateway(cfg, 9)
		gateway.advanceTo(5 * time.Second)
		for id := RequestID(1); id <= 21; id++ {
			gateway.advance(200 * time.Millisecond)
			gateway.submitSpread(id, 2, test.gateways)
			if gateway.lastForwardedIs(id) {
				gateway.finish(id, StatusOK, test.usage)
			}
		}
		if forwarded := len(gateway.forwarded) - 1; forwarded < test.atLeast || forwarded > test.atMost {
			t.Errorf("%+v: %d of 20 requests were forwarded", test, forwarded)
		}
	}
}

// One of fifty gateways that had admitted a request of a customer far below its quota rejected the next ones for a
// minute, since its bucket was overdrawn. Quota that readings show as unused must refill it, except under overload.
func TestUnusedQuotaRefillsOverdrawnBucket(t *testing.T) {
	const debt = 500
	refilled := func(usage float64, overloaded bool) float64 {
		cfg := testConfig()
		cfg.Seed = 2 // with this seed the gateway admits the first request
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
		t.Errorf("units refilled in a second: %v within quota, %v over it, %v under overload; the quota is 10 units/s",
			within, over, underOverload)
	}
}

// If a hundred gateways each forwarded a request whenever the whole quota had earned one, they would forward a hundred
// times the quota. An admitted request must therefore leave a debt in the bucket that estimates the whole usage.
func TestEstimatedBucketKeepsDebt(t *testing.T) {
	gateway := startTestGateway(testConfig(), 3)
	for id := RequestID(1); id <= 100; id++ { // one of 20 gateways, 1 unit/s for 100 s, a quota of 10 units/s
		gateway.now += time.Second
		gateway.submitSpread(id, 1, 20)
		if gateway.lastForwardedIs(id) {
			gateway.finish(id, StatusOK, noUsage)
		}
	}
	// The even share is 100 s of a twentieth of 10 units/s, plus a twentieth of the burst.
	if units := len(gateway.forwarded); units < 45 || units > 55 {
		t.Errorf("%d units were forwarded, the even share is 51", units)
	}
}

// A quota on concurrent requests must be split evenly over the customer's gateways, and freed when an attempt ends.
func TestConcurrencyQuotaIsSplitEvenly(t *testing.T) {
	cfg := testConfig()
	cfg.Plans[costlyPlan] = Plan{MaxConcurrent: 4, OverQuotaCost: 0.5}
	gateway := startTestGateway(cfg, 3)
	for id := RequestID(1); id <= 3; id++ {
		gateway.submit(id, idempotentClass, costlyPlan, 1)
	}
	if len(gateway.forwarded) != 2 || len(gateway.rejected) != 1 { // half of four
		t.Errorf("want two requests forwarded and one rejected: %v", gateway.log)
	}
	gateway.finish(1, StatusOK, noUsage)
	gateway.submit(4, idempotentClass, costlyPlan, 1)
	if len(gateway.forwarded) != 3 {
		t.Errorf("the request was not forwarded though an attempt had finished: %v", gateway.log)
	}
}
