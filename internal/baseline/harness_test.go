package baseline

import (
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// Indexes of the classes and plans of testConfig.
const (
	idempotentClass    = 0
	keyedClass         = 1
	nonIdempotentClass = 2

	quotaPlan     = 0
	overQuotaPlan = 1 // requests over quota earn more than they cost
	unlimitedPlan = 2
	unknownPlan   = 9
)

func testConfig() policy.Config {
	return policy.Config{
		GatewayCount:          2,
		Seed:                  7,
		CanCancel:             true,
		MaxAttempts:           3,
		MaxRequestUnits:       4,
		WarmUpInitialCapacity: 0.2,
		WarmUpDuration:        10 * time.Second,
		Classes: []policy.Class{
			{Idempotency: policy.Idempotent},
			{Idempotency: policy.IdempotentByKey, KeyScope: policy.KeyScopeZone, KeyTTL: time.Second},
			{Idempotency: policy.NonIdempotent, KeyTTL: time.Second},
		},
		Plans: []policy.Plan{
			{QuotaRate: 10, Burst: 20, OverQuotaCost: 0.5},
			{QuotaRate: 10, Burst: 20, OverQuotaValue: 0.5},
			{},
		},
	}
}

// fakeGroundTruth is an emulator.GroundTruth whose values a test sets. It records the ages that it is asked for.
type fakeGroundTruth struct {
	backlogs  map[policy.EndpointID]time.Duration
	quotaLeft float64
	ages      map[time.Duration]bool
}

func newFakeGroundTruth() *fakeGroundTruth {
	return &fakeGroundTruth{
		backlogs: map[policy.EndpointID]time.Duration{}, quotaLeft: 1e6, ages: map[time.Duration]bool{},
	}
}

// Backlog implements emulator.GroundTruth.
func (f *fakeGroundTruth) Backlog(endpoint policy.EndpointID, age time.Duration) time.Duration {
	f.ages[age] = true
	return f.backlogs[endpoint]
}

// QuotaLeft implements emulator.GroundTruth.
func (f *fakeGroundTruth) QuotaLeft(_ policy.CustomerID, _ int, age time.Duration) float64 {
	f.ages[age] = true
	return f.quotaLeft
}

// fakeGateway drives a decider and records its decisions.
type fakeGateway struct {
	decider     emulator.Decider
	groundTruth *fakeGroundTruth
	now         time.Duration
	forwarded   []forwardedAttempt
	rejected    []policy.RequestID
	failed      []policy.RequestID
	cancelled   []policy.RequestID
	timers      []policy.Timer
	watches     int
}

type forwardedAttempt struct {
	request  policy.RequestID
	endpoint policy.EndpointID
	until    time.Duration
}

// startGateway returns a gateway with a started decider and warm endpoints 1 to count, in zones 0 and 1 alternately.
func startGateway(newDecider emulator.NewDecider, cfg policy.Config, count int) *fakeGateway {
	r := &fakeGateway{groundTruth: newFakeGroundTruth(), now: time.Hour}
	r.decider = newDecider(cfg, r, r.groundTruth)
	r.decider.Start(r.now)
	var list []policy.Endpoint
	for id := 1; id <= count; id++ {
		list = append(list, readyEndpoint(id))
	}
	r.decider.UpdateEndpoints(r.now, policy.UpdateCached, list)
	return r
}

func readyEndpoint(id int) policy.Endpoint {
	return policy.Endpoint{ID: policy.EndpointID(id), Weight: 1, State: policy.StateReady, Zone: id % 2, Cell: id % 3}
}

// forEachBaseline runs a test as a subtest for each baseline.
func forEachBaseline(t *testing.T, test func(t *testing.T, newDecider emulator.NewDecider)) {
	t.Helper()
	for _, name := range Names() {
		newDecider, ok := ByName(name)
		if !ok {
			t.Fatalf("the baseline %q was not found", name)
		}
		t.Run(name, func(t *testing.T) { test(t, newDecider) })
	}
}

// submit submits a request of a customer with two gateways. The request has two seconds left until its deadline.
func (r *fakeGateway) submit(id policy.RequestID, class, plan int, units float64) {
	r.decider.Submit(r.now, policy.Request{ID: id, Class: class, Plan: plan, Customer: policy.CustomerID(plan + 1),
		TimeLeft: 2 * time.Second, Units: units, SetSize: 2})
}

// finish ends the latest attempt of a request.
func (r *fakeGateway) finish(id policy.RequestID, status policy.Status) {
	result := policy.AttemptResult{Request: id, Attempt: -1, Status: status, RequestDone: status == policy.StatusOK}
	for _, attempt := range r.forwarded {
		if attempt.request == id {
			result.Attempt++
			result.Endpoint = attempt.endpoint
		}
	}
	r.decider.AttemptFinished(r.now, result)
}

// expect reports an error unless the given numbers of attempts, rejections and failures were recorded.
func (r *fakeGateway) expect(t *testing.T, situation string, forwarded, rejected, failed int) {
	t.Helper()
	if len(r.forwarded) != forwarded || len(r.rejected) != rejected || len(r.failed) != failed {
		t.Errorf("%s: %d forwarded, %d rejected, %d failed; want %d, %d and %d", situation, len(r.forwarded),
			len(r.rejected), len(r.failed), forwarded, rejected, failed)
	}
}

func (r *fakeGateway) lastEndpoint() policy.EndpointID {
	return r.forwarded[len(r.forwarded)-1].endpoint
}

// Forward implements policy.Actions.
func (r *fakeGateway) Forward(id policy.RequestID, endpoint policy.EndpointID, until time.Duration) {
	r.forwarded = append(r.forwarded, forwardedAttempt{id, endpoint, until})
}

// Reject implements policy.Actions.
func (r *fakeGateway) Reject(id policy.RequestID, _ time.Duration) {
	r.rejected = append(r.rejected, id)
}

// Fail implements policy.Actions.
func (r *fakeGateway) Fail(id policy.RequestID) { r.failed = append(r.failed, id) }

// CancelAttempt implements policy.Actions.
func (r *fakeGateway) CancelAttempt(id policy.RequestID, _ int) {
	r.cancelled = append(r.cancelled, id)
}

// StartTimer implements policy.Actions.
func (r *fakeGateway) StartTimer(_ time.Duration, timer policy.Timer) {
	r.timers = append(r.timers, timer)
}

// WatchEndpoints implements policy.Actions.
func (r *fakeGateway) WatchEndpoints(bool) { r.watches++ }
