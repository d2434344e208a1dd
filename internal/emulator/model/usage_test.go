package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

func TestMeterReportsTheLastKnownPeriod(t *testing.T) {
	meter := NewMeter(emulator.Meter{
		Period:   emulator.Duration(time.Second),
		DelayMin: emulator.Duration(300 * time.Millisecond),
		DelayMax: emulator.Duration(300 * time.Millisecond),
	}, rand.New(rand.NewPCG(1, 2)))
	begin := 1000 * time.Second
	meter.Record(begin, 1, 2)
	meter.Record(begin+999*time.Millisecond, 1, 1.004)
	meter.Record(begin+time.Second, 1, 9)
	for _, test := range []struct {
		after    time.Duration
		customer policy.CustomerID
		rate     float64
		share    float64
		ok       bool
	}{
		{after: 1299 * time.Millisecond, customer: 1, rate: 4},
		{after: 1300 * time.Millisecond, customer: 1, rate: 4, share: 0.75, ok: true},
		{after: 1300 * time.Millisecond, customer: 2, rate: 4, share: 0, ok: true},
		{after: 1300 * time.Millisecond, customer: 1, rate: 0},
		{after: 2300 * time.Millisecond, customer: 1, rate: 4, share: 2.25, ok: true},
		{after: 3300 * time.Millisecond, customer: 1, rate: 4, share: 0, ok: true},
	} {
		share, ok := meter.Reading(begin+test.after, test.customer, test.rate)
		if share != test.share || ok != test.ok {
			t.Errorf("%+v: reading %v, %v", test, share, ok)
		}
	}
	meter.SetSilent(true)
	if _, ok := meter.Reading(begin+4*time.Second, 1, 4); ok {
		t.Error("a silent meter has a reading")
	}
	if _, ok := NewMeter(emulator.Meter{}, nil).Reading(begin, 1, 4); ok {
		t.Error("a meter without a period has a reading")
	}
}

func TestMeterDelaysAreWithinBounds(t *testing.T) {
	meter := NewMeter(emulator.Meter{
		Period:   emulator.Duration(time.Second),
		DelayMin: emulator.Duration(100 * time.Millisecond),
		DelayMax: emulator.Duration(500 * time.Millisecond),
	}, rand.New(rand.NewPCG(1, 2)))
	begin := 1000 * time.Second
	delays := map[time.Duration]bool{}
	for period := range 200 {
		now := begin + time.Duration(period)*time.Second
		meter.Record(now, 1, float64(period+1))
		for after := time.Duration(0); after < time.Second; after += 10 * time.Millisecond {
			share, _ := meter.Reading(now+after, 1, 1)
			if share == float64(period) && period > 0 {
				delays[after] = true
				break
			}
		}
	}
	for after := range delays {
		if after < 100*time.Millisecond || after > 500*time.Millisecond {
			t.Errorf("a period became known after %v, want 100ms to 500ms", after)
		}
	}
	if len(delays) < 30 { // the delays fall on 41 steps of 10 ms
		t.Errorf("delays take %d different values, want about 40", len(delays))
	}
}

func TestLedgerTracksQuotas(t *testing.T) {
	ledger := NewLedger([]emulator.Plan{{Rate: 2, Burst: 5}, {MaxConcurrent: 1}})
	now := 1000 * time.Second
	taken := []bool{ledger.Take(now, 1, 0, 4), ledger.Take(now, 1, 0, 2), ledger.Take(now, 1, 0, 1)}
	if want := []bool{true, false, true}; !slices.Equal(taken, want) {
		t.Errorf("within the quota: %v, want %v", taken, want)
	}
	ledger.Settle(1, 0, 3)
	if left := ledger.Left(now+time.Second, 1, 0); left != -1 {
		t.Errorf("%v units left after a settlement, want -1", left)
	}
	ledger.Settle(1, 0, -100)
	if left := ledger.Left(now+time.Second, 1, 0); left != 5 {
		t.Errorf("%v units left after a refund, want the burst, 5", left)
	}
	if left := ledger.Left(now, 2, 0); left != 5 {
		t.Errorf("%v units left of another customer, want the burst, 5", left)
	}

	ledger.BeginAttempt(3, 1)
	if ledger.Take(now, 3, 1, 1) || !math.IsInf(ledger.Left(now, 3, 1), 1) {
		t.Error("the request exceeds MaxConcurrent but is within the quota, or a plan without a rate has a finite quota")
	}
	ledger.EndAttempt(3, 1)
	if !ledger.Take(now, 3, 1, 1) {
		t.Error("the request is over quota although no attempt is in flight")
	}
}

func TestLedgerReportsCeilingsBrokenBeyondTheSlack(t *testing.T) {
	ledger := NewLedger([]emulator.Plan{{Rate: 1, Burst: 1, CeilingRate: 1, CeilingBurst: 4, CeilingSlack: 1}})
	now := 1000 * time.Second
	for _, customer := range []policy.CustomerID{8, 5} {
		for range 5 {
			ledger.Take(now, customer, 0, 1) // uses up the burst and the slack
		}
	}
	if broken := ledger.CeilingBroken(); len(broken) != 0 {
		t.Errorf("ceilings of %v are broken within the slack, want none", broken)
	}
	for _, customer := range []policy.CustomerID{8, 5, 8} {
		ledger.Take(now, customer, 0, 0.5)
	}
	if broken := ledger.CeilingBroken(); !slices.Equal(broken, []policy.CustomerID{8, 5}) {
		t.Errorf("ceilings of %v are broken, want those of 8 and 5", broken)
	}
}

