package model

import (
	"math"
	"slices"
	"testing"
	"time"

	"springfield/internal/emulator"
)

// testStart is the start of the load in the tests. It is not 0, so that a test fails if a time counted from the start
// is used as a Unix time.
const testStart = 1000 * time.Hour

// firstTries returns all first tries of a workload.
func firstTries(w *Workload) []Arrival {
	var arrivals []Arrival
	for {
		arrival, ok := w.Next()
		if !ok {
			return arrivals
		}
		arrivals = append(arrivals, arrival)
	}
}

func TestFirstTriesAreOrderedAndWithinTheirBounds(t *testing.T) {
	scenario := DefaultScenario()
	scenario.Gateways, scenario.Clients.SetMin, scenario.Clients.SetMax = 20, 0.1, 0.5
	scenario.Clients.Abandon = 0.2
	scenario.Length = emulator.Duration(100 * time.Second)
	end := testStart + scenario.Length.AsDuration()
	last, abandoned, searches := testStart, 0.0, 0.0
	arrivals := firstTries(NewWorkload(&scenario, 1, testStart))
	keys := make(map[emulator.RequestKey]bool)
	for _, a := range arrivals {
		deadline := scenario.Classes[a.Class].Deadline.AsDuration()
		minPatience := scaleDuration(deadline, scenario.Clients.Patience)
		position := (a.Gateway - a.SetFirst + scenario.Gateways) % scenario.Gateways
		switch {
		case a.At < last || a.At > end:
			t.Fatalf("arrival at %v after one at %v", a.At, last)
		case keys[a.Request] || a.Request != a.Original || a.Try != 0:
			t.Fatalf("first try has a wrong key: %+v", a)
		case a.SetSize < 2 || a.SetSize > 10 || position >= a.SetSize:
			t.Fatalf("set size or gateway out of bounds: %+v", a)
		case a.TrueUnits < 1 || a.TrueUnits > 4 || a.Units < 1 || a.Units > 4 || a.Work <= 0:
			t.Fatalf("units or work out of bounds: %+v", a)
		case a.LastDeadline != a.At+deadline || a.Deadline < a.At+minPatience || a.Deadline > a.LastDeadline:
			t.Fatalf("deadlines out of bounds: %+v", a)
		case a.AbandonAt != 0 && (a.AbandonAt <= a.At || a.AbandonAt >= a.Deadline):
			t.Fatalf("abandoned before the start or after the deadline of the try: %+v", a)
		}
		last = a.At
		keys[a.Request] = true
		if a.AbandonAt != 0 {
			abandoned++
		}
		if a.Class == 0 {
			searches++
		}
	}
	if share := abandoned / float64(len(arrivals)); math.Abs(share-0.2) > 0.03 {
		t.Errorf("share %v of %d requests is abandoned, want 0.2", share, len(arrivals))
	}
	if share := searches / float64(len(arrivals)); math.Abs(share-0.7) > 0.03 {
		t.Errorf("share %v of %d requests is of class 0, want 0.7", share, len(arrivals))
	}
}

// TestFirstTriesDependOnTheSeedAlone guards against retries that consume random numbers of the first tries. Different
// deciders, which cause different retries, would then face different first tries.
func TestFirstTriesDependOnTheSeedAlone(t *testing.T) {
	scenario := DefaultScenario()
	arrivals := firstTries(NewWorkload(&scenario, 7, testStart))
	withRetries := NewWorkload(&scenario, 7, testStart)
	for i := range arrivals {
		arrival, _ := withRetries.Next()
		if arrival != arrivals[i] {
			t.Fatalf("arrival %d is %+v, want %+v", i, arrival, arrivals[i])
		}
		first, _ := withRetries.Retry(arrival, emulator.AnswerRejected, 0, arrival.At)
		second, _ := withRetries.Retry(arrival, emulator.AnswerRejected, 0, arrival.At)
		if first != second {
			t.Fatalf("two retries of the same try differ: %+v and %+v", first, second)
		}
	}
	if slices.Equal(arrivals, firstTries(NewWorkload(&scenario, 8, testStart))) {
		t.Error("two seeds give the same arrivals")
	}
}

