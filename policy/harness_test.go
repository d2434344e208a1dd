package policy

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Indexes of the classes and plans in testConfig.
const (
	idempotentClass    = 0
	keyedClass         = 1
	nonIdempotentClass = 2

	costlyPlan  = 0 // requests over quota cost a part of their value
	softPlan    = 1 // requests over quota still earn a part of their value
	ceilingPlan = 2 // like costlyPlan, with a ceiling in addition to the quota
	unknownPlan = 9 // not configured, so that no quota applies
)

// noUsage is passed as the usage of an answer that carries no usage reading.
const noUsage = -1

// testConfig returns the configuration that most tests start from.
func testConfig() Config {
	return Config{
		GatewayCount:    2,
		Seed:            7,
		MeterPeriod:     time.Second,
		MaxRequestUnits: 4,
		CanCancel:       true,
		MaxAttempts:     5,
		SendRetryAfter:  true,
		MaxRetryAfter:   time.Second,

		WarmUpInitialCapacity: 0.2,
		WarmUpDuration:        10 * time.Second,
		WarmUpOverloadFactor:  2,
		WarmUpOverloadWindow:  time.Second,

		Classes: []Class{
			{LatencyObjective: 500 * time.Millisecond, PriorityWeight: 3, Idempotency: Idempotent},
			{LatencyObjective: 500 * time.Millisecond, PriorityWeight: 3, Idempotency: IdempotentByKey,
				KeyScope: KeyScopeZone, KeyTTL: time.Second},
			{LatencyObjective: 500 * time.Millisecond, PriorityWeight: 3, Idempotency: NonIdempotent},
		},
		Plans: []Plan{
			{QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaCost: 0.5},
			{QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaValue: 0.3},
			{QuotaRate: 10, Burst: 20, PriceFactor: 1, OverQuotaCost: 0.5, CeilingRate: 20, CeilingBurst: 40},
		},
	}
}

// eventQueue orders events by time. Events of the same time keep the order in which they were added.
type eventQueue struct{ events []scheduledEvent }

type scheduledEvent struct {
	at  time.Duration
	run func()
}

func (q *eventQueue) add(at time.Duration, run func()) {
	position := sort.Search(len(q.events), func(i int) bool { return q.events[i].at > at })
	q.events = slices.Insert(q.events, position, scheduledEvent{at, run})
}

// popDue removes and returns the first event if it is due by the given time.
func (q *eventQueue) popDue(until time.Duration) (scheduledEvent, bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return scheduledEvent{}, false
	}
	first := q.events[0]
	q.events = q.events[1:]
	return first, true
}

// testGateway implements Actions for an engine: it records the engine's actions and fires its timers.
type testGateway struct {
	engine    *Engine
	now       time.Duration
	log       []string // all actions except timers, as text
	forwarded []forwardedAttempt
	rejected  []RequestID
	failed    []RequestID
	cancelled []RequestID // one entry per cancelled attempt
	lastTimer Timer       // the timer that was started last
	queue     eventQueue  // timers that have not fired
}

type forwardedAttempt struct {
	request  RequestID
	endpoint EndpointID
	at       time.Duration
}

// newTestGateway returns a gateway whose engine starts at the given time and knows no endpoint.
func newTestGateway(cfg Config, now time.Duration) *testGateway {
	gateway := &testGateway{now: now}
	gateway.engine = New(cfg, gateway)
	gateway.engine.Start(now)
	return gateway
}

// startTestGateway returns a gateway with the warm endpoints 1 to count. The last one is in zone 1,
// the others in zone 0.
func startTestGateway(cfg Config, count int) *testGateway {
	gateway := newTestGateway(cfg, 0)
	list := readyEndpoints(count)
	list[count-1].Zone = 1
	gateway.engine.UpdateEndpoints(0, UpdateCached, list)
	return gateway
}

// readyEndpoints returns the warm endpoints 1 to count.
func readyEndpoints(count int) []Endpoint {
	var list []Endpoint
	for id := 1; id <= count; id++ {
		list = append(list, Endpoint{ID: EndpointID(id), Weight: 1, State: StateReady})
	}
	return list
}

