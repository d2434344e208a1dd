package model

import (
	"slices"
	"testing"
	"time"

	"springfield/internal/emulator"
)

// retryScenario returns a scenario with a class of each kind of idempotency, and the index of each class by name.
func retryScenario() (*emulator.Scenario, map[string]int) {
	scenario := DefaultScenario()
	scenario.Gateways, scenario.Clients.SetMin = 6, 1
	second := emulator.Duration(time.Second)
	scenario.Classes = []emulator.Class{
		{Name: "idempotent", Idempotency: idempotencyRepeatable},
		{Name: "keyed", Idempotency: idempotencyByKey, Scope: scopeAll, KeyTTL: 2 * second},
		{Name: "keyed by zone", Idempotency: idempotencyByKey, Scope: scopeZone, KeyTTL: 2 * second},
		{Name: "not idempotent", Idempotency: idempotencyNever},
	}
	byName := make(map[string]int)
	for i := range scenario.Classes {
		class := &scenario.Classes[i]
		class.Share, class.Work = 1, emulator.Duration(10*time.Millisecond)
		class.Objective, class.Deadline = second, 5*second
		byName[class.Name] = i
	}
	return &scenario, byName
}

// newFirstTry returns a first try of a class at testStart.
func newFirstTry(class int) Arrival {
	return Arrival{
		At: testStart, Request: 7, Original: 7, Gateway: 5, Customer: 1, Class: class, Units: 2, TrueUnits: 3,
		SetFirst: 4, SetSize: 4, Deadline: testStart + 3*time.Second, LastDeadline: testStart + 5*time.Second,
	}
}

func TestRetryDependsOnAnswerIdempotencyAndTimeLeft(t *testing.T) {
	scenario, classes := retryScenario()
	w := NewWorkload(scenario, 1, testStart)
	for _, c := range []struct {
		name   string
		class  string
		answer emulator.Answer
		after  time.Duration // when the answer comes, since testStart
		edit   func(*Arrival)
		want   bool
	}{
		{name: "served", class: "idempotent", answer: emulator.AnswerServed},
		{name: "rejected", class: "idempotent", answer: emulator.AnswerRejected, want: true},
		{name: "rejected", class: "not idempotent", answer: emulator.AnswerRejected, want: true},
		{name: "failed", class: "idempotent", answer: emulator.AnswerFailed, want: true},
		{name: "missing", class: "idempotent", answer: emulator.AnswerMissing, want: true},
		{name: "failed", class: "not idempotent", answer: emulator.AnswerFailed},
		{name: "missing", class: "not idempotent", answer: emulator.AnswerMissing},
		{name: "failed", class: "keyed", answer: emulator.AnswerFailed, after: time.Second, want: true},
		{name: "failed after the TTL", class: "keyed", answer: emulator.AnswerFailed, after: 2 * time.Second},
		{name: "failed", class: "keyed by zone", answer: emulator.AnswerFailed, after: time.Second},
		{name: "rejected after the TTL", class: "keyed", answer: emulator.AnswerRejected, after: 2 * time.Second, want: true},
		{name: "rejected just before the last deadline", class: "idempotent", answer: emulator.AnswerRejected,
			after: 4950 * time.Millisecond},
		{name: "retries used up", class: "idempotent", answer: emulator.AnswerRejected,
			edit: func(a *Arrival) { a.Try = 2 }},
		{name: "disconnect before the retry", class: "idempotent", answer: emulator.AnswerRejected, after: time.Second,
			edit: func(a *Arrival) { a.AbandonAt = testStart + 1050*time.Millisecond }},
		{name: "disconnect after the retry", class: "idempotent", answer: emulator.AnswerRejected, after: time.Second,
			want: true,
			edit: func(a *Arrival) { a.AbandonAt = testStart + 2*time.Second }},
	} {
		previous := newFirstTry(classes[c.class])
		if c.edit != nil {
			c.edit(&previous)
		}
		next, ok := w.Retry(previous, c.answer, 0, testStart+c.after)
		if ok != c.want {
			t.Errorf("class %s, %s: retry %v, want %v", c.class, c.name, ok, c.want)
		}
		if ok && (next.Try != 1 || next.Request != 8 || next.Original != 7 || next.Units != 2 || next.TrueUnits != 3) {
			t.Errorf("class %s, %s: unexpected retry %+v", c.class, c.name, next)
		}
	}
}