func TestEstimatedUnitsAreUnbiasedWhereUnitsAreSettled(t *testing.T) {
	scenario := DefaultScenario()
	scenario.Clients.MaxUnits = 1000 // so that the bounds hardly affect the estimates
	scenario.Plans = []emulator.Plan{{Name: "large", Share: 1, Rate: 1000, Burst: 5000}}
	scenario.Classes[0].Work = emulator.Duration(100 * time.Microsecond)
	scenario.Classes[1].Work = emulator.Duration(100 * time.Microsecond)
	scenario.Length = emulator.Duration(300 * time.Second)
	sum, square, count := 0.0, 0.0, 0.0
	for _, a := range firstTries(NewWorkload(&scenario, 1, testStart)) {
		if a.TrueUnits > 100 && a.TrueUnits < 400 {
			relative := a.Units/a.TrueUnits - 1
			sum += relative
			square += relative * relative
			count++
		}
	}
	if mean := sum / count; math.Abs(mean) > 0.01 {
		t.Errorf("mean relative error of the estimates %v over %v requests, want 0", mean, count)
	}
	if deviation := math.Sqrt(square / count); math.Abs(deviation-0.3) > 0.02 {
		t.Errorf("standard deviation of the estimates %v, want 0.3", deviation)
	}
	scenario.Meter.Settled = false
	for _, a := range firstTries(NewWorkload(&scenario, 1, testStart)) {
		if a.Units != a.TrueUnits {
			t.Fatalf("estimate differs from the true units although units are not settled: %+v", a)
		}
	}
}

func TestBurstMultipliesTheLoadOfAllCustomers(t *testing.T) {
	scenario := DefaultScenario()
	scenario.Clients.SpikyShare = 0
	scenario.Length = emulator.Duration(90 * time.Second)
	scenario.Clients.BurstAt = emulator.Duration(30 * time.Second)
	scenario.Clients.BurstLength = emulator.Duration(30 * time.Second)
	scenario.Clients.BurstFactor = 3
	var inThird [3]float64
	for _, a := range firstTries(NewWorkload(&scenario, 1, testStart)) {
		inThird[min(2, (a.At-testStart)/(30*time.Second))]++
	}
	if ratio := 2 * inThird[1] / (inThird[0] + inThird[2]); math.Abs(ratio-3) > 0.2 {
		t.Errorf("%v requests in the thirds of the run, want three times as many in the second", inThird)
	}
}

func TestRequestsAreSkewedOverTheGatewaySetAndShift(t *testing.T) {
	scenario := DefaultScenario()
	scenario.Gateways = 10
	scenario.Clients.SetMin, scenario.Clients.ShiftEvery = 1, emulator.Duration(10*time.Second)
	for _, c := range []struct{ skew, least, most float64 }{{0, 0.09, 0.11}, {0.8, 0.2, 0.35}, {1, 0.26, 0.32}} {
		scenario.Clients.Skew = c.skew
		w := NewWorkload(&scenario, 1, testStart)
		busiest, draws, periods := 0.0, 20_000, make(map[int]bool)
		for i := range draws {
			at := testStart + time.Duration(i)*10*time.Millisecond
			position := w.busiestPosition(5, 10, at)
			periods[position] = true
			if w.drawGateway(5, 3, 10, at, w.random) == (3+position)%10 {
				busiest++
			}
		}
		if share := busiest / float64(draws); share < c.least || share > c.most {
			t.Errorf("skew %v: the busiest gateway has a share of %v of the requests", c.skew, share)
		}
		if len(periods) < 5 {
			t.Errorf("skew %v: only %d gateways were the busiest in 20 periods", c.skew, len(periods))
		}
	}
}

// BenchmarkArrivals measures the generation of first tries for about 100,000 customers and 5,000 gateways.
func BenchmarkArrivals(b *testing.B) {
	scenario := DefaultScenario()
	scenario.Gateways, scenario.Endpoints.Count = 5000, 4500
	scenario.Length = emulator.Duration(time.Hour)
	scenario.Clients.SpikeEvery = emulator.Duration(10 * time.Minute)
	w := NewWorkload(&scenario, 1, testStart)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := w.Next(); !ok {
			b.Fatal("the workload has no more arrivals")
		}
	}
	b.ReportMetric(float64(w.Offered().Customers), "customers")
}
