package policy

import (
	"testing"
	"time"
)

// A greedy customer that is spread over many gateways nearly always reaches one without a usage reading for it. Only
// a part of the gateways may admit such a request: fewer for large requests and for plans with costly overuse. A retry
// at the same gateway must not be admitted after a rejection, which reveals nothing about the customer's usage.
func TestUnknownUsageIsAdmittedByRisk(t *testing.T) {
	for _, test := range []struct {
		gateways                 int // number of gateways that serve the customer
		quota, units, cost       float64
		minAdmitted, maxAdmitted int // of 300 gateways; at least three standard deviations from the mean
	}{
		{150, 2, 1, 1.2, 232, 272}, // one unit: twice the 0.42 that admit a typical request of two units
		{150, 2, 4, 1.2, 42, 84},   // four units: half of 0.42
		{150, 10, 4, 1.2, 42, 84},  // the same though a reading would be conclusive at this quota
		{150, 2, 4, 2, 29, 69},     // four units and costlier overuse: half of 0.33
		{150, 2, 4, 0.5, 112, 164}, // four units and cheaper overuse: half of 0.92
		{150, 2, 4, 0.3, 300, 300}, // overuse by all requests would stay within the cost limit
		{150, 2, 4, 0, 300, 300},
		{4, 2, 4, 2, 300, 300}, // the gateway's share of the burst holds the request
	} {
		admitted, admittedOnRetry := 0, 0
		for index := range 300 {
			cfg := testConfig()
			cfg.GatewayCount, cfg.GatewayIndex, cfg.Seed = 300, index, uint64(index)
			cfg.Plans = []Plan{{QuotaRate: test.quota, Burst: 10, PriceFactor: 1, OverQuotaCost: test.cost}}
			gateway := startTestGateway(cfg, 3)
			for id := RequestID(1); id <= 5 && len(gateway.forwarded) == 0; id++ {
				gateway.now += 500 * time.Millisecond
				gateway.engine.Submit(gateway.now, Request{ID: id, Plan: 0, Customer: 9,
					TimeLeft: 2 * time.Second, Units: test.units, SetSize: test.gateways})
				if id == 1 {
					admitted += len(gateway.forwarded)
				} else {
					admittedOnRetry += len(gateway.forwarded)
				}
			}
		}
		if admitted < test.minAdmitted || admitted > test.maxAdmitted || admittedOnRetry != 0 {
			t.Errorf("%+v: the request was admitted by %d gateways, and by %d more on a retry", test, admitted, admittedOnRetry)
		}
	}
}

// The limit on the cost of overuse applies to the sum over all plans. A plan must be admitted almost always if most of
// the requested value is of a plan with cheap overuse, and more often than usual beside one with costlier overuse.
func TestOveruseLimitIsSharedByAllPlans(t *testing.T) {
	const ownPlan, otherPlan = 0, 1
	admittedBeside := func(otherCost float64) (admitted int) {
		for seed := range uint64(300) {
			cfg := testConfig()
			cfg.GatewayCount, cfg.Seed = 300, seed
			cfg.Plans = []Plan{
				{QuotaRate: 2, Burst: 10, PriceFactor: 1, OverQuotaCost: 1},
				{QuotaRate: 2, Burst: 10, PriceFactor: 1, OverQuotaCost: otherCost},
			}
			gateway := startTestGateway(cfg, 3)
			for id := RequestID(2); id <= 20; id++ { // nineteen requests of the other plan
				gateway.engine.Submit(gateway.now, Request{ID: id, Plan: otherPlan, Customer: CustomerID(id),
					TimeLeft: 2 * time.Second, Units: 2, SetSize: 150})
				if gateway.lastForwardedIs(id) {
					gateway.finish(id, StatusOK, 0.3)
				}
			}
			gateway.advanceTo(time.Second)
			gateway.engine.Submit(gateway.now, Request{ID: 1, Plan: ownPlan, Customer: 1,
				TimeLeft: 2 * time.Second, Units: 2, SetSize: 150})
			if gateway.lastForwardedIs(1) {
				admitted++
			}
		}
		return admitted
	}
	besideSame, besideCheap, besideCostly := admittedBeside(1), admittedBeside(0.1), admittedBeside(3)
	if besideSame < 100 || besideSame > 160 || besideCheap < 295 || besideCostly < besideSame+60 {
		t.Errorf("of 300 gateways, %d admit a request of overuse cost 1 beside a plan of the same cost, "+
			"%d beside a cheap plan, %d beside a costly one", besideSame, besideCheap, besideCostly)
	}
}

// How often clients retry at other gateways and how much is requested over quota is not configured, but shows in
// readings. If readings show that overuse exceeds its cost limit, fewer requests of unknown usage may be admitted. A
// single reading has little weight, old readings decay, and the correction never exceeds 1.
func TestCostlyReadingsLowerAdmissionOfUnknownUsage(t *testing.T) {
	correctionAfter := func(usage, cost float64, readings int, wait time.Duration) float64 {
		cfg := testConfig()
		cfg.GatewayCount = 300
		cfg.Plans = []Plan{{QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaCost: cost}}
		gateway := startTestGateway(cfg, 3)
		engine := gateway.engine
		c := engine.customerFor(0, &Request{Customer: spreadCustomer, SetSize: 150})
		r := newRequest(engine, 2, c)
		engine.overuse.recordRequest(r)
		for range readings {
			engine.recordUsage(gateway.now, c, usage)
			engine.overuse.recordMetered(r)
		}
		gateway.advance(wait)
		return engine.overuse.costCorrection()
	}
	if got := correctionAfter(0.5, 1, 40, 0); got != 1 {
		t.Errorf("correction is %v though all usage is within quota, want 1", got)
	}
	if got := correctionAfter(4, 0.02, 40, 0); got != 1 {
		t.Errorf("correction is %v though overuse costs next to nothing, want 1", got)
	}
	one, many := correctionAfter(4, 1, 1, 0), correctionAfter(4, 1, 40, 0)
	decayed := correctionAfter(4, 1, 40, 6*overuseDecay)
	if one < 0.6 || one >= 1 || many > 0.3 || many <= 0 || decayed < 0.8 {
		t.Errorf("correction is %v after one reading of four times the quota, %v after forty, %v once these have decayed",
			one, many, decayed)
	}
	if got := correctionAfter(1.2, 1, 40, 0); got <= many || got >= 1 {
		t.Errorf("correction is %v after readings slightly over quota, and %v after readings far over it", got, many)
	}
}

