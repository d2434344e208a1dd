package measure

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

const (
	testStart    = 1_700_000_000 * time.Second
	testEndpoint = policy.EndpointID(1)
)

// testScenario has one plan of 1 unit a second with a burst of 3, and two classes.
func testScenario() *emulator.Scenario {
	return &emulator.Scenario{
		Name:      "test",
		Length:    emulator.Duration(12 * time.Second),
		Gateways:  2,
		Endpoints: emulator.Endpoints{Count: 2},
		Classes: []emulator.Class{
			{
				Name: "read", Value: 2, Objective: emulator.Duration(100 * time.Millisecond),
				Deadline: emulator.Duration(time.Second),
			},
			{
				Name: "write", Value: 5, Objective: emulator.Duration(500 * time.Millisecond),
				Deadline: emulator.Duration(2 * time.Second),
			},
		},
		Plans: []emulator.Plan{
			{Name: "basic", Rate: 1, Burst: 3, Price: 10, OverQuotaValue: 0.25, OverQuotaCost: 0.5},
		},
	}
}

// testRun feeds a recorder with observations of the requests of one customer.
type testRun struct {
	*Recorder
}

func newTestRun(scenario *emulator.Scenario) testRun {
	return testRun{NewRecorder(scenario, testStart)}
}

func (r testRun) at(milliseconds int, observation emulator.Observation) {
	r.Observe(testStart+time.Duration(milliseconds)*time.Millisecond, observation)
}

func (r testRun) submit(milliseconds int, key, original emulator.RequestKey, units float64) {
	deadline := testStart + time.Duration(milliseconds+1000)*time.Millisecond
	r.at(milliseconds, emulator.RequestSubmitted{
		Request: key, Original: original, Customer: 7, Units: units, Deadline: deadline,
	})
}

// forward records the observations of an attempt that reaches its endpoint a millisecond after it was sent.
func (r testRun) forward(milliseconds int, key emulator.RequestKey, number int) {
	r.at(milliseconds, emulator.AttemptForwarded{
		Request: key, Attempt: number, Endpoint: testEndpoint, NewConnection: number == 0,
	})
	r.at(milliseconds+1, emulator.AttemptReceived{Request: key, Attempt: number, Endpoint: testEndpoint, Units: 1})
}

func (r testRun) end(milliseconds int, key emulator.RequestKey, number int) {
	r.at(milliseconds, emulator.AttemptEnded{
		Request: key, Attempt: number, Endpoint: testEndpoint, Status: policy.StatusOK, Executed: true,
	})
}

func (r testRun) answer(milliseconds int, key emulator.RequestKey, answer emulator.Answer) {
	r.at(milliseconds, emulator.RequestAnswered{Request: key, Answer: answer, Genuine: true})
}

func (r testRun) finish(milliseconds int) Result {
	return r.Result(testStart + time.Duration(milliseconds)*time.Millisecond)
}

// serve records the observations of a request that is served after 50 ms.
func (r testRun) serve(milliseconds int, key emulator.RequestKey, units float64) {
	r.submit(milliseconds, key, key, units)
	r.forward(milliseconds, key, 0)
	r.end(milliseconds+49, key, 0)
	r.answer(milliseconds+50, key, emulator.AnswerServed)
}

func wantNear(t *testing.T, quantity string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s: got %v, want %v", quantity, got, want)
	}
}

// A request over the quota must earn only the plan's share of its value, and must count with its cost.
func TestOverQuotaRequestEarnsReducedValue(t *testing.T) {
	run := newTestRun(testScenario())
	run.serve(0, 1, 3)   // the request uses the whole burst
	run.serve(100, 2, 2) // the request exceeds the quota
	result := run.finish(2000)
	wantNear(t, "requested in quota", result.Value.RequestedInQuota, 60)
	wantNear(t, "requested", result.Value.Requested, 60+0.25*40)
	wantNear(t, "earned in quota", result.Value.EarnedInQuota, 60)
	wantNear(t, "earned", result.Value.Earned, 70)
	wantNear(t, "cost over quota", result.Value.OverQuotaCost, 20)
	wantNear(t, "price over quota", result.Value.OverQuotaPrice, 20.0/70)
	wantNear(t, "share", result.Value.Share, 1)
	if result.Value.OverQuotaTries != 1 {
		t.Errorf("got %d tries over quota, want 1", result.Value.OverQuotaTries)
	}
	plan := result.Timeline[0].Plans[0]
	if want := (PlanSecond{RequestedUnits: 5, InQuotaUnits: 3, OverQuotaUnits: 2}); plan != want {
		t.Errorf("got %+v in the first second, want %+v", plan, want)
	}
}