func (g *testGateway) record(format string, values ...any) {
	g.log = append(g.log, fmt.Sprintf("%v ", g.now)+fmt.Sprintf(format, values...))
}

func (g *testGateway) Forward(id RequestID, endpoint EndpointID, _ time.Duration) {
	g.forwarded = append(g.forwarded, forwardedAttempt{id, endpoint, g.now})
	g.record("forward %d to %d", id, endpoint)
}

func (g *testGateway) Reject(id RequestID, _ time.Duration) {
	g.rejected = append(g.rejected, id)
	g.record("reject %d", id)
}

func (g *testGateway) Fail(id RequestID) {
	g.failed = append(g.failed, id)
	g.record("fail %d", id)
}

func (g *testGateway) CancelAttempt(id RequestID, attempt int) {
	g.cancelled = append(g.cancelled, id)
	g.record("cancel %d attempt %d", id, attempt)
}

func (g *testGateway) StartTimer(after time.Duration, timer Timer) {
	g.lastTimer = timer
	at := g.now + after
	g.queue.add(at, func() { g.engine.TimerFired(at, timer) })
}

func (g *testGateway) WatchEndpoints(on bool) { g.record("watch %v", on) }

// advanceTo fires the timers that are due by the given time, in order.
func (g *testGateway) advanceTo(until time.Duration) {
	for due, ok := g.queue.popDue(until); ok; due, ok = g.queue.popDue(until) {
		g.now = due.at
		due.run()
	}
	g.now = until
}

// advance fires the timers that are due within the given duration from now.
func (g *testGateway) advance(duration time.Duration) { g.advanceTo(g.now + duration) }

// submit submits a request of the plan's only customer, whose requests are spread over two gateways.
func (g *testGateway) submit(id RequestID, class, plan int, units float64) {
	g.engine.Submit(g.now, Request{ID: id, Class: class, Plan: plan, Customer: CustomerID(plan + 1),
		TimeLeft: 2 * time.Second, Units: units, SetSize: 2})
}

// submitSpread submits a request of spreadCustomer in plan 0, whose requests are spread over the given number of
// gateways.
func (g *testGateway) submitSpread(id RequestID, units float64, gateways int) {
	g.engine.Submit(g.now, Request{ID: id, Plan: 0, Customer: spreadCustomer,
		TimeLeft: time.Second, Units: units, SetSize: gateways})
}

// spreadCustomer is the customer whose requests submitSpread submits.
const spreadCustomer CustomerID = 5

// finish ends the latest attempt of a request with a latency of 50 ms.
func (g *testGateway) finish(id RequestID, status Status, usage float64) {
	result := AttemptResult{Request: id, Attempt: -1, Status: status, Latency: 50 * time.Millisecond,
		RequestDone: status == StatusOK, HasUsage: usage >= 0, Usage: usage}
	for _, attempt := range g.forwarded {
		if attempt.request == id {
			result.Endpoint = attempt.endpoint
			result.Attempt++
		}
	}
	g.engine.AttemptFinished(g.now, result)
}

// finishFirstAttempt ends the first attempt of a request and marks the request as done.
func (g *testGateway) finishFirstAttempt(id RequestID, endpoint EndpointID, status Status, latency time.Duration) {
	g.engine.AttemptFinished(g.now, AttemptResult{Request: id, Endpoint: endpoint, Status: status,
		Latency: latency, RequestDone: true})
}

// lastForwardedIs reports whether the latest attempt belongs to the given request.
func (g *testGateway) lastForwardedIs(id RequestID) bool {
	return len(g.forwarded) > 0 && g.lastForwarded().request == id
}

func (g *testGateway) lastForwarded() forwardedAttempt { return g.forwarded[len(g.forwarded)-1] }

// endpointOfAttempt returns the endpoint of the attempt with the given index in the order of forwarding.
func (g *testGateway) endpointOfAttempt(attempt int) *endpoint {
	return g.engine.endpoints[g.forwarded[attempt].endpoint]
}

// newRequest returns the engine's internal form of a request of the idempotent class, for tests of single methods.
func newRequest(engine *Engine, units float64, c *customer) *request {
	return &request{Request: Request{Units: units}, class: &engine.cfg.Classes[idempotentClass], customer: c}
}