// Guards against admission decisions that ignore what readings show: the cost of overuse over all plans, and which plan
// has the larger share of units over quota.
func TestCostlyReadingsRejectMoreRequests(t *testing.T) {
	admittedAfter := func(meteredCost, overQuotaShare float64) (admitted int) {
		for seed := range uint64(200) {
			cfg := testConfig()
			cfg.GatewayCount, cfg.Seed = 300, seed
			plan := Plan{QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaCost: 1}
			cfg.Plans = []Plan{plan, plan}
			gateway := startTestGateway(cfg, 3)
			overuse := &gateway.engine.overuse
			overuse.meteredValue, overuse.meteredCost, overuse.meteredRequests = 600, meteredCost*600, 100
			overuse.plans[0] = overuseStats{200, 200 * overQuotaShare}
			overuse.plans[1] = overuseStats{200, 200 * (0.4 - overQuotaShare)}
			gateway.submitSpread(1, 2, 150)
			admitted += len(gateway.forwarded)
		}
		return admitted
	}
	if cheap, costly := admittedAfter(0.01, 0.2), admittedAfter(0.4, 0.2); cheap < 70 || costly > cheap/2 {
		t.Errorf("%d of 200 requests admitted if overuse costs little, %d if it costs four times its limit", cheap, costly)
	}
	if within, over := admittedAfter(0.01, 0.1), admittedAfter(0.01, 0.3); over > within*2/3 {
		t.Errorf("%d of 200 requests admitted of the plan with fewer units over quota, %d of the other", within, over)
	}
}

// A plan whose readings show a larger share of units over quota than the other plans must get a higher ratio, and the
// others a lower one. A few readings must change little, and without readings all ratios are 1.
func TestPlanRatioFollowsReadings(t *testing.T) {
	cfg := testConfig()
	cfg.GatewayCount = 300
	plan := Plan{QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaCost: 1}
	cfg.Plans = []Plan{plan, plan}
	gateway := startTestGateway(cfg, 3)
	engine, overuse := gateway.engine, &gateway.engine.overuse
	ratiosAfter := func(readings int) (within, over float64) {
		for range readings {
			for plan, usage := range []float64{0.5, 3} {
				c := engine.customerFor(0, &Request{Customer: CustomerID(plan), Plan: plan, SetSize: 150})
				engine.recordUsage(gateway.now, c, usage)
				overuse.recordMetered(newRequest(engine, 2, c))
			}
		}
		return overuse.planOveruseRatio(&overuse.plans[0]), overuse.planOveruseRatio(&overuse.plans[1])
	}
	if within, over := ratiosAfter(0); within != 1 || over != 1 {
		t.Errorf("ratios are %v and %v before any reading, want 1", within, over)
	}
	if within, over := ratiosAfter(1); within < 0.8 || within >= 1 || over <= 1 || over > 1.2 {
		t.Errorf("ratios are %v within and %v over quota after one reading each", within, over)
	}
	if within, over := ratiosAfter(40); within > 0.3 || within <= 0 || over < 1.7 || over > 2 {
		t.Errorf("ratios are %v within and %v over quota after forty more readings each", within, over)
	}
	ofUnknownPlan, withoutReadings :=
		overuse.planOveruseRatio(&overuse.plans[2]), overuse.planOveruseRatio(&overuseStats{})
	if ofUnknownPlan != 1 || withoutReadings != 1 {
		t.Errorf("ratios of plans without readings are %v and %v, want 1", ofUnknownPlan, withoutReadings)
	}
}

// Without a meter, a customer that had been admitted once was rejected for minutes, even if its overuse cost little.
// Each gateway must therefore grant more than an even split of the quota if overuse is cheap, but not if it is costly.
func TestCheapOveruseDoesNotBlockCustomer(t *testing.T) {
	forwardedAt := func(cost float64) int {
		cfg := testConfig()
		cfg.GatewayCount, cfg.MeterPeriod, cfg.Seed = 300, 0, 2
		cfg.Plans = []Plan{{QuotaRate: 20, Burst: 50, PriceFactor: 1, OverQuotaCost: cost}}
		gateway := startTestGateway(cfg, 3)
		for id := RequestID(1); id <= 10; id++ {
			gateway.advance(time.Second)
			gateway.submitSpread(id, 2, 150)
			if gateway.lastForwardedIs(id) {
				gateway.finish(id, StatusOK, noUsage)
			}
		}
		return len(gateway.forwarded)
	}
	if cheap, costly := forwardedAt(0.2), forwardedAt(1.5); cheap < 9 || costly > 3 {
		t.Errorf("%d of 10 requests forwarded if overuse is cheap, %d if it is costly", cheap, costly)
	}
}
