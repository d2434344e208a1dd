package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// fake records the actions and plays the timers.
type fake struct {
	g       *Engine
	now     time.Duration
	log     []string
	sent    []sent
	refused []RequestID
	failed  []RequestID
	cancels []RequestID
	timers  []timer
}

type sent struct {
	id RequestID
	to EndpointID
	at time.Duration
}

type timer struct {
	at    time.Duration
	token uint64
}

func (f *fake) note(format string, a ...any) {
	f.log = append(f.log, fmt.Sprintf("%v ", f.now)+fmt.Sprintf(format, a...))
}
func (f *fake) Forward(id RequestID, s EndpointID, until time.Duration) {
	f.sent = append(f.sent, sent{id, s, f.now})
	f.note("send %d %d", id, s)
}
func (f *fake) Reject(id RequestID, after time.Duration) {
	f.refused = append(f.refused, id)
	f.note("refuse %d", id)
}
func (f *fake) Fail(id RequestID) { f.failed = append(f.failed, id); f.note("fail %d", id) }
func (f *fake) CancelAttempt(id RequestID, n int) {
	f.cancels = append(f.cancels, id)
	f.note("cancel %d %d", id, n)
}
func (f *fake) StartTimer(d time.Duration, token uint64) {
	f.timers = append(f.timers, timer{f.now + d, token})
}
func (f *fake) WatchEndpoints(on bool) { f.note("watch %v", on) }

// until plays the timers up to t, in order.
func (f *fake) until(t time.Duration) {
	for {
		best := -1
		for i, x := range f.timers {
			if x.at <= t && (best < 0 || x.at < f.timers[best].at) {
				best = i
			}
		}
		if best < 0 {
			f.now = t
			return
		}
		x := f.timers[best]
		f.timers = append(f.timers[:best], f.timers[best+1:]...)
		f.now = x.at
		f.g.TimerFired(x.at, x.token)
	}
}

func config() Config {
	return Config{GatewayCount: 2, Seed: 7, MeterPeriod: time.Second, CanCancel: true, MaxAttempts: 5, MaxRequestUnits: 4,
		MaxRetryAfter: time.Second, SendRetryAfter: true,
		WarmUpInitialCapacity: 0.2, WarmUpDuration: 10 * time.Second, WarmUpOverloadFactor: 2, WarmUpOverloadWindow: time.Second,
		Classes: []Class{
			{LatencyObjective: 500 * ms, PriorityWeight: 3, Idempotency: Idempotent},
			{LatencyObjective: 500 * ms, PriorityWeight: 3, Idempotency: IdempotentByKey, KeyScope: KeyScopeZone, KeyTTL: time.Second},
			{LatencyObjective: 500 * ms, PriorityWeight: 3, Idempotency: NonIdempotent},
		},
		Plans: []Plan{
			{QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaCost: 0.5},
			{QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaValue: 0.3},
			{QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaCost: 0.5, CeilingRate: 20, CeilingBurst: 40},
		}}
}

// start gives a gateway with warm servers 1..n, all in zone 0 but the last.
func start(cfg Config, n int) *fake {
	f := &fake{}
	f.g = New(cfg, f)
	f.g.Start(0)
	var list []Endpoint
	for i := 1; i <= n; i++ {
		list = append(list, Endpoint{ID: EndpointID(i), Weight: 1, State: StateReady})
	}
	list[n-1].Zone = 1
	f.g.UpdateEndpoints(0, UpdateCached, list)
	return f
}

func (f *fake) submit(id RequestID, class, plan int, units float64) {
	f.g.Submit(f.now, Request{ID: id, Class: class, Plan: plan, Customer: CustomerID(plan + 1),
		TimeLeft: 2 * time.Second, Units: units, SetSize: 2})
}

func (f *fake) finish(id RequestID, st Status, use float64) {
	var to EndpointID
	n := -1
	for _, s := range f.sent {
		if s.id == id {
			to = s.to
			n++
		}
	}
	f.g.AttemptFinished(f.now, AttemptResult{Request: id, Attempt: n, Endpoint: to, Status: st, Latency: 50 * ms, RequestDone: st == StatusOK,
		HasUsage: use >= 0, Usage: use})
}

func TestPassAtOnce(t *testing.T) {
	f := start(config(), 3)
	f.submit(1, 0, 0, 1)
	if len(f.sent) != 1 {
		t.Fatalf("not sent at once: %v", f.log)
	}
	f.finish(1, StatusOK, 0.5)
	f.until(5 * time.Second)
	if len(f.refused)+len(f.failed) != 0 || len(f.g.requests) != 0 {
		t.Errorf("answered twice or not at all: %v", f.log)
	}
}

func TestHoldFormula(t *testing.T) {
	g := start(config(), 3).g
	c := &customer{plan: &Plan{QuotaRate: 10}, avgUsage: 4}
	g.peakUsage, g.totalQuota, g.totalUsage = 100, 40, 20
	for _, k := range []struct {
		unmet    bool
		use, sum float64
		avail    float64
	}{
		{true, 4, 20, 16},  // 2b - avgUse below b
		{true, 12, 20, 10}, // else b
		{false, 4, 20, 24}, // B - (utilized - avgUse) while room is left
		{false, 4, 50, 10}, // else b
	} {
		g.someUnderQuota, c.avgUsage, g.totalUsage = k.unmet, k.use, k.sum
		if got := g.availableRate(c); got != k.avail {
			t.Errorf("%+v: avail %v", k, got)
		}
		if got, want := g.holdSeconds(c, 2), (1/k.avail-1/100.0)*2; math.Abs(got-want) > 1e-12 {
			t.Errorf("%+v: hold %v, want %v", k, got, want)
		}
	}
	g.peakUsage = 5
	if got := g.holdSeconds(c, 2); got != 0 {
		t.Errorf("a hold below zero: %v", got)
	}
}

// press makes the back end look pressed and the customer of plan 0 over its quota.
func overQuota(f *fake) *customer {
	f.submit(1, 0, 0, 1)
	f.finish(1, StatusOK, 1)
	c := f.g.customers[1]
	c.avgUsage, f.g.overloaded, f.g.pressure, f.g.someUnderQuota = 20, true, 0.9, true
	return c
}

func TestHeldLeaveInTurn(t *testing.T) {
	f := start(config(), 3)
	overQuota(f)
	f.g.peakUsage = 1e9
	for id := RequestID(2); id <= 4; id++ {
		f.submit(id, 0, 0, 1)
	}
	if len(f.sent) != 1 {
		t.Fatalf("passed while pressed and over quota: %v", f.log)
	}
	f.until(time.Second)
	// Holds of 0.1 s after one another; the third would pass half the aim of 0.5 s.
	want := []sent{{2, 0, 100 * ms}, {3, 0, 200 * ms}}
	for i, w := range want {
		if got := f.sent[i+1]; got.id != w.id || (got.at-w.at).Abs() > time.Microsecond {
			t.Errorf("release %d: %+v, want %+v", i, got, w)
		}
	}
	if !reflect.DeepEqual(f.refused, []RequestID{4}) {
		t.Errorf("past the bound: refused %v", f.refused)
	}
}

func TestQuotaRule(t *testing.T) {
	f := start(config(), 3)
	f.submit(1, 0, 0, 1)
	f.finish(1, StatusOK, 2)
	c := f.g.customers[1]
	for i := 0; i < 6; i++ { // use of twice the quota empties the store of 20 in 2 s
		f.until(f.now + time.Second)
		f.g.recordUsage(f.now, c, 2)
	}
	if c.fleetTokens != 0 || c.rejectProbability <= 0.5 {
		t.Fatalf("store %v, chance %v", c.fleetTokens, c.rejectProbability)
	}
	c.rejectProbability = 1
	if f.submit(2, 0, 0, 1); len(f.refused) != 1 {
		t.Errorf("empty store, chance 1: %v", f.log)
	}
	c.fleetTokens = 5
	if f.submit(3, 0, 0, 1); len(f.sent) != 2 {
		t.Errorf("units in store: %v", f.log)
	}
}

func TestBeforeTheMeterTheQuotaIsSplit(t *testing.T) {
	f := start(config(), 3)
	for id := RequestID(1); id <= 12; id++ {
		f.submit(id, 0, 0, 1)
	}
	if len(f.sent) != 10 || len(f.refused) != 2 { // half of a burst of 20
		t.Errorf("%d sent, %d refused", len(f.sent), len(f.refused))
	}
}

