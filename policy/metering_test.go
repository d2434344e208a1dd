package policy

import (
	"testing"
	"time"
)

// For a customer far over its quota the reject probability must keep rising by the last reading, also in metering
// periods in which no answer carries a reading.
func TestRejectProbabilityRisesWithoutNewReadings(t *testing.T) {
	cfg := testConfig()
	cfg.GatewayCount = 60
	engine := startTestGateway(cfg, 9).engine
	c := engine.customerFor(0, &Request{Customer: spreadCustomer, Plan: costlyPlan, SetSize: 60})
	engine.recordUsage(0, c, 3)
	afterReading := c.rejectProbability
	engine.updateCustomer(5*time.Second, c)
	if c.rejectProbability <= afterReading || c.rejectProbability < 0.95 {
		t.Errorf("reject probability is %v after a reading of three times the quota, and %v five periods later",
			afterReading, c.rejectProbability)
	}
	engine.recordUsage(6*time.Second, c, 0)
	if c.rejectProbability != 0 {
		t.Errorf("reject probability is %v after a reading of no usage, want 0", c.rejectProbability)
	}
}

// A customer whose first reading is over its quota has already emptied its bucket through other gateways, whatever
// overuse costs in its plan. Its reject probability must start as if its burst had been used up.
func TestFirstReadingOverQuotaEmptiesBucket(t *testing.T) {
	for _, cost := range []float64{0.5, 1.2} {
		cfg := testConfig()
		cfg.GatewayCount, cfg.Plans[costlyPlan].OverQuotaCost = 300, cost
		engine := startTestGateway(cfg, 3).engine
		c := engine.customerFor(0, &Request{Customer: spreadCustomer, Plan: costlyPlan, SetSize: 150})
		engine.recordUsage(time.Second, c, 3)
		if c.meteredBucket.tokens != 0 || c.rejectProbability < 0.8 {
			t.Errorf("overuse cost %v: bucket of %v units, reject probability %v after a first reading of three times the quota",
				cost, c.meteredBucket.tokens, c.rejectProbability)
		}
	}
}

// In a surge that began after the metered period, every gateway gets a reading of no usage. A gateway that then assumed
// it was the only one that serves the customer would refill its bucket with nearly the whole quota.
func TestZeroReadingKeepsEvenSplit(t *testing.T) {
	const seeds = 20
	cfg := testConfig()
	cfg.GatewayCount, cfg.MeterPeriod = 300, time.Second
	cfg.Plans = []Plan{{QuotaRate: 8, Burst: 30, PriceFactor: 1, OverQuotaCost: 1}}
	forwarded := 0
	for cfg.Seed = 1; cfg.Seed <= seeds; cfg.Seed++ {
		gateway := startTestGateway(cfg, 3)
		for id := RequestID(1); id <= 20; id++ {
			gateway.advance(200 * time.Millisecond)
			gateway.submitSpread(id, 2, 200)
			if gateway.lastForwardedIs(id) {
				gateway.finish(id, StatusOK, 0)
			}
		}
		forwarded += len(gateway.forwarded)
	}
	if mean := float64(forwarded) / seeds; mean < 0.2 || mean > 0.8 {
		t.Errorf("each of 200 gateways forwarded %v requests on average after readings of no usage, want 0.2 to 0.8", mean)
	}
}
