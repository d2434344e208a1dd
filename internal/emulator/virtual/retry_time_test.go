package virtual

import (
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
)

// A gateway must decide on a retry early enough that the retry reaches its endpoint while the endpoint remembers the
// idempotency key, even if the connection takes the whole dial timeout.
func TestRetriesAreDecidedADialTimeoutBeforeKeysExpire(t *testing.T) {
	w := newTestWorld(PolicyDecider, func(s *emulator.Scenario) {
		s.Classes[0].Idempotency, s.Classes[0].KeyTTL = "deduplicated", emulator.Duration(time.Second)
		s.Network.DialTimeout = emulator.Duration(300 * time.Millisecond)
	})
	if keyTTL := w.gateways[0].config.Classes[0].KeyTTL; keyTTL <= 0 || keyTTL > 700*time.Millisecond {
		t.Errorf("the policy assumes that keys are remembered for %v, want at most 700ms", keyTTL)
	}
}

// A client that disconnects while its request is on its way needs no answer, so the request must not count as
// submitted: the deadline may have passed when it would arrive.
func TestRequestOfADisconnectedClientDoesNotArrive(t *testing.T) {
	w := newTestWorld(nil, nil)
	w.submitAt(time.Second, func(arrival *model.Arrival) {
		arrival.AbandonAt = StartTime + time.Second - time.Millisecond
		arrival.Deadline = StartTime + time.Second - time.Microsecond
	})
	w.after(2 * time.Second)
	if submitted := observed[emulator.RequestSubmitted](w); len(submitted) != 0 || w.pendingRequests != 0 {
		t.Errorf("got submissions %+v and %d pending requests, want none", submitted, w.pendingRequests)
	}
}