func TestSoftPlansMeetTheQuotaOnlyUnderPressure(t *testing.T) {
	f := start(config(), 3)
	for id := RequestID(1); id <= 12; id++ {
		f.submit(id, 0, 1, 1)
	}
	if len(f.sent) != 12 {
		t.Fatalf("a soft plan was refused on a quiet day: %v", f.log)
	}
	f.g.overloaded = true
	if f.submit(13, 0, 1, 1); len(f.refused) != 1 {
		t.Errorf("not refused under pressure: %v", f.log)
	}
}

func TestCeilingStartsEmptyAndIsNeverPassed(t *testing.T) {
	f := start(config(), 3)
	f.submit(1, 0, 2, 2)
	if len(f.sent) != 0 {
		t.Fatal("a fresh gateway passed a ceiling's unit")
	}
	id, answered := RequestID(2), 0
	for f.now < 6*time.Second {
		f.until(f.now + 20*ms)
		f.submit(id, 0, 2, 2)
		f.g.customers[3].estimatedTokens = 20
		for ; answered < len(f.sent); answered++ {
			f.finish(f.sent[answered].id, StatusOK, -1)
		}
		id++
	}
	units := 0.0
	for _, s := range f.sent {
		units += 2
		if limit := 10 * s.at.Seconds(); units > limit+1e-6 { // half of 20 a second
			t.Fatalf("%v units by %v", units, s.at)
		}
	}
	if units < 50 {
		t.Errorf("only %v units in 6 s", units)
	}
}

func TestDrainsAreKept(t *testing.T) {
	f := start(config(), 2)
	f.g.UpdateEndpoints(0, UpdateDelta, []Endpoint{{ID: 1, Weight: 1, State: StateDraining}})
	f.g.UpdateEndpoints(0, UpdateFull, []Endpoint{{ID: 1, Weight: 1, State: StateDraining}}) // 2 is absent: removed
	f.submit(1, 0, 0, 1)
	f.until(3 * time.Second)
	if len(f.sent) != 0 || len(f.refused) != 1 {
		t.Errorf("%v", f.log)
	}
}

func TestRepeatRules(t *testing.T) {
	for _, k := range []struct {
		class  int
		status Status
		resent bool
	}{
		{0, StatusReset, true}, {1, StatusReset, true}, {2, StatusReset, false}, {2, StatusConnectFailed, true}, {2, StatusRejected, true},
	} {
		f := start(config(), 3)
		f.submit(1, k.class, 0, 1)
		first := f.sent[0].to
		f.finish(1, k.status, -1)
		if got := len(f.sent) == 2; got != k.resent {
			t.Errorf("%+v: %v", k, f.log)
		}
		if !k.resent && len(f.failed) != 1 {
			t.Errorf("%+v: want a failure: %v", k, f.log)
		}
		if k.class == 1 && (first == 3) != (f.sent[1].to == 3) {
			t.Errorf("a key left its zone: %v", f.log)
		}
	}
}

func TestKeysAreNotResentPastTheirWindow(t *testing.T) {
	f := start(config(), 3)
	f.submit(1, 1, 0, 1)
	f.now = 1100 * ms
	if f.finish(1, StatusReset, -1); len(f.sent) != 1 || len(f.failed) != 1 {
		t.Errorf("%v", f.log)
	}
}

func TestSilentServerIsLeft(t *testing.T) {
	f := start(config(), 3)
	f.submit(1, 0, 0, 1)
	first := f.sent[0].to
	f.g.latencyPerUnit = 0.05
	f.until(400 * ms)
	if len(f.cancels) != 1 {
		t.Fatalf("still waiting on silence: %v", f.log)
	}
	if f.finish(1, StatusCancelled, -1); len(f.sent) != 2 || f.sent[1].to == first {
		t.Errorf("%v", f.log)
	}
	g := f.g
	f.submit(2, 2, 0, 1) // unsafe: never moved
	f.until(1900 * ms)
	if len(f.cancels) != 2 || g.requests[2] == nil { // only request 1's second attempt moved again
		t.Errorf("%v", f.log)
	}
}

func TestColdServerGetsItsShare(t *testing.T) {
	f := start(config(), 3)
	f.g.forwardRate = 60
	f.now = 100 * time.Second
	f.g.UpdateEndpoints(f.now, UpdateDelta, []Endpoint{{ID: 2, Weight: 1, State: StateReady, StartedAt: f.now}})
	cold := 0
	for id := RequestID(1); id <= 100; id++ { // one second of 100 units
		f.submit(id, 0, 9, 1)
		f.now += 10 * ms
	}
	for _, s := range f.sent {
		if s.to == 2 {
			cold++
		}
	}
	// Warm it would get 20 units a second of the remembered 60; it has a fifth of its capacity,
	// and the rule lets it have twice that.
	if cold > 12 || cold == 0 {
		t.Errorf("%d of 100 went to the cold server", cold)
	}
}