func TestNetworkDelayHasTheConfiguredMean(t *testing.T) {
	spec := emulator.Network{Delay: emulator.Duration(2 * time.Millisecond), Jitter: 0.5}
	network := NewNetwork(spec, rand.New(rand.NewPCG(1, 2)))
	const count = 100_000
	var sum time.Duration
	for range count {
		delay := network.Delay()
		if delay < time.Millisecond {
			t.Fatalf("delay %v is below the fixed part of 1ms", delay)
		}
		sum += delay
	}
	if mean := sum / count; mean < 1980*time.Microsecond || mean > 2020*time.Microsecond {
		t.Errorf("mean delay %v, want 2 ms", mean)
	}
	fixed := NewNetwork(emulator.Network{Delay: emulator.Duration(time.Millisecond)}, nil)
	if delay := fixed.Delay(); delay != time.Millisecond {
		t.Errorf("delay %v without jitter, want 1 ms", delay)
	}
}

// counterTest is a counter that records the results of its calls in the order in which they arrive.
type counterTest struct {
	*Counter
	scheduler *emulator.VirtualScheduler
	results   []CounterResult
}

func newCounterTest(spec CounterSpec) *counterTest {
	scheduler := emulator.NewVirtualScheduler(1000 * time.Second)
	counter := NewCounter(spec, scheduler, rand.New(rand.NewPCG(1, 2)))
	return &counterTest{Counter: counter, scheduler: scheduler}
}

// call adds an amount and records the result.
func (c *counterTest) call(name string, amount float64, ttl time.Duration) {
	c.Add(name, amount, ttl, func(result CounterResult) { c.results = append(c.results, result) })
}

// expect advances the time and checks the results that have arrived since the previous call of expect.
func (c *counterTest) expect(t *testing.T, after time.Duration, want ...CounterResult) {
	t.Helper()
	c.scheduler.RunUntil(c.scheduler.Now() + after)
	if !slices.Equal(c.results, want) {
		t.Errorf("results %+v, want %+v", c.results, want)
	}
	c.results = nil
}

func counterTestTotal(total float64) CounterResult { return CounterResult{CounterAdded, total} }

func TestCounterAddsAndExpires(t *testing.T) {
	c := newCounterTest(CounterSpec{Latency: time.Millisecond})
	c.call("a", 2.5, 4*time.Second)
	c.call("a", -1, time.Hour)
	c.call("b", 1.23456789, time.Hour)
	c.expect(t, 0)
	c.expect(t, time.Millisecond, counterTestTotal(2.5), counterTestTotal(1.5), counterTestTotal(1.234568))
	c.call("a", 0, time.Hour)
	c.expect(t, 3998*time.Millisecond, counterTestTotal(1.5))
	c.expect(t, time.Millisecond) // the TTL of a has passed
	c.call("a", 7, time.Second)
	c.call("b", 0, time.Second)
	c.expect(t, time.Millisecond, counterTestTotal(7), counterTestTotal(1.234568))
	c.expect(t, time.Minute) // the TTL of b, which is capped at a minute, has passed
	c.call("b", 0, time.Second)
	c.expect(t, time.Millisecond, counterTestTotal(0))

	invalid := CounterResult{Status: CounterInvalid}
	c.call("", 1, time.Second)
	c.call(strings.Repeat("n", 65), 1, time.Second)
	c.call("n", math.NaN(), time.Second)
	c.call("n", 2e9, time.Second)
	c.call("n", 1, 0)
	c.expect(t, time.Millisecond, invalid, invalid, invalid, invalid, invalid)
}

func TestCounterQueuesCallsAndRejectsLongWaits(t *testing.T) {
	c := newCounterTest(CounterSpec{CallsPerSecond: 10, MaxWait: 150 * time.Millisecond})
	c.SetSlowdown(2)
	for range 3 { // each call takes 200 ms, so that the second and the third would wait longer than MaxWait
		c.call("a", 1, time.Second)
	}
	c.SetSlowdown(1)
	c.expect(t, 199*time.Millisecond, CounterResult{Status: CounterRejected}, CounterResult{Status: CounterRejected})
	c.expect(t, time.Millisecond, counterTestTotal(1))
	c.call("a", 1, time.Second)
	c.call("a", 1, time.Second)
	c.expect(t, 100*time.Millisecond, counterTestTotal(2))
	c.expect(t, 100*time.Millisecond, counterTestTotal(3))
}

func TestCounterLosesCallsWhenStoppedAndTotalsWhenFlushed(t *testing.T) {
	c := newCounterTest(CounterSpec{CallsPerSecond: 1000, Shards: 3, Latency: time.Millisecond})
	c.call("a", 1, time.Minute)
	c.expect(t, time.Second, counterTestTotal(1))
	c.call("a", 1, time.Minute)
	c.SetState(CounterSilent)
	c.call("a", 1, time.Minute)
	c.SetState(CounterUp)
	c.expect(t, time.Second)
	c.call("a", 0, time.Minute)
	c.expect(t, 3500*time.Microsecond) // the call has been served and its answer is due later
	c.SetState(CounterSilent)
	c.SetState(CounterUp)
	c.expect(t, time.Second)
	c.SetState(CounterSilent)
	c.call("a", 1, time.Minute)
	c.expect(t, time.Second)
	c.SetState(CounterRefusing)
	c.call("a", 1, time.Minute)
	c.expect(t, time.Second, CounterResult{Status: CounterRefused})
	c.SetState(CounterUp)
	c.call("a", 0, time.Minute)
	c.expect(t, time.Second, counterTestTotal(1))
	c.Flush(0)
	c.call("a", 0, time.Minute)
	c.expect(t, time.Second, counterTestTotal(1))
	c.Flush(1)
	c.call("a", 0, time.Minute)
	c.expect(t, time.Second, counterTestTotal(0))
}