// A try that never reaches an endpoint must leave the quota to later requests.
func TestRejectedTryTakesNoUnits(t *testing.T) {
	run := newTestRun(testScenario())
	run.submit(0, 1, 1, 3)
	run.answer(5, 1, emulator.AnswerRejected)
	run.serve(10, 2, 3)
	result := run.finish(2000)
	wantNear(t, "earned in quota", result.Value.EarnedInQuota, 60)
	wantNear(t, "requested in quota", result.Value.RequestedInQuota, 60) // a single gateway admits the first one too
	if result.Requests.Rejected.Count != 1 || result.Requests.Served.Count != 1 {
		t.Errorf("got outcomes %+v, want one served and one rejected", result.Requests)
	}
}

// A retry must count neither as a separate request nor as the start of the latency.
func TestRetryBelongsToItsFirstTry(t *testing.T) {
	run := newTestRun(testScenario())
	run.submit(0, 1, 1, 1)
	run.answer(10, 1, emulator.AnswerRejected)
	run.submit(30, 2, 1, 1)
	run.forward(30, 2, 0)
	run.end(90, 2, 0)
	run.answer(95, 2, emulator.AnswerServed)
	result := run.finish(3000)
	if result.Requests.Total != 1 || result.Requests.Served.Count != 1 || result.Tries.Rejected.Count != 1 {
		t.Errorf("got requests %+v and tries %+v, want one served request of two tries", result.Requests, result.Tries)
	}
	wantNear(t, "requested", result.Value.Requested, 20)
	wantNear(t, "earned", result.Value.Earned, 20)
	if result.Latency.P50 < 94.9 || result.Latency.P50 > 95.1 {
		t.Errorf("got a latency of %v ms, want 95 ms from the first try", result.Latency.P50)
	}
}

// Two tries of one request that are both served must not earn its value twice.
func TestRequestIsServedOnce(t *testing.T) {
	run := newTestRun(testScenario())
	run.submit(0, 1, 1, 1)
	run.submit(10, 2, 1, 1)
	for key := emulator.RequestKey(1); key <= 2; key++ {
		run.forward(20, key, 0)
		run.end(40, key, 0)
		run.answer(50, key, emulator.AnswerServed)
	}
	result := run.finish(3000)
	wantNear(t, "earned", result.Value.Earned, 20)
	if result.Requests.Served.Count != 1 || result.Latency.Count != 1 {
		t.Errorf("got %d served and %d latencies, want 1", result.Requests.Served.Count, result.Latency.Count)
	}
}

// Responses after the latency objective, or with content that no endpoint made, must not earn value.
func TestLateAndSpoiltResponsesEarnNothing(t *testing.T) {
	run := newTestRun(testScenario())
	run.submit(0, 1, 1, 1)
	run.forward(0, 1, 0)
	run.submit(0, 2, 2, 1)
	run.forward(0, 2, 0)
	run.at(50, emulator.RequestAnswered{Request: 2, Answer: emulator.AnswerServed, Genuine: false})
	run.answer(101, 1, emulator.AnswerServed)
	result := run.finish(3000)
	wantNear(t, "earned", result.Value.Earned, 0)
	if result.Requests.Late.Count != 1 || result.Requests.Spoilt.Count != 1 || result.Requests.Served.Count != 1 {
		t.Errorf("got %+v, want one late and one spoilt", result.Requests)
	}
}

// Requests without an answer by their deadline must count as missing and be removed from memory. Only a client that
// disconnects before its deadline counts as disconnected.
func TestUnansweredRequestsCountAsMissing(t *testing.T) {
	run := newTestRun(testScenario())
	run.submit(0, 1, 1, 1)
	run.submit(0, 2, 2, 1)
	run.submit(0, 3, 3, 1)
	run.at(300, emulator.ClientDisconnected{Request: 2})
	run.at(1000, emulator.ClientDisconnected{Request: 3}) // the client disconnects at its deadline
	run.submit(9000, 4, 4, 1)                             // the submission expires the earlier requests
	if len(run.open.requests) != 1 || len(run.open.tries) != 1 {
		t.Errorf("got %d requests and %d tries in memory, want 1", len(run.open.requests), len(run.open.tries))
	}
	result := run.finish(9500)
	if result.Requests.Missing.Count != 3 || result.Requests.Disconnected.Count != 1 {
		t.Errorf("got %+v, want 3 missing and 1 disconnected", result.Requests)
	}
	if result.Timeline[1].Missing != 2 {
		t.Errorf("got %d missing in the second of the deadline, want 2", result.Timeline[1].Missing)
	}
}