func TestBadEventsAreHarmless(t *testing.T) {
	f := start(config(), 1)
	f.g.Submit(0, Request{ID: 1, Class: 9, Plan: 9, TimeLeft: time.Second})
	f.g.Submit(0, Request{ID: 2, Plan: 9, TimeLeft: time.Second, Units: math.NaN()})
	f.g.Submit(0, Request{ID: 3, TimeLeft: -1})
	f.g.AttemptFinished(0, AttemptResult{Request: 77, Endpoint: 88, Status: StatusOK})
	f.g.AttemptFinished(0, AttemptResult{Request: 2, Endpoint: 88, Attempt: 40, Status: StatusReset})
	f.g.ClientDisconnected(0, 99)
	f.g.TimerFired(0, math.MaxUint64)
	if len(f.refused) != 2 || len(f.sent) != 1 || len(f.g.requests) != 1 {
		t.Errorf("%v", f.log)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() []string {
		f := start(config(), 3)
		for id := RequestID(1); id <= 300; id++ {
			f.g.Submit(f.now, Request{ID: id, Class: int(id) % 3, Plan: int(id) % 3, Customer: CustomerID(id % 17),
				TimeLeft: time.Second, Units: float64(id%4 + 1), SetSize: 2})
			if id%3 == 0 {
				f.finish(id, Status(id%5), 1.5)
			}
			f.until(f.now + 7*ms)
		}
		return f.log
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) || len(a) < 200 {
		t.Errorf("two runs differ, or say little (%d lines)", len(a))
	}
}

// Eighty gateways before sixty servers: each of them hears so few answers that a bound cut to
// a share of the time takes minutes to open again, while the servers stand idle.
func TestLatenessLeavesEachServerItsLeastWork(t *testing.T) {
	cfg := config()
	cfg.GatewayCount = 80
	f := start(cfg, 60)
	for i := range 200 {
		f.now += 100 * ms
		s := f.g.endpoints[EndpointID(i%60+1)]
		f.g.adjustLimits(f.now, s, &request{Request: Request{Units: 1}, class: &f.g.cfg.Classes[0]}, true, 900*ms)
	}
	if want := minUnitsPerEndpoint * 60 / 80; math.Abs(f.g.limit-want) > 1e-9 || f.g.pausedUntil > f.now {
		t.Fatalf("bound %v (want %v), rest %v after nothing but late answers", f.g.limit, want, f.g.pausedUntil-f.now)
	}
	if f.submit(1, 0, 9, 1); len(f.sent) != 1 {
		t.Error("nothing is sent at the least bound")
	}
	for _, s := range f.g.endpointList { // cold servers do less
		s.StartedAt = f.now
	}
	if least := f.g.minLimit(f.now); least >= minUnitsPerEndpoint*60/80 {
		t.Errorf("the least for cold servers is %v", least)
	}
}

// icb3277: servers full of stale work; the queue must stay at the gateway.
func TestWorkOutIsBoundedWhenAnswersAreLate(t *testing.T) {
	cfg := config()
	cfg.GatewayCount = 100 // they share one server, so a gateway's least is a share of the time
	f := start(cfg, 1)
	s, lost := f.g.endpoints[1], &request{Request: Request{Units: 1}, class: &f.g.cfg.Classes[0]}
	for i := 0; i < 100; i++ {
		f.now += time.Second
		f.g.adjustLimits(f.now, s, &request{Request: Request{Units: 1}, class: &f.g.cfg.Classes[0]}, true, 900*ms)
	}
	if s.limit != 1 || math.Abs(f.g.limit-max(minFleetLimit, minUnitsPerEndpoint/100)) > 1e-9 || f.g.pausedUntil <= f.now {
		t.Fatalf("limit %v, of all %v, rest %v after late answers", s.limit, f.g.limit, f.g.pausedUntil-f.now)
	}
	if f.submit(100, 0, 9, 1); len(f.sent) != 0 {
		t.Error("a resting gateway sent work")
	}
	// An attempt cuts it once, however often it is looked at: lost answers are looked at often.
	f.g.limit = 9
	for i := 0; i < 10; i++ {
		f.g.adjustLimits(f.now, s, lost, true, 900*ms)
	}
	if f.g.limit != 9-limitDecrease {
		t.Errorf("bound on all %v after one lost answer", f.g.limit)
	}
	f.g.pausedUntil, f.g.limit = 0, 9
	for id := RequestID(1); id <= 5; id++ {
		f.submit(id, 0, 9, 1)
	}
	if len(f.sent) != 1 {
		t.Errorf("%d out over a limit of one", len(f.sent))
	}
	s.inFlightUnits = 1
	for i := 0; i < 50; i++ {
		f.g.adjustLimits(f.now, s, lost, false, 50*ms)
	}
	if s.limit <= 1 || s.limit > 4.2 {
		t.Errorf("limit %v: it grows only while it is used", s.limit)
	}
}

// A surge that the meter has not seen yet: own tries since its last word drain the store.
func TestSurgeBeforeTheMeter(t *testing.T) {
	f := start(config(), 9)
	f.submit(1, 0, 0, 1)
	f.finish(1, StatusOK, 0.5)
	id := RequestID(2)
	for ; id <= 60; id++ { // 59 units at once; this gateway's part is about half
		f.submit(id, 0, 0, 1)
		f.finish(id, StatusOK, 0.5)
	}
	if n := len(f.sent); n < 8 || n > 12 { // half of a burst of 20, and the first request's
		t.Errorf("%d units of a surge were sent", n)
	}
}

// One of sixty gateways carries a third of a calm customer's requests. An even split of the
// burst is a sixth of one of them, and its debt would last for ten seconds.
func TestACalmCustomerOfManyGatewaysIsServed(t *testing.T) {
	cfg := config()
	cfg.GatewayCount, cfg.Plans[0].OverQuotaCost = 60, 1
	for cfg.Seed = 1; cfg.Seed <= 50; cfg.Seed++ {
		f := start(cfg, 9)
		id := RequestID(1)
		try := func() { // a unit a second here of three; the quota is 10
			f.until(f.now + 2*time.Second)
			f.g.Submit(f.now, Request{ID: id, Plan: 0, Customer: 5, TimeLeft: time.Second, Units: 2, SetSize: 60})
			if n := len(f.sent); n > 0 && f.sent[n-1].id == id {
				f.finish(id, StatusOK, 0.3)
			}
			id++
		}
		for len(f.sent) == 0 && id < 150 { // unknown, it is drawn for every twelve seconds
			try()
		}
		first := id
		for id < first+9 {
			try()
		}
		if n := len(f.sent); n < 9 {
			t.Errorf("seed %d: %d of 10 requests of a customer at three tenths of its quota were sent, from the first on", cfg.Seed, n)
		}
	}
}

// The same gateway before a customer far over its quota: the readings, and not the own store
// alone, close it, also in the periods in which no answer brings one.
func TestTheRefusalChanceMovesWithoutAnswers(t *testing.T) {
	cfg := config()
	cfg.GatewayCount = 60
	f := start(cfg, 9)
	c := f.g.customerFor(0, &Request{Customer: 5, Plan: 0, SetSize: 60})
	f.g.recordUsage(0, c, 3)
	once := c.rejectProbability
	f.g.updateCustomer(5*time.Second, c)
	if c.rejectProbability <= once || c.rejectProbability < 0.95 {
		t.Errorf("refused by %v after a reading of three quotas, by %v five periods later", once, c.rejectProbability)
	}
	f.g.recordUsage(6*time.Second, c, 0) // no use at all: the rule's limit
	if c.rejectProbability != 0 {
		t.Errorf("refused by %v at no use", c.rejectProbability)
	}
}

// One of a hundred and sixty gateways meets a customer now and then, a few requests at a time. Its
// part of the burst holds none of them, so what the meter tells has to let them in or keep them
// out: at the first reading too, for the use beyond a quota has begun before this gateway saw it.
func TestAThinSplitIsDecidedByTheMeter(t *testing.T) {
	for _, k := range []struct {
		use, overCost float64
		width         int
		least, most   int // of twenty tries after the first
	}{
		{use: 0.3, overCost: 0.5, width: 160, least: 10, most: 20}, // 40 units in 4 s, against 10 a second
		{use: 2, overCost: 0.5, width: 160, least: 0, most: 8},
		{use: 0.3, overCost: 1.2, width: 160, least: 0, most: 4}, // an error costs more than a success earns
		{use: 0.3, overCost: 0.5, width: 35, least: 0, most: 6},  // not thin: 0.57 units
	} {
		cfg := config()
		cfg.GatewayCount, cfg.Plans[0].OverQuotaCost = 160, k.overCost
		cfg.Seed = 2 // its gateway passes the first request
		f := start(cfg, 9)
		f.until(5 * time.Second)
		for id := RequestID(1); id <= 21; id++ {
			f.until(f.now + 200*ms)
			f.g.Submit(f.now, Request{ID: id, Plan: 0, Customer: 5, TimeLeft: time.Second, Units: 2, SetSize: k.width})
			if n := len(f.sent); n > 0 && f.sent[n-1].id == id {
				f.finish(id, StatusOK, k.use)
			}
		}
		if n := len(f.sent) - 1; n < k.least || n > k.most {
			t.Errorf("%d of 20 tries sent by one of %d gateways at a use of %v of the quota and a cost beyond it of %v, want %d to %d",
				n, k.width, k.use, k.overCost, k.least, k.most)
		}
	}
}

// A server that fails part of its work fast draws requests, and each of eighty gateways meets it
// seldom: one failure is enough to leave it alone for a second, and what must not run twice is
// not what it is then tried with.
func TestOneFailureEjectsAndOnlyRepeatableWorkTries(t *testing.T) {
	f := start(config(), 4)
	f.g.retryTokens = 0
	f.submit(1, 0, 9, 1)
	bad := f.g.endpoints[f.sent[0].to]
	f.finish(1, StatusServerError, -1)
	if !bad.ejected {
		t.Fatal("not ejected after a failure")
	}
	for _, s := range f.g.endpointList { // nowhere else to go
		if s != bad {
			s.State = StateDraining
		}
	}
	search, post := &f.g.cfg.Classes[0], &f.g.cfg.Classes[2]
	may := func(at time.Duration, k *Class) bool {
		c := f.g.customerFor(at, &Request{Customer: 9, Plan: 9, SetSize: 1})
		return f.g.chooseEndpoint(at, &request{Request: Request{Units: 1}, class: k, customer: c}) == bad
	}
	soon, late := minEjection+ms, minEjection+maxEjection+ms
	if may(minEjection-ms, search) || !may(soon, search) || may(soon, post) || !may(late, post) {
		t.Errorf("tried early %v, by repeatable work %v, by other work %v, and at last %v",
			may(minEjection-ms, search), may(soon, search), may(soon, post), may(late, post))
	}
}

// A server that drains declines what comes, for seconds before the list says so, and a gateway
// with little traffic goes on meeting it. It is left alone for a second, then for two.
func TestAServerThatDeclinesIsLeftAlone(t *testing.T) {
	f := start(config(), 4)
	f.g.retryTokens = 0
	f.submit(1, 0, 9, 1)
	s := f.g.endpoints[f.sent[0].to]
	f.finish(1, StatusRejected, -1)
	if !s.ejected || s.nextTrial != f.now+minEjection {
		t.Fatalf("ejected %v until %v after it declined", s.ejected, s.nextTrial)
	}
	f.now = s.nextTrial
	f.g.recordFailure(f.now, s) // and again
	if rest := s.nextTrial - f.now; rest != 2*minEjection {
		t.Errorf("left alone for %v after it declined again", rest)
	}
	f.submit(2, 0, 9, 1)
	f.finish(2, StatusOK, -1)
	if other := f.g.endpoints[f.sent[1].to]; other == s {
		t.Error("sent to a server that is left alone")
	}
}

// A gateway of a large fleet hears from a server every few seconds, and a bad one turns bad in
// less: two slow answers must tell.
func TestTwoSlowAnswersTell(t *testing.T) {
	f := start(config(), 4)
	f.submit(1, 0, 9, 1)
	s := f.g.endpoints[f.sent[0].to]
	s.latencyPerUnit, f.g.latencyPerUnit = 0.05, 0.05
	was := f.g.cost(f.now, s, 1)
	for range 2 {
		f.g.recordResult(f.now, s, AttemptResult{Endpoint: s.ID, Latency: 200 * ms}, 1, f.g.requests[1])
	}
	if now := f.g.cost(f.now, s, 1); now < 2.5*was {
		t.Errorf("cost %v after two answers four times as slow, %v before", now, was)
	}
}

// i6a2346: a full server answers at once and so looks idle; it must not draw the retries.
func TestFullServerCostsMore(t *testing.T) {
	f := start(config(), 1)
	f.g.latencyPerUnit = 0.1
	s := f.g.endpoints[1]
	was := f.g.cost(f.now, s, 1)
	f.submit(1, 2, 9, 1)
	limit := s.limit
	f.g.retryTokens = 0
	f.finish(1, StatusRejected, -1)
	if s.limit >= limit || f.g.cost(f.now, s, 1) <= was {
		t.Errorf("limit %v, cost %v after a full refusal", s.limit, f.g.cost(f.now, s, 1))
	}
}

// diliman-farm-later: a hundred gateways hear of a cold server at once, and each would send its
// first request to it. The sum over all of them is the budget.
func TestColdServerUnderManyGateways(t *testing.T) {
	total := 0
	for n := 0; n < 100; n++ {
		cfg := config()
		cfg.GatewayCount, cfg.GatewayIndex, cfg.Seed = 100, n, uint64(n)
		f := start(cfg, 1)
		f.g.forwardRate, f.now = 0.1, time.Second
		f.g.UpdateEndpoints(f.now, UpdateFull, []Endpoint{{ID: 7, Weight: 1, State: StateReady, StartedAt: f.now}})
		s := f.g.endpoints[7]
		for i := 0; i < 20; i++ { // one second, a request in 50 ms, nowhere else to send it
			f.now += 50 * ms
			if f.g.warmUpBudgetAllows(f.now, s, 1) {
				s.warmUpTokens--
				total++
			}
		}
	}
	// 0.8 of twice 0.2 to 0.28 of the 10 units a second of all gateways: near 4.
	if total < 1 || total > 9 {
		t.Errorf("%d units in the first second, the budget is about 4", total)
	}
}

// Six in ten servers of a large fleet are replaced. A gateway reaches for few servers, but the
// cold ones are bounded by their stores: all gateways together must give them what they can do.
func TestAFleetUsesItsColdServers(t *testing.T) {
	const gateways, warm, cold = 80, 24, 36
	units := map[EndpointID]float64{}
	for n := range gateways {
		cfg := config()
		cfg.GatewayIndex, cfg.GatewayCount, cfg.Seed = n, gateways, uint64(n)
		f := start(cfg, warm)
		for id := RequestID(1); id <= 75; id++ { // 6 units a second for 25 s
			f.until(f.now + 333*ms)
			if id == 60 {
				var fresh []Endpoint
				for id := EndpointID(100); id < 100+cold; id++ {
					fresh = append(fresh, Endpoint{ID: id, Weight: 1, State: StateReady, StartedAt: f.now})
				}
				f.g.UpdateEndpoints(f.now, UpdateDelta, fresh)
			}
			f.g.Submit(f.now, Request{ID: id, Plan: 9, Customer: 9, TimeLeft: time.Second, Units: 2, SetSize: 1})
			to := f.sent[len(f.sent)-1].to
			units[to] += 2
			f.g.AttemptFinished(f.now, AttemptResult{Request: id, Endpoint: to, Latency: 200 * ms, RequestDone: true})
		}
	}
	// A warm server's part is 8 units a second. From a fifth to seven tenths warm in 5 s, a cold
	// one can do 18 at least, and may be sent 2 times that.
	var sum, most float64
	for id, u := range units {
		if id >= 100 {
			sum, most = sum+u, max(most, u)
		}
	}
	if mean := sum / cold; mean < 9 || most > 36 {
		t.Errorf("a cold server was sent %v units on average, %v at most; it can do 18 at least", mean, most)
	}
}

// idec807: hundreds of gateways that visit every server hold more connections than it takes.
func TestAGatewayReachesForFewServers(t *testing.T) {
	all := map[EndpointID]int{}
	for n := 0; n < 50; n++ {
		cfg := config()
		cfg.GatewayIndex, cfg.GatewayCount = n, 50
		f := start(cfg, 20)
		own := map[EndpointID]bool{}
		for id := RequestID(1); id <= 30; id++ {
			f.now += 200 * ms
			f.g.Submit(f.now, Request{ID: id, Plan: 9, Customer: 9, TimeLeft: time.Second, Units: 1, SetSize: 1})
			to := f.sent[len(f.sent)-1].to
			own[to] = true
			all[to]++
			f.g.AttemptFinished(f.now, AttemptResult{Request: id, Endpoint: to, Latency: 50 * ms, RequestDone: true})
		}
		if len(own) > 3 {
			t.Fatalf("gateway %d visited %d servers with one request out at a time", n, len(own))
		}
	}
	if len(all) < 18 {
		t.Errorf("50 gateways reach for %d of 20 servers together", len(all))
	}
}

// tallinn-nom-later: one of fifty gateways passed a calm customer's request, and was then short
// for a minute. What the readings leave unused may be used, unless the back end is pressed.
func TestUnusedQuotaFeedsAStoreThatARequestOverdraws(t *testing.T) {
	fed := func(use float64, pressed bool) float64 {
		cfg := config()
		cfg.Seed = 2 // its gateway passes the first request
		f := start(cfg, 3)
		f.g.Submit(0, Request{ID: 1, Plan: 0, Customer: 5, TimeLeft: time.Second, Units: 1, SetSize: 50})
		c := f.g.customers[5]
		if len(f.sent) != 1 {
			t.Fatal("the first request was not passed")
		}
		for i := 0; i < 20; i++ {
			f.now += time.Second
			f.g.recordUsage(f.now, c, use)
		}
		c.estimatedTokens, f.g.overloaded = -500, pressed
		f.g.updateCustomer(f.now+time.Second, c)
		return c.estimatedTokens + 500
	}
	if calm, busy, held := fed(0.1, false), fed(1.5, false), fed(0.1, true); calm < 30 || busy != 10 || held != 10 {
		t.Errorf("fed %v to a calm customer, %v to a busy one, %v under pressure; the quota is 10", calm, busy, held)
	}
}

// A hundred gateways that each pass a request whenever the whole quota has earned one would
// pass a hundred quotas: the own store keeps a debt.
func TestOwnStoreKeepsADebt(t *testing.T) {
	f := start(config(), 3)
	sent := 0
	for id := RequestID(1); id <= 100; id++ { // one of 20 gateways, 1 unit a second for 100 s, quota 10
		f.now += time.Second
		f.g.Submit(f.now, Request{ID: id, Plan: 0, Customer: 5, TimeLeft: time.Second, Units: 1, SetSize: 20})
		if len(f.sent) > sent {
			sent++
			f.g.AttemptFinished(f.now, AttemptResult{Request: id, Endpoint: f.sent[len(f.sent)-1].to, Latency: 50 * ms, RequestDone: true})
		}
	}
	if sent < 45 || sent > 55 { // 100 s of a twentieth of 10 units a second, and the burst's part
		t.Errorf("%d units sent, an even part is 51", sent)
	}
}

// ie1fcc9: every server is slow and shared by many gateways, so each hears from one
// seldom; moving attempts away then only multiplies the work.
func TestSlowIsNotSilent(t *testing.T) {
	f := start(config(), 3)
	f.g.latencyPerUnit = 0.15 // what a unit takes of late
	f.submit(1, 0, 9, 1)
	f.until(1100 * ms)
	if len(f.cancels) != 0 {
		t.Fatalf("moved while the latency of late is 150 ms: %v", f.log)
	}
	f.until(1300 * ms)
	if len(f.cancels) != 1 {
		t.Errorf("still waiting at eight times the latency of late: %v", f.log)
	}
}

// Guards against answers that get lost: bounds that took them for lateness closed on a fleet
// that was well, and nine requests in ten were refused for many seconds. An attempt that the
// server has overtaken with a later one is moved, and cuts no bound.
func TestLostAnswersCloseNoBound(t *testing.T) {
	f := start(config(), 3)
	f.g.latencyPerUnit = 0.025
	f.submit(1, 0, 0, 1)
	s := f.g.endpoints[f.sent[0].to]
	own := s.limit
	f.until(ms)
	f.submit(2, 0, 0, 1)
	for i := 2; f.sent[i-1].to != s.ID; i++ { // until one is sent after it to the same server
		f.submit(RequestID(i+1), 0, 0, 1)
	}
	last := f.sent[len(f.sent)-1].id
	f.until(20 * ms)
	f.finish(last, StatusOK, -1)
	f.until(250 * ms)
	if r := f.g.requests[1]; r == nil || !r.overtaken() || !slices.Contains(f.cancels, 1) {
		t.Fatalf("not moved: %v", f.log)
	}
	if s.limit < own || s.failures != 0 {
		t.Errorf("the server's bound fell from %v to %v, %d failures", own, s.limit, s.failures)
	}
}

// i6a2346: while pressed, a request that cannot be in time costs no work.
func TestTooLateIsRefusedBeforeItCostsWork(t *testing.T) {
	f := start(config(), 3)
	f.g.latencyPerUnit, f.g.overloaded, f.g.pressure = 0.6, true, 1
	if f.submit(1, 0, 9, 1); len(f.refused) != 1 || len(f.sent) != 0 {
		t.Errorf("%v", f.log)
	}
	f.g.latencyPerUnit = 0.1
	if f.submit(2, 0, 9, 1); len(f.sent) != 1 {
		t.Errorf("%v", f.log)
	}
}

// The bound keeps latency low, so latency alone no longer shows pressure.
func TestNoRoomIsPressure(t *testing.T) {
	f := start(config(), 1)
	f.g.endpoints[1].limit, f.g.endpoints[1].inFlight, f.g.endpoints[1].inFlightUnits = 1, 1, 1
	for id := RequestID(1); id <= 10; id++ {
		f.submit(id, 0, 9, 1)
	}
	f.until(400 * ms)
	if !f.g.overloaded {
		t.Errorf("pressure %v after every request found no room", f.g.pressure)
	}
}

// Overload inside the quotas: cheap work leaves the last of a server's room to dear work.
func TestCheapWorkYieldsWhilePressed(t *testing.T) {
	cfg := config()
	cfg.Plans[1].PriceFactor = 0.2
	f := start(cfg, 1)
	s := f.g.endpoints[1]
	f.g.overloaded, f.g.pressure = true, 1
	s.limit, s.inFlight, s.inFlightUnits, s.lastResponse = 4, 2, 2, 0
	f.submit(1, 0, 1, 1) // plan 1 earns a fifth of plan 0
	if len(f.sent) != 0 {
		t.Fatalf("cheap work took the last room: %v", f.log)
	}
	if f.submit(2, 0, 0, 1); len(f.sent) != 1 {
		t.Errorf("dear work found no room: %v", f.log)
	}
	s.inFlight, s.inFlightUnits = 0, 0
	if f.until(100 * ms); len(f.sent) != 2 {
		t.Errorf("cheap work is starved on an idle server: %v", f.log)
	}
}

// A server that is removed while work is out must serve again when it is listed again.
func TestServerComesBackAfterLeavingWithWorkOut(t *testing.T) {
	f := start(config(), 1)
	f.submit(1, 2, 9, 1)
	f.g.UpdateEndpoints(0, UpdateDelta, []Endpoint{{ID: 1, State: StateRemoved}})
	f.g.UpdateEndpoints(0, UpdateDelta, []Endpoint{{ID: 1, Weight: 1, State: StateReady}})
	f.finish(1, StatusOK, -1)
	if f.submit(2, 0, 9, 1); len(f.sent) != 2 {
		t.Errorf("%v", f.log)
	}
	f.g.UpdateEndpoints(0, UpdateDelta, []Endpoint{{ID: 1, State: StateRemoved}})
	if f.finish(2, StatusOK, -1); len(f.g.endpoints) != 0 {
		t.Error("a server that has gone is kept for ever")
	}
}

// A stream may outlast every aim; it is no sign of a slow server and is never moved.
func TestStreamsAreLeftAlone(t *testing.T) {
	f := start(config(), 2)
	f.submit(1, 0, 9, 1)
	s := f.g.endpoints[f.sent[0].to]
	f.g.ResponseStarted(0, 1, 0, s.ID, 0)
	before := s.limit
	f.until(1900 * ms)
	if len(f.cancels) != 0 || s.limit != before {
		t.Errorf("limit %v -> %v, %v", before, s.limit, f.log)
	}
}

func TestOpenAttemptQuotaIsSplit(t *testing.T) {
	cfg := config()
	cfg.Plans[0] = Plan{MaxConcurrent: 4, OverQuotaCost: 0.5}
	f := start(cfg, 3)
	for id := RequestID(1); id <= 3; id++ {
		f.submit(id, 0, 0, 1)
	}
	if len(f.sent) != 2 || len(f.refused) != 1 { // half of four
		t.Errorf("%v", f.log)
	}
	f.finish(1, StatusOK, -1)
	if f.submit(4, 0, 0, 1); len(f.sent) != 3 {
		t.Errorf("an answer frees no place: %v", f.log)
	}
}

// Settings and events that no site should have must not panic, and each request still gets its answer.
func TestAbsurdSettingsAreHarmless(t *testing.T) {
	for i, cfg := range []Config{
		{Classes: []Class{{}}, Plans: []Plan{{QuotaRate: 1}}},
		{GatewayIndex: 9, GatewayCount: 3, Classes: []Class{{LatencyObjective: time.Second}}, Plans: []Plan{{QuotaRate: 1, CeilingRate: 1}}},
		{GatewayIndex: -4, GatewayCount: -1, MeterPeriod: -1, WarmUpDuration: time.Second, Classes: []Class{{LatencyObjective: time.Second}}},
	} {
		f := &fake{}
		f.g = New(cfg, f)
		f.g.Start(0)
		f.g.UpdateEndpoints(0, UpdateFull, nil)
		f.g.Submit(0, Request{ID: 1, TimeLeft: time.Second, Units: 1})
		f.g.UpdateEndpoints(0, UpdateFull, []Endpoint{{ID: 1, State: StateReady, Weight: math.NaN(), StartedAt: time.Millisecond}})
		f.g.Submit(f.now, Request{ID: 2, Plan: -7, TimeLeft: time.Second, SetSize: -3, SetFirst: 99})
		f.until(500 * ms)
		for n := 0; n < 2; n++ { // the second time is a duplicate
			for _, s := range f.sent {
				f.g.AttemptFinished(f.now, AttemptResult{Request: s.id, Endpoint: s.to, Latency: ms, RequestDone: true, HasUsage: true, Usage: math.NaN()})
			}
		}
		f.until(3 * time.Second)
		if len(f.refused)+len(f.failed)+len(f.sent) != 2 || len(f.g.requests) != 0 {
			t.Errorf("settings %d: %v", i, f.log)
		}
	}
}

// Guards the edge node's sleep: it drops the timers that Wants disowns, so Wants must own
// a timer for as long as it would act, and no longer.
func TestWantsOnlyTimersThatAct(t *testing.T) {
	f := start(config(), 2)
	f.submit(1, 0, 0, 1)
	pass, patience := f.timers[0].token, f.timers[1].token
	if !f.g.TimerPending(pass) || !f.g.TimerPending(patience) {
		t.Error("a timer in use is disowned")
	}
	f.finish(1, StatusOK, -1)
	if !f.g.TimerPending(pass) || f.g.TimerPending(patience) {
		t.Error("after the answer only the pass is wanted")
	}
	f.submit(2, 0, 2, 1) // waits for the ceiling's part
	release := f.timers[len(f.timers)-1].token
	if !f.g.TimerPending(release) {
		t.Error("a held request's timer is disowned")
	}
	f.g.ClientDisconnected(f.now, 2)
	if f.g.TimerPending(release) {
		t.Error("the timer of a client that has gone is wanted")
	}
}

// Guards against a bound that closes for ever: an attempt gives back just what it took, also
// when its client has left or its server has gone meanwhile.
func TestUnitsOutAreGivenBack(t *testing.T) {
	f := start(config(), 3)
	for id := RequestID(1); id <= 8; id++ {
		f.submit(id, 0, 0, 4)
		if len(f.sent) != int(id) {
			t.Fatalf("request %d was not sent", id)
		}
		to := f.sent[len(f.sent)-1].to
		f.g.ClientDisconnected(f.now, id)
		if id%2 == 0 {
			f.g.UpdateEndpoints(f.now, UpdateDelta, []Endpoint{{ID: to, State: StateRemoved}})
		}
		f.g.AttemptFinished(f.now, AttemptResult{Request: id, Endpoint: to, Status: StatusCancelled, RequestDone: true})
		f.g.UpdateEndpoints(f.now, UpdateDelta, []Endpoint{{ID: to, Weight: 1, State: StateReady}})
		if f.g.inFlightUnits != 0 || f.g.endpoints[to].inFlightUnits != 0 || f.g.endpoints[to].inFlight != 0 || len(f.g.orphans) != 0 {
			t.Fatalf("after %d: %v units out, %d strays", id, f.g.inFlightUnits, len(f.g.orphans))
		}
		f.until(f.now + 2*time.Second)
	}
}

// Guards customers that come once: the ceiling's part of one that is unknown has filled since
// the gateway's start, so its first request need not wait, and the ceiling still holds.
func TestCeilingOfANewcomerHasFilled(t *testing.T) {
	f := start(config(), 3)
	f.until(time.Minute)
	c := &f.g.cfg.Plans[2]
	f.submit(1, 0, 2, 4)
	if len(f.sent) != 1 {
		t.Fatal("a newcomer's first request is not sent at once")
	}
	if got, want := f.g.customers[3].ceilingTokens, c.CeilingBurst/2-4; got != want {
		t.Errorf("its part of the ceiling holds %v, want %v", got, want)
	}
}

// A gateway that ends owes what it holds an answer before it does.
func TestWhatIsHeldAtTheEndIsAnswered(t *testing.T) {
	f := start(config(), 3)
	overQuota(f)
	f.g.peakUsage = 1e9
	f.submit(2, 0, 0, 1) // held for 100 ms
	f.g.BeginShutdown(f.now, f.now+10*ms)
	f.until(f.now + 20*ms)
	if len(f.sent) != 1 || !reflect.DeepEqual(f.refused, []RequestID{2}) || len(f.g.requests) != 0 {
		t.Errorf("%v", f.log)
	}
}

// A request whose client has left is not sent on, however it waited: held, for a server with room,
// or between two attempts; whether or not attempts may be cancelled.
func TestALeaverIsNotSentOn(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		cfg := config()
		cfg.CanCancel = cancel
		left := func(what string, f *fake, id RequestID, sent int) {
			t.Helper()
			f.g.ClientDisconnected(f.now, id)
			if f.until(f.now + 5*time.Second); len(f.sent) != sent || len(f.refused)+len(f.failed) != 0 || len(f.g.requests) != 0 {
				t.Errorf("%s, cancel %v: %v", what, cancel, f.log)
			}
		}
		f := start(cfg, 3)
		overQuota(f)
		f.g.peakUsage = 1e9
		f.submit(2, 0, 0, 1)
		left("held", f, 2, 1)

		f = start(cfg, 3)
		f.g.pausedUntil = 100 * ms
		f.submit(1, 0, 0, 1)
		left("waiting for a server", f, 1, 0)

		f = start(cfg, 3)
		f.submit(1, 0, 0, 1)
		f.g.ClientDisconnected(f.now, 1)
		f.g.AttemptFinished(f.now, AttemptResult{Request: 1, Endpoint: f.sent[0].to, Status: StatusRejected, RequestDone: true})
		left("between attempts", f, 1, 1)

		f = start(cfg, 3)
		f.g.latencyPerUnit = 0.01
		f.submit(1, 0, 0, 1)
		f.g.ClientDisconnected(f.now, 1) // its patience runs out, and then the attempt ends one way or another
		f.until(f.now + time.Second)
		f.g.AttemptFinished(f.now, AttemptResult{Request: 1, Endpoint: f.sent[0].to, Status: StatusTimedOut, RequestDone: true})
		left("past its patience", f, 1, 1)
		if len(f.g.orphans) != 0 || f.g.inFlightUnits != 0 {
			t.Errorf("%d strays, %v units out", len(f.g.orphans), f.g.inFlightUnits)
		}
	}
}

