package model

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"springfield/internal/emulator"
	"springfield/policy"
)

func TestExpectedInQuotaUsageEqualsTheLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scenario := DefaultScenario()
		scenario.Gateways = rapid.IntRange(1, 300).Draw(t, "gateways")
		scenario.Endpoints.Count = rapid.IntRange(1, 100).Draw(t, "endpoints")
		scenario.Clients.Load = rapid.Float64Range(0.1, 2).Draw(t, "load")
		scenario.Clients.CalmUse = rapid.Float64Range(0.1, 1).Draw(t, "calm use")
		scenario.Clients.SpikyShare = rapid.Float64Range(0, 0.5).Draw(t, "spiky share")
		scenario.Plans[0].Rate = rapid.Float64Range(0.5, 50).Draw(t, "rate")
		scenario.Plans[1].Rate = 0
		scenario.Plans[1].MaxConcurrent = rapid.Float64Range(1, 10).Draw(t, "concurrent")
		if err := Validate(&scenario); err != nil {
			t.Fatal(err)
		}
		offered := NewWorkload(&scenario, 1, 0).Offered()
		want := scenario.Clients.Load * EndpointCapacity(&scenario)
		if math.Abs(offered.InQuotaUnits/want-1) > 1e-6 || offered.RequestedUnits < offered.InQuotaUnits-1e-6 {
			t.Fatalf("clients offer %+v, want %v units a second within the quotas", offered, want)
		}
	})
}

// TestGeneratedInQuotaRequestsMatchTheLoad counts the generated requests with a token bucket for each customer. It
// guards against a difference between them and the offered load, which is calculated from the customers' rates alone.
func TestGeneratedInQuotaRequestsMatchTheLoad(t *testing.T) {
	type bucket struct {
		level float64
		at    time.Duration
	}
	scenario := DefaultScenario()
	scenario.Endpoints.Count = 40
	scenario.Length = emulator.Duration(60 * time.Second)
	w := NewWorkload(&scenario, 3, testStart)
	buckets := make(map[policy.CustomerID]*bucket)
	inQuota, requested := 0.0, 0.0
	for _, a := range firstTries(w) {
		plan := &scenario.Plans[a.Plan]
		b := buckets[a.Customer]
		if b == nil {
			b = &bucket{level: plan.Burst, at: testStart}
			buckets[a.Customer] = b
		}
		b.level = min(plan.Burst, b.level+plan.Rate*(a.At-b.at).Seconds())
		b.at = a.At
		requested += a.TrueUnits
		if b.level >= a.TrueUnits {
			b.level -= a.TrueUnits
			inQuota += a.TrueUnits
		}
	}
	seconds := scenario.Length.AsDuration().Seconds()
	if want := scenario.Clients.Load * EndpointCapacity(&scenario); math.Abs(inQuota/seconds/want-1) > 0.05 {
		t.Errorf("%v units a second are within the quotas, want about %v", inQuota/seconds, want)
	}
	if want := w.Offered().RequestedUnits; math.Abs(requested/seconds/want-1) > 0.05 {
		t.Errorf("%v units a second are requested, want about %v", requested/seconds, want)
	}
}

func TestUsagePatternsOccurAtTheirShares(t *testing.T) {
	scenario := DefaultScenario()
	scenario.Clients.FullShare, scenario.Clients.GreedyShare, scenario.Clients.SpikyShare = 0.2, 0.1, 0.3
	patterns := newPatternSequence(&scenario.Clients, rand.New(rand.NewPCG(1, 1)))
	var counts [4]int
	const customers = 50
	for range customers {
		counts[patterns.next()]++
	}
	for pattern, want := range map[usagePattern]int{patternCalm: 20, patternFull: 10, patternGreedy: 5, patternSpiky: 15} {
		if got := counts[pattern]; got < want-2 || got > want+2 {
			t.Errorf("usage pattern %d: %d of %d customers, want about %d", pattern, got, customers, want)
		}
	}
}

func TestRatesFollowUsagePatterns(t *testing.T) {
	scenario := DefaultScenario()
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		var calm, full, greedy, spiky customer
		calm.drawRates(&scenario, 10, patternCalm, random)
		full.drawRates(&scenario, 10, patternFull, random)
		greedy.drawRates(&scenario, 10, patternGreedy, random)
		spiky.drawRates(&scenario, 10, patternSpiky, random)
		if calm.rate < 1.7 || calm.rate > 5.3 || full.rate < 8.5 || full.rate > 9.8 || greedy.rate != 30 {
			t.Fatalf("rates with a quota of 10: calm %v, full %v, greedy %v", calm.rate, full.rate, greedy.rate)
		}
		if spiky.spikeRate != 40 || spiky.rate > 5.3 || len(calm.spikeStarts)+len(greedy.spikeStarts) > 0 {
			t.Fatalf("unexpected spikes: spiky customer %+v", spiky)
		}
	}
}

func TestSpikesComeAtTheirMeanIntervalWithoutOverlap(t *testing.T) {
	clients := DefaultScenario().Clients
	length := 10 * time.Hour
	spikeStarts := drawSpikes(&clients, length, rand.New(rand.NewPCG(1, 1)))
	for i := 1; i < len(spikeStarts); i++ {
		if spikeStarts[i] < spikeStarts[i-1]+clients.SpikeLength.AsDuration() {
			t.Fatalf("spikes at %v and %v overlap", spikeStarts[i-1], spikeStarts[i])
		}
	}
	if mean := length / time.Duration(len(spikeStarts)); mean < 11800*time.Millisecond || mean > 12200*time.Millisecond {
		t.Errorf("mean interval between spikes %v, want 12s", mean)
	}
	c := customer{rate: 1, spikeRate: 4, spikeStarts: []time.Duration{5 * time.Second, 9 * time.Second}}
	for _, step := range []struct {
		at, until time.Duration
		rate      float64
	}{
		{0, 5 * time.Second, 1},
		{5 * time.Second, 7 * time.Second, 4},
		{6 * time.Second, 7 * time.Second, 4},
		{7 * time.Second, 9 * time.Second, 1},
		{9 * time.Second, 11 * time.Second, 4},
		{11 * time.Second, math.MaxInt64, 1},
	} {
		if rate, until := c.rateAt(step.at, 2*time.Second); rate != step.rate || until != step.until {
			t.Errorf("at %v: rate %v until %v, want %v until %v", step.at, rate, until, step.rate, step.until)
		}
	}
}

func TestCeilingLimitsTheGatewaySetSize(t *testing.T) {
	scenario := DefaultScenario()
	scenario.Gateways = 100
	plan := emulator.Plan{CeilingRate: 5, CeilingBurst: 50}
	for range 100 {
		if _, size := drawSet(&scenario, &plan, rand.New(rand.NewPCG(1, 1))); size != 6 {
			t.Fatalf("%d gateways share a ceiling burst of 50 units, want 50 / (2 x 4) = 6", size)
		}
	}
	scenario.Gateways = 1
	if first, size := drawSet(&scenario, &plan, rand.New(rand.NewPCG(1, 1))); first != 0 || size != 1 {
		t.Errorf("set of a single gateway: size %d from gateway %d", size, first)
	}
}