// An attempt that reaches its endpoint after its client has disconnected must use the quota.
func TestAttemptOfADisconnectedClientTakesUnits(t *testing.T) {
	run := newTestRun(testScenario())
	run.submit(0, 1, 1, 3)
	run.at(1, emulator.AttemptForwarded{Request: 1, Endpoint: testEndpoint})
	run.at(2, emulator.ClientDisconnected{Request: 1})
	run.at(3, emulator.AttemptReceived{Request: 1, Endpoint: testEndpoint, Units: 3})
	run.end(20, 1, 0)
	if len(run.open.tries) != 0 {
		t.Errorf("got %d tries in memory after the last attempt has ended, want none", len(run.open.tries))
	}
	run.serve(30, 2, 1)
	if result := run.finish(2000); result.Value.OverQuotaTries != 1 {
		t.Errorf("got %d tries over quota, want the second, since the first took the burst", result.Value.OverQuotaTries)
	}
}

// A try beyond the limit on concurrent attempts must count as over the quota, and settled units must be returned to the
// quota.
func TestQuotaAppliesConcurrencyLimitAndSettlement(t *testing.T) {
	scenario := testScenario()
	scenario.Plans[0].MaxConcurrent = 1
	scenario.Meter.Settled = true
	run := newTestRun(scenario)
	run.submit(0, 1, 1, 3)
	run.submit(0, 2, 2, 0.5)
	run.forward(0, 1, 0)
	run.forward(1, 2, 0) // a second attempt in flight is over the limit of 1
	run.end(20, 1, 0)    // the true size is 1 unit, so that 2 units are returned
	run.end(20, 2, 0)
	run.serve(30, 3, 2)
	result := run.finish(3000)
	if result.Value.OverQuotaTries != 1 {
		t.Errorf("got %d tries over quota, want the second alone", result.Value.OverQuotaTries)
	}
}

// Retries and concurrent attempts must show in the counts of attempts, in the load of their endpoint and in the
// distribution over the endpoints.
func TestEndpointLoadAndAttemptsAreCounted(t *testing.T) {
	run := newTestRun(testScenario())
	run.at(0, emulator.EndpointStarted{Endpoint: 2, Warming: true})
	run.submit(0, 1, 1, 1)
	run.forward(0, 1, 0)
	run.forward(500, 1, 1)
	run.end(1001, 1, 0)
	run.end(1501, 1, 1)
	run.answer(1502, 1, emulator.AnswerServed)
	run.at(4000, emulator.EndpointStopped{Endpoint: 2})
	result := run.finish(4000)
	if len(result.EndpointLoad) != 2 || result.EndpointLoad[1].Stops != 1 || result.EndpointLoad[1].Starts != 1 {
		t.Fatalf("got %+v, want two endpoints, of which the second started and stopped", result.EndpointLoad)
	}
	first := result.EndpointLoad[0]
	wantNear(t, "mean in flight", first.MeanInFlight, 0.5)
	if first.Received != 2 || first.MaxInFlight != 2 || first.NewConnections != 1 {
		t.Errorf("got %+v, want 2 attempts at once on 1 new connection", first)
	}
	if want := (Spread{Min: 0, Median: 1, Max: 2}); result.Timeline[0].EndpointAttempts != want {
		t.Errorf("got %+v in the first second, want %+v", result.Timeline[0].EndpointAttempts, want)
	}
	if result.Attempts.Retries != 1 || result.Attempts.PerRequest != 2 {
		t.Errorf("got %+v, want one retry", result.Attempts)
	}
}

// A fault that does not end must count as active until the end of the run, and an unanswered request must lower the
// ratio of its ten-second window.
func TestFaultSpansAndWorstWindowAreReported(t *testing.T) {
	run := newTestRun(testScenario())
	fault := emulator.Fault{Kind: emulator.FaultSlowEndpoints, Share: 0.5}
	for second := range 12 {
		key := emulator.RequestKey(second + 1)
		if second == 11 {
			run.at(11_000, emulator.FaultChanged{Fault: fault, Active: true})
			run.submit(11_000, key, key, 1)
			continue
		}
		run.serve(1000*second, key, 1)
	}
	result := run.finish(13_000)
	if len(result.Faults) != 1 || result.Faults[0].Begin != 11 || result.Faults[0].End != 13 {
		t.Errorf("got faults %+v, want one from 11 s to the end", result.Faults)
	}
	wantNear(t, "whole", result.Service.Whole, 11.0/12)
	wantNear(t, "worst ten seconds", result.Service.WorstTenSeconds, 0.9)
	wantNear(t, "worst class", result.Service.WorstClass, 11.0/12)
	if len(result.Timeline) != 12 {
		t.Errorf("got %d seconds, want the 12 of the load", len(result.Timeline))
	}
}

// The result of a run without requests must not contain NaN or infinite numbers, which JSON cannot encode.
func TestEmptyRunEncodesAsJSON(t *testing.T) {
	result := newTestRun(testScenario()).finish(0)
	if _, err := json.Marshal(result); err != nil {
		t.Fatal(err)
	}
	wantNear(t, "service", result.Service.Whole, 1)
}