// Where a split of the burst holds no request, the first one at every gateway used to pass: a greedy
// customer of a large set met a gateway that knew nothing of it nearly every time. Now requests pass at
// a part of the gateways, as the operators' term, their size and their plan's cost leave room for, and
// asking again changes nothing: what tells of a customer is its use, and a refusal tells of none.
func TestUnknownCustomersRiskLittle(t *testing.T) {
	for _, k := range []struct {
		width              int
		quota, units, cost float64
		low, high          int // of 300 gateways, over three standard deviations off what is due
	}{
		{150, 2, 1, 1.2, 232, 272}, // a usual request of two units passes at 0.42 of them, one unit at twice that
		{150, 2, 4, 1.2, 42, 84},   // and four units at half of it
		{150, 10, 4, 1.2, 42, 84},  // also where readings will tell
		{150, 2, 4, 2, 29, 69},     // 0.33 and half of it
		{150, 2, 4, 0.5, 112, 164}, // 0.92: little has to be refused
		{150, 2, 4, 0.3, 300, 300}, // the term bears all
		{150, 2, 4, 0, 300, 300},
		{4, 2, 4, 2, 300, 300}, // its split of the burst tells
	} {
		passed, again := 0, 0
		for n := range 300 {
			cfg := config()
			cfg.GatewayCount, cfg.GatewayIndex, cfg.Seed = 300, n, uint64(n)
			cfg.Plans = []Plan{{QuotaRate: k.quota, Burst: 10, PriceFactor: 1, OverQuotaCost: k.cost}}
			f := start(cfg, 3)
			for id := RequestID(1); id <= 5; id++ {
				f.now += 500 * ms
				f.g.Submit(f.now, Request{ID: id, Plan: 0, Customer: 9, TimeLeft: 2 * time.Second, Units: k.units, SetSize: k.width})
				if id == 1 {
					passed += len(f.sent)
					again -= len(f.sent)
				}
				if again += len(f.sent); len(f.sent) > 0 {
					break
				}
			}
		}
		if passed < k.low || passed > k.high || again != 0 {
			t.Errorf("%+v: passed at %d gateways, and at %d more when asked again", k, passed, again)
		}
	}
}

