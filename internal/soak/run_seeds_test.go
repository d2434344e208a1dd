package soak

import (
	"testing"
	"testing/synctest"
)

// A run must wait until the runs before it leave room for its gateways, and a run that is larger than the limit must
// run alone.
func TestRunsWaitForRoomForTheirGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(Limits{Runs: 3, Gateways: 50})
		enter := func(gateways int) (entered *bool) {
			entered = new(bool)
			go func() { *entered = gate.enter(t.Context(), gateways) == nil }()
			synctest.Wait()
			return entered
		}
		if first, second := enter(30), enter(20); !*first || !*second {
			t.Errorf("runs of 30 and 20 gateways entered: %v, %v; want both", *first, *second)
		}
		large := enter(60)
		gate.leave(30)
		synctest.Wait()
		if *large {
			t.Error("a run of 60 gateways entered beside one of 20")
		}
		gate.leave(20)
		synctest.Wait()
		if !*large {
			t.Error("a run of 60 gateways did not enter after the others had left")
		}
		next := enter(10)
		if *next {
			t.Error("a run entered beside one that fills the limit")
		}
		gate.leave(60)
		synctest.Wait()
		if !*next {
			t.Error("a run did not enter after the others had left")
		}
	})
}
