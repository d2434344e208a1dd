package policy

import (
	"testing"
	"time"
)

// Where an even split of the burst holds no request, a greedy customer of many gateways nearly always meets
// one that knows nothing of it. Requests of unknown usage are admitted at a part of the gateways, by what
// overuse may cost, by their size and by what overuse of their plan costs. A retry changes nothing: a
// customer is known by its usage, and a rejection tells nothing of it.
func TestUnknownUsageIsAdmittedByRisk(t *testing.T) {
	for _, test := range []struct {
		gateways           int // that carry the customer
		quota, units, cost float64
		least, most        int // of 300 gateways, at least three standard deviations off what is expected
	}{
		{150, 2, 1, 1.2, 232, 272}, // 0.42 of them admit a typical request of two units, twice that one of one unit,
		{150, 2, 4, 1.2, 42, 84},   // and half of it one of four units,
		{150, 10, 4, 1.2, 42, 84},  // also where readings will tell
		{150, 2, 4, 2, 29, 69},     // half of 0.33
		{150, 2, 4, 0.5, 112, 164}, // half of 0.92: little has to be rejected
		{150, 2, 4, 0.3, 300, 300}, // overuse of all requests would cost no more than it may
		{150, 2, 4, 0, 300, 300},
		{4, 2, 4, 2, 300, 300}, // the split of the burst tells
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
		if admitted < test.least || admitted > test.most || admittedOnRetry != 0 {
			t.Errorf("%+v: admitted by %d gateways, and by %d more on a retry", test, admitted, admittedOnRetry)
		}
	}
}

// What overuse may cost holds over all plans together: beside a cheap plan that makes most of the value a
// costly one is admitted, and beside costlier ones it gives way to those that cost less.
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
			for id := RequestID(2); id <= 20; id++ { // the other plan requests nineteen times as much
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
		t.Errorf("of 300 gateways %d admit a request of overuse cost 1 beside a plan of the same cost, "+
			"%d beside a cheap plan, %d beside a costly one", besideSame, besideCheap, besideCostly)
	}
}

// No setting tells how often clients retry at other gateways, and how much is requested over quota. Readings
// do: where they show that overuse costs more than it may, requests of unknown usage are admitted less
// often. A single reading counts little, what readings tell decays, and nothing raises admission.
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
		return engine.overuse.correction()
	}
	if got := correctionAfter(0.5, 1, 40, 0); got != 1 {
		t.Errorf("correction %v though all usage is within quota", got)
	}
	if got := correctionAfter(4, 0.02, 40, 0); got != 1 {
		t.Errorf("correction %v though overuse costs next to nothing", got)
	}
	one, many := correctionAfter(4, 1, 1, 0), correctionAfter(4, 1, 40, 0)
	decayed := correctionAfter(4, 1, 40, 6*overuseDecay)
	if one < 0.6 || one >= 1 || many > 0.3 || many <= 0 || decayed < 0.8 {
		t.Errorf("correction %v after one reading of four quotas, %v after forty, %v once these have decayed",
			one, many, decayed)
	}
	if got := correctionAfter(1.2, 1, 40, 0); got <= many || got >= 1 {
		t.Errorf("correction %v after readings a little over quota, %v after those far over it", got, many)
	}
}

// The correction and the plan's ratio both lower how many requests of unknown usage are admitted.
func TestCostlyReadingsRejectMoreRequests(t *testing.T) {
	admittedAfter := func(meteredCost, overQuotaShare float64) (admitted int) {
		for seed := range uint64(200) {
			cfg := testConfig()
			cfg.GatewayCount, cfg.Seed = 300, seed
			plan := Plan{QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaCost: 1}
			cfg.Plans = []Plan{plan, plan}
			gateway := startTestGateway(cfg, 3)
			overuse := &gateway.engine.overuse
			overuse.meteredValue, overuse.meteredCost, overuse.meteredNumber = 600, meteredCost*600, 100
			overuse.plans[0] = overuseStats{200, 200 * overQuotaShare}
			overuse.plans[1] = overuseStats{200, 200 * (0.4 - overQuotaShare)}
			gateway.submitSpread(1, 2, 150)
			admitted += len(gateway.forwarded)
		}
		return admitted
	}
	if cheap, costly := admittedAfter(0.01, 0.2), admittedAfter(0.4, 0.2); cheap < 70 || costly > cheap/2 {
		t.Errorf("%d of 200 admitted where overuse costs little, %d where it costs four times what it may", cheap, costly)
	}
	if within, over := admittedAfter(0.01, 0.1), admittedAfter(0.01, 0.3); over > within*2/3 {
		t.Errorf("%d of 200 admitted of the plan whose readings are less over quota, %d of the other", within, over)
	}
}

// A plan of which readings show more units over quota than of the others is admitted less, the others more. A
// few readings change little, and without any all plans weigh alike.
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
		return overuse.planRatio(&overuse.plans[0]), overuse.planRatio(&overuse.plans[1])
	}
	if within, over := ratiosAfter(0); within != 1 || over != 1 {
		t.Errorf("ratios %v and %v before any reading", within, over)
	}
	if within, over := ratiosAfter(1); within < 0.8 || within >= 1 || over <= 1 || over > 1.2 {
		t.Errorf("ratios %v and %v after one reading each", within, over)
	}
	if within, over := ratiosAfter(40); within > 0.3 || within <= 0 || over < 1.7 || over > 2 {
		t.Errorf("ratios %v and %v after forty more", within, over)
	}
	unknown, unread := overuse.planRatio(&overuse.plans[2]), overuse.planRatio(&overuseStats{})
	if unknown != 1 || unread != 1 {
		t.Errorf("ratios %v and %v of plans without readings", unknown, unread)
	}
}

// Without a meter, a customer that was admitted once used to be rejected for minutes, also where its overuse costs
// little: the even split is then granted more than once. Where overuse is costly it is not.
func TestCheapOveruseLocksNoCustomerOut(t *testing.T) {
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
		t.Errorf("%d of 10 requests forwarded where overuse costs little, %d where it is costly", cheap, costly)
	}
}