// The term binds over all plans together: beside a cheap plan that makes most of the worth a dear one
// passes, and beside dearer ones it gives way to those that cost less.
func TestTheTermIsSharedByAllPlans(t *testing.T) {
	passed := func(cost, other float64) (n int) {
		for seed := range uint64(300) {
			cfg := config()
			cfg.GatewayCount, cfg.Seed = 300, seed
			cfg.Plans = []Plan{{QuotaRate: 2, Burst: 10, PriceFactor: 1, OverQuotaCost: cost}, {QuotaRate: 2, Burst: 10, PriceFactor: 1, OverQuotaCost: other}}
			f := start(cfg, 3)
			for id := RequestID(2); id <= 20; id++ { // others ask four times as much
				f.g.Submit(f.now, Request{ID: id, Plan: 1, Customer: CustomerID(id), TimeLeft: 2 * time.Second, Units: 2, SetSize: 150})
				if k := len(f.sent); k > 0 && f.sent[k-1].id == id {
					f.finish(id, StatusOK, 0.3)
				}
			}
			before := len(f.sent)
			f.until(time.Second)
			f.g.Submit(f.now, Request{ID: 1, Plan: 0, Customer: 1, TimeLeft: 2 * time.Second, Units: 2, SetSize: 150})
			if k := len(f.sent); k > before && f.sent[k-1].id == 1 {
				n++
			}
		}
		return n
	}
	alone, cheap, dear := passed(1, 1), passed(1, 0.1), passed(1, 3)
	if alone < 100 || alone > 160 || cheap < 295 || dear < alone+60 {
		t.Errorf("of 300 gateways %d pass a request of a cost of 1 beside its like, %d beside cheap plans, %d beside dear ones",
			alone, cheap, dear)
	}
}