func TestRetriesStayWithinGatewaySetAndLastDeadline(t *testing.T) {
	scenario, classes := retryScenario()
	w := NewWorkload(scenario, 1, testStart)
	gateways := make(map[int]int)
	for i := range 1000 {
		previous := newFirstTry(classes["idempotent"])
		previous.Request = emulator.RequestKey(1 + 3*i)
		previous.Original = previous.Request
		next, ok := w.Retry(previous, emulator.AnswerRejected, 0, testStart+time.Second)
		if !ok || next.Deadline > next.LastDeadline || next.Deadline <= next.At {
			t.Fatalf("retry %v, %+v; want one with a deadline after its start and up to the last deadline", ok, next)
		}
		gateways[next.Gateway]++
		missing, _ := w.Retry(previous, emulator.AnswerMissing, 0, testStart+time.Second)
		if missing.Gateway == previous.Gateway {
			t.Fatalf("retry goes through the gateway that gave no answer: %+v", missing)
		}
	}
	if len(gateways) != 4 || gateways[4] < 130 || gateways[5] < 450 || gateways[0] < 130 || gateways[1] < 130 {
		t.Errorf("retries by gateway: %v, want half at 5 and a sixth each at 4, 0 and 1", gateways)
	}
}

func TestRetryWaitsForBackoffAndRetryAfter(t *testing.T) {
	scenario, classes := retryScenario()
	wait := func(try int, retryAfter time.Duration) time.Duration {
		previous := newFirstTry(classes["idempotent"])
		previous.Try = try
		next, ok := NewWorkload(scenario, 1, testStart).Retry(previous, emulator.AnswerRejected, retryAfter, testStart)
		if !ok {
			t.Fatal("no retry")
		}
		return next.At - testStart
	}
	if got := wait(0, 0); got < 100*time.Millisecond || got > 300*time.Millisecond {
		t.Errorf("first backoff %v, want 100ms to 300ms", got)
	}
	if got := wait(1, 0); got < 200*time.Millisecond || got > 600*time.Millisecond {
		t.Errorf("second backoff %v, want 200ms to 600ms", got)
	}
	if got := wait(0, 700*time.Millisecond); got != 700*time.Millisecond {
		t.Errorf("waited %v after a Retry-After of 700ms, want 700ms", got)
	}
	if got := wait(0, time.Minute); got != time.Second {
		t.Errorf("waited %v after a Retry-After of a minute, want MaxRetryAfter, 1s", got)
	}
	scenario.Limits.RetryAfter = false
	if got := wait(0, 700*time.Millisecond); got > 300*time.Millisecond {
		t.Errorf("waited %v with Limits.RetryAfter off, want at most 300ms", got)
	}
}

func TestRedirectAvoidsGatewaysThatAreDown(t *testing.T) {
	scenario, _ := retryScenario()
	w := NewWorkload(scenario, 1, testStart)
	arrival := newFirstTry(0) // the gateways of its set are 4, 5, 0 and 1
	up := func(gateways ...int) func(int) bool {
		return func(gateway int) bool { return slices.Contains(gateways, gateway) }
	}
	if got := w.Redirect(&arrival, up(0, 1, 2, 3, 4, 5)); got != 5 {
		t.Errorf("redirected to %d although gateway 5 of the request is up", got)
	}
	if got := w.Redirect(&arrival, up(1, 2, 3)); got != 1 {
		t.Errorf("redirected to %d, want 1, the only gateway of the set that is up", got)
	}
	if got := w.Redirect(&arrival, up(2, 3)); got != 5 {
		t.Errorf("redirected to %d with the whole set down, want 5, the gateway of the request", got)
	}
}
