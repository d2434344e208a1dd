package eventloop

import (
	"testing"
	"time"

	"springfield/internal/upstream"
	"springfield/policy"
)

// The timers of attempts that have finished must not take up memory until they are due, seconds later. A client that
// sends small requests at full speed made their number grow for so long.
func TestTimersOfFinishedAttemptsAreRemoved(t *testing.T) {
	loop := newTestLoop(t, nil)
	open := submitAt(loop, loop.now)
	if open.attempt == nil {
		t.Fatal("no attempt was started")
	}
	for range 20 * minTimersToCompact {
		call := submitAt(loop, loop.now)
		if call.attempt == nil {
			t.Fatal("no attempt was started")
		}
		loop.FinishAttempt(call, upstream.Result{Status: policy.StatusOK})
		loop.handleEvent(loop.now + time.Microsecond)
		loop.nextTimer()
		if len(loop.timers) > minTimersToCompact {
			t.Fatalf("%d timers for one open attempt", len(loop.timers))
		}
	}
	aborted := false
	for len(loop.timers) > 0 && !aborted {
		aborted = loop.timers.removeFirst().attempt == open.attempt
	}
	if !aborted {
		t.Error("the timer of the open attempt was removed")
	}
}