// A customer that is met for the first time beyond its quota has emptied its store unseen, whatever
// its plan's overuse costs: the chance of a refusal starts as after the periods that its burst lasts.
func TestACostlyCustomerIsFoundBeyondItsQuota(t *testing.T) {
	for _, cost := range []float64{0.5, 1.2} {
		cfg := config()
		cfg.GatewayCount, cfg.Plans[0].OverQuotaCost = 300, cost
		f := start(cfg, 3)
		c := f.g.customerFor(0, &Request{Customer: 5, Plan: 0, SetSize: 150})
		f.g.recordUsage(time.Second, c, 3)
		if c.fleetTokens != 0 || c.rejectProbability < 0.8 {
			t.Errorf("cost %v: a store of %v units, refused by %v at a first reading of three quotas", cost, c.fleetTokens, c.rejectProbability)
		}
	}
}

// coldFleet is a fleet of gateways before warm servers and some that start cold, in one time and fed by
// one seed of random arrivals; what the gateways send to the cold ones counts as one sum.
type coldFleet struct {
	t          *testing.T
	rng        *rand.Rand
	cfg        Config
	gateways   []*fake
	told       []time.Duration // when each gateway hears of the cold servers
	warm, cold int
	now        time.Duration
	next       RequestID
	out        []outAt
	sends      map[EndpointID][]unitsAt
	alive      int     // the first so many gateways get all requests
	bears      float64 // units a second that all servers answer; what is beyond is declined
}

type outAt struct {
	at time.Duration
	f  *fake
	id RequestID
	to EndpointID
}

type unitsAt struct {
	at    time.Duration
	units float64
}

func (c *coldFleet) list(cold bool) (list []Endpoint) {
	for i := range c.warm {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Weight: 1, State: StateReady})
	}
	for i := 0; cold && i < c.cold; i++ {
		list = append(list, Endpoint{ID: EndpointID(1000 + i), Weight: 1, State: StateReady, StartedAt: coldStart})
	}
	return list
}

// begin starts gateway n, or starts it anew.
func (c *coldFleet) begin(n int, cold bool) {
	cfg := c.cfg
	cfg.GatewayIndex, cfg.Seed = n, c.rng.Uint64()
	f := &fake{now: c.now}
	f.g = New(cfg, f)
	f.g.Start(c.now)
	f.g.UpdateEndpoints(c.now, UpdateCached, c.list(cold))
	c.gateways[n] = f
}

const coldStart = 60 * time.Second

// play lets requests arrive at random, so many units a second over all gateways, until a time.
func (c *coldFleet) play(until time.Duration, rate float64, units func() float64, mean float64) {
	for gap := c.rng.ExpFloat64() * mean / rate; ; gap = c.rng.ExpFloat64() * mean / rate {
		at := c.now + time.Duration(gap*float64(time.Second))
		end := at > until
		if end {
			at = until
		}
		for len(c.out) > 0 && c.out[0].at <= at {
			o := c.out[0]
			c.out = c.out[1:]
			o.f.until(o.at)
			status := StatusOK
			if c.rng.Float64()*rate > c.bears {
				status = StatusRejected
			}
			o.f.g.AttemptFinished(o.at, AttemptResult{Request: o.id, Endpoint: o.to, Status: status, Latency: 100 * ms, RequestDone: true})
		}
		for n, told := range c.told {
			if told > c.now && told <= at {
				c.gateways[n].until(told)
				c.gateways[n].g.UpdateEndpoints(told, UpdateDelta, c.list(true)[c.warm:])
			}
		}
		if c.now = at; end {
			return
		}
		f := c.gateways[c.rng.IntN(c.alive)]
		f.until(at)
		c.next++
		u, sent := units(), len(f.sent)
		f.g.Submit(at, Request{ID: c.next, Plan: 9, Customer: CustomerID(c.next), TimeLeft: time.Second, Units: u, SetSize: 1})
		if len(f.sent) > sent {
			to := f.sent[sent].to
			c.out = append(c.out, outAt{at + 100*ms, f, c.next, to})
			if to >= 1000 {
				c.sends[to] = append(c.sends[to], unitsAt{at, u})
			}
		}
	}
}

// Guards rule 4 as the operators count it: what all processes send a cold server is one sum, and beyond
// its budget of N calls in a window only 2 roots of N and 2 are chance. Also where many gateways could each send a
// whole request, where they are told at once or one by one, are new and know no rate, where a quiet time
// lets them save up for a surge, and where all requests are large. The ramp has to be used all the same.
func TestAllProcessesTogetherKeepTheBudgetOfColdServers(t *testing.T) {
	const capacity, warm, cold = 20.0, 12, 6 // units a second of a warm server
	mixed := func(rng *rand.Rand) float64 { return []float64{1, 1, 1, 1, 1, 2, 2, 2, 3, 4}[rng.IntN(10)] }
	for _, k := range []struct {
		name                          string
		oneByOne, anew, killed, quiet bool
		load                          float64 // of the capacity of the warm servers, before
		surge                         float64 // and after the start, or after three quiet windows
		large                         bool
		least                         float64 // part of the ramp's budget that is used, a fifth of it by 350 processes
	}{
		{name: "told at once", load: 0.6, surge: 0.6, least: 0.15},
		{name: "told one by one", oneByOne: true, load: 0.6, surge: 0.6, least: 0.15},
		{name: "a third are new", anew: true, load: 0.6, surge: 0.6, least: 0.15},
		{name: "seven in ten were killed and come back", killed: true, load: 0.6, surge: 0.6, least: 0.15},
		{name: "a surge", load: 0.9, surge: 1.3, least: 0.15},
		{name: "a surge after quiet", load: 0.9, quiet: true, surge: 1.3},
		{name: "overload", load: 1.5, surge: 2.5, least: 0.15},
		{name: "large requests", large: true, load: 0.9, surge: 0.9, least: 0.15},
		{name: "large requests in a surge after quiet", large: true, load: 0.9, quiet: true, surge: 1.3},
	} {
		for _, processes := range []int{20, 30, 350} {
			rng := rand.New(rand.NewPCG(uint64(processes), 11))
			cfg := config()
			cfg.GatewayCount, cfg.WarmUpInitialCapacity, cfg.WarmUpDuration, cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = processes, 0.2, 12*time.Second, 2.5, 3*time.Second
			cfg.Classes[0].LatencyObjective = 2 * time.Second
			c := &coldFleet{t: t, rng: rng, cfg: cfg, warm: warm, cold: cold, gateways: make([]*fake, processes),
				told: make([]time.Duration, processes), sends: map[EndpointID][]unitsAt{}, alive: processes, bears: capacity * warm}
			units, mean := func() float64 { return mixed(rng) }, 1.8
			if k.large {
				units, mean = func() float64 { return 4 }, 4.0
			}
			for n := range processes {
				c.begin(n, false)
				if c.told[n] = coldStart; k.oneByOne {
					c.told[n] += time.Duration(n) * 3 * time.Second / time.Duration(processes)
				}
			}
			if k.killed {
				c.play(coldStart-20*time.Second, k.load*capacity*warm, units, mean)
				c.alive = processes * 3 / 10
			}
			c.play(coldStart-time.Second, k.load*capacity*warm, units, mean)
			for n := c.alive; n < processes; n++ {
				c.begin(n, false)
			}
			c.alive = processes
			for n := 0; k.anew && n < processes; n += 3 {
				c.begin(n, false)
			}
			c.play(coldStart, k.load*capacity*warm, units, mean)
			if k.quiet {
				c.play(coldStart+3*cfg.WarmUpOverloadWindow, 1, units, mean)
			}
			c.play(coldStart+cfg.WarmUpDuration, k.surge*capacity*warm, units, mean)
			if processes > 100 {
				k.least /= 5 // each meets a request in four seconds, and its store begins with the first
			}
			c.check(k.name, capacity, mean, k.least)
		}
	}
}

// check looks at each window that ends with a send, and at what was used of the ramp.
func (c *coldFleet) check(name string, capacity, mean, least float64) {
	c.t.Helper()
	used, worst := 0.0, math.Inf(-1)
	for _, sends := range c.sends {
		first, sum := 0, 0.0
		for _, x := range sends {
			sum += x.units
			used += x.units
			for sends[first].at <= x.at-c.cfg.WarmUpOverloadWindow {
				sum -= sends[first].units
				first++
			}
			warmth := c.cfg.WarmUpInitialCapacity + (1-c.cfg.WarmUpInitialCapacity)*(x.at-coldStart).Seconds()/c.cfg.WarmUpDuration.Seconds()
			n := c.cfg.WarmUpOverloadFactor * capacity * warmth * c.cfg.WarmUpOverloadWindow.Seconds() / mean
			worst = max(worst, (sum/mean-n)/(2*math.Sqrt(n)+2))
		}
	}
	budget := c.cfg.WarmUpOverloadFactor * capacity * (1 + c.cfg.WarmUpInitialCapacity) / 2 * c.cfg.WarmUpDuration.Seconds() * float64(c.cold)
	if share := used / budget; worst > 1 || share < least {
		c.t.Errorf("%s, %d processes: at worst %.2f of the chance allowed beyond the budget; %.2f of the ramp used, want %.2f at least",
			name, len(c.gateways), worst, share, least)
	} else {
		c.t.Logf("%s, %d processes: %.2f of the chance, %.2f of the ramp", name, len(c.gateways), worst, share)
	}
}

// With some hundreds of servers, most of them cold, summing up the fleet for each cold one at each choice
// is a hundred thousand steps a request: the sum is kept, and has to follow every kind of news.
func TestTheReadyWeightFollowsTheRoster(t *testing.T) {
	f := start(config(), 3)
	f.g.forwardRate = 10
	cold := func() float64 { return f.g.warmUpRate(0, &endpoint{Endpoint: Endpoint{Weight: 1}}) }
	for _, k := range []struct {
		kind UpdateKind
		list []Endpoint
		want float64 // ready weight
	}{
		{UpdateDelta, []Endpoint{{ID: 4, Weight: 3, State: StateReady}}, 6},
		{UpdateDelta, []Endpoint{{ID: 4, Weight: 5, State: StateReady}}, 8},
		{UpdateDelta, []Endpoint{{ID: 1, Weight: 1, State: StateDraining}, {ID: 2, State: StateRemoved}}, 6},
		{UpdateFailed, nil, 6},
		{UpdateFull, []Endpoint{{ID: 9, Weight: 2, State: StateReady}}, 2},
		{UpdateDelta, []Endpoint{{ID: 9, State: StateRemoved}, {ID: 10, State: StateReady}}, 1},
	} {
		f.g.UpdateEndpoints(0, k.kind, k.list)
		if want := warmUpMargin * 2 * 10 / k.want; math.Abs(cold()-want) > 1e-9 {
			t.Errorf("%+v: %v units a second for a cold server, want %v", k, cold(), want)
		}
	}
}

// A surge that has begun since the period that was read: each of its gateways reads no use at all. Taken
// for the only one, each would feed its own store with nearly the whole quota.
func TestAReadingOfNoneMakesNoGatewayTheOnlyOne(t *testing.T) {
	cfg := config()
	cfg.GatewayCount, cfg.MeterPeriod = 300, time.Second
	cfg.Plans = []Plan{{QuotaRate: 8, Burst: 30, PriceFactor: 1, OverQuotaCost: 1}}
	sent := 0
	for cfg.Seed = 1; cfg.Seed <= 20; cfg.Seed++ {
		f := start(cfg, 3)
		for id := RequestID(1); id <= 20; id++ {
			f.until(f.now + 200*ms)
			f.g.Submit(f.now, Request{ID: id, Plan: 0, Customer: 5, TimeLeft: time.Second, Units: 2, SetSize: 200})
			if n := len(f.sent); n > 0 && f.sent[n-1].id == id {
				f.finish(id, StatusOK, 0)
			}
		}
		sent += len(f.sent)
	}
	if mean := float64(sent) / 20; mean < 0.2 || mean > 0.8 {
		t.Errorf("each of 200 gateways sent %v requests on average, with no reading of use", mean)
	}
}

// How often refused tries come again elsewhere, and how much is asked beyond quotas, no setting tells.
// Readings do: where they show that overuse costs more than the term, unknown requests pass less
// often. One answer hardly counts, what was told fades, and nothing widens the chance.
func TestReadingsCutTheChanceOfUnknownRequests(t *testing.T) {
	tighter := func(use, cost float64, answers int, after time.Duration) float64 {
		cfg := config()
		cfg.GatewayCount = 300
		cfg.Plans = []Plan{{QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaCost: cost}}
		f := start(cfg, 3)
		c := f.g.customerFor(0, &Request{Customer: 5, SetSize: 150})
		r := &request{Request: Request{Units: 2}, class: &cfg.Classes[0], customer: c}
		f.g.recordRequested(r)
		for range answers {
			f.g.recordUsage(f.now, c, use)
			f.g.recordOveruse(r)
		}
		f.until(f.now + after)
		return f.g.overuseCorrection()
	}
	if got := tighter(0.5, 1, 40, 0); got != 1 {
		t.Errorf("cut to %v though all is inside", got)
	}
	if got := tighter(4, 0.02, 40, 0); got != 1 {
		t.Errorf("cut to %v though overuse costs next to nothing", got)
	}
	one, many, old := tighter(4, 1, 1, 0), tighter(4, 1, 40, 0), tighter(4, 1, 40, 6*overuseDecay)
	if one < 0.6 || one >= 1 || many > 0.3 || many <= 0 || old < 0.8 {
		t.Errorf("cut to %v by one reading of four quotas, to %v by forty, to %v once that has faded", one, many, old)
	}
	if got := tighter(1.2, 1, 40, 0); got <= many || got >= 1 {
		t.Errorf("cut to %v by readings a little beyond the quota, to %v by those far beyond it", got, many)
	}
}

// And requests do pass less often then.
func TestATightenedGatewayRefusesMore(t *testing.T) {
	passed := func(cost, beyond float64) (n int) {
		for seed := range uint64(200) {
			cfg := config()
			cfg.GatewayCount, cfg.Seed = 300, seed
			cfg.Plans = []Plan{{QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaCost: 1}, {QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaCost: 1}}
			f := start(cfg, 3)
			f.g.meteredValue, f.g.meteredOveruseCost, f.g.meteredCount = 600, cost*600, 100
			f.g.planOveruse[0], f.g.planOveruse[1] = overuseStats{200, 200 * beyond}, overuseStats{200, 200 * (0.4 - beyond)}
			f.g.Submit(0, Request{ID: 1, Customer: 9, TimeLeft: time.Second, Units: 2, SetSize: 150})
			n += len(f.sent)
		}
		return n
	}
	if calm, costly := passed(0.01, 0.2), passed(0.4, 0.2); calm < 70 || costly > calm/2 {
		t.Errorf("%d of 200 pass where overuse costs little, %d where it costs four times the term", calm, costly)
	}
	if calm, greedy := passed(0.01, 0.1), passed(0.01, 0.3); greedy > calm*2/3 {
		t.Errorf("%d of 200 pass for the plan whose readings tell of less beyond quotas, %d for the other", calm, greedy)
	}
}

// A plan whose readings tell of more units beyond quotas than those of the others passes less, theirs
// more; a few answers move little, and without any all plans weigh alike.
func TestPlansWeighAsTheirReadingsTell(t *testing.T) {
	cfg := config()
	cfg.GatewayCount = 300
	cfg.Plans = []Plan{{QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaCost: 1}, {QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaCost: 1}}
	f := start(cfg, 3)
	weights := func(answers int) (float64, float64) {
		for range answers {
			for plan, use := range []float64{0.5, 3} {
				c := f.g.customerFor(0, &Request{Customer: CustomerID(plan), Plan: plan, SetSize: 150})
				f.g.recordUsage(f.now, c, use)
				f.g.recordOveruse(&request{Request: Request{Units: 2}, class: &cfg.Classes[0], customer: c})
			}
		}
		return f.g.planOveruseRatio(&f.g.planOveruse[0]), f.g.planOveruseRatio(&f.g.planOveruse[1])
	}
	if calm, greedy := weights(0); calm != 1 || greedy != 1 {
		t.Errorf("weights of %v and %v before any answer", calm, greedy)
	}
	if calm, greedy := weights(1); calm < 0.8 || calm >= 1 || greedy <= 1 || greedy > 1.2 {
		t.Errorf("weights of %v and %v after one answer each", calm, greedy)
	}
	if calm, greedy := weights(40); calm > 0.3 || calm <= 0 || greedy < 1.7 || greedy > 2 {
		t.Errorf("weights of %v and %v after forty more", calm, greedy)
	}
	if calm, greedy := f.g.planOveruseRatio(&f.g.planOveruse[2]), f.g.planOveruseRatio(&overuseStats{}); calm != 1 || greedy != 1 {
		t.Errorf("weights of %v and %v for plans of which nothing was told", calm, greedy)
	}
}

// Where there is no meter, a customer that was met once was refused for minutes, also where its overuse
// costs little: the split is then given out more than once. Where overuse is dear it is not.
func TestCheapOveruseLocksNoCustomerOut(t *testing.T) {
	sent := func(cost float64) int {
		cfg := config()
		cfg.GatewayCount, cfg.MeterPeriod, cfg.Seed = 300, 0, 2
		cfg.Plans = []Plan{{QuotaRate: 20, Burst: 50, PriceFactor: 1, OverQuotaCost: cost}}
		f := start(cfg, 3)
		for id := RequestID(1); id <= 10; id++ {
			f.until(f.now + time.Second)
			f.g.Submit(f.now, Request{ID: id, Plan: 0, Customer: 5, TimeLeft: time.Second, Units: 2, SetSize: 150})
			if n := len(f.sent); n > 0 && f.sent[n-1].id == id {
				f.g.AttemptFinished(f.now, AttemptResult{Request: id, Endpoint: f.sent[n-1].to, Latency: 50 * ms, RequestDone: true})
			}
		}
		return len(f.sent)
	}
	if cheap, dear := sent(0.2), sent(1.5); cheap < 9 || dear > 3 {
		t.Errorf("%d of 10 requests sent where overuse costs little, %d where it is dear", cheap, dear)
	}
}
