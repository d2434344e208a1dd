package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"springfield/internal/settings"
	"springfield/internal/simwire"
)

func startEvent(instance uint32) simwire.Event {
	return simwire.Event{
		Code: simwire.EventStart, Instance: instance, Seed: 1, Settings: &settings.Settings{Balancers: 1},
	}
}

func newBatch(events ...simwire.Event) *simwire.Batch { return &simwire.Batch{Events: events} }

// The simulator may stop an instance and start it again within one batch. The events must take effect in order, so that
// the new instance remains.
func TestInstanceRestartsWithinOneBatch(t *testing.T) {
	a := newAdapter()
	stop := simwire.Event{Code: simwire.EventStop, Instance: 1}
	if err := a.handleBatch(newBatch(startEvent(1), stop, startEvent(1))); err != nil {
		t.Fatal(err)
	}
	if a.instances[1] == nil {
		t.Error("the restarted instance is missing")
	}
	if err := a.handleBatch(newBatch(stop)); err != nil || a.instances[1] != nil {
		t.Errorf("after the stop: %v, %v", a.instances[1], err)
	}
}

// An event for an instance that was never started must end the run with an error that names the instance.
func TestUnknownInstanceIsError(t *testing.T) {
	err := newAdapter().handleBatch(newBatch(simwire.Event{Code: simwire.EventTimerFired, Instance: 9}))
	if err == nil || !strings.Contains(err.Error(), "unknown instance 9") {
		t.Errorf("got %v", err)
	}
	var unknown *unknownInstanceError
	if !errors.As(err, &unknown) || unknown.instance != 9 {
		t.Errorf("got %v", err)
	}
}

// A panic of the policy must reach the simulator as one report. The policy must not be called again after it, because
// its state may be inconsistent.
func TestPanicIsReportedOnce(t *testing.T) {
	a := newAdapter()
	failing := &instance{id: 4, reply: &a.reply} // the nil engine makes the first event panic
	event := &simwire.Event{Code: simwire.EventTimerFired, Instance: 4}
	failing.handleEvent(0, event)
	frame := a.reply.AppendFrame(nil)
	const bailOut = 9 // code of the BailOut action in the simulator's protocol
	if frame[8] != bailOut || !bytes.Contains(frame, []byte("panic")) {
		t.Errorf("the panic is not reported: %q", frame)
	}
	failing.handleEvent(0, event)
	if again := a.reply.AppendFrame(nil); len(again) != len(frame) {
		t.Error("a failed instance reported another action")
	}
}

// The policy sends no health checks, peer messages or counter calls. Events that answer such actions, or that arrive
// unsolicited, must not fail the batch or cause an action.
func TestEventsUnusedByPolicyAreIgnored(t *testing.T) {
	a := newAdapter()
	if err := a.handleBatch(newBatch(startEvent(1))); err != nil {
		t.Fatal(err)
	}
	err := a.handleBatch(newBatch(
		simwire.Event{Code: simwire.EventPeerMessage, Instance: 1, Sender: 9, Message: []byte{1}},
		simwire.Event{Code: simwire.EventHealthCheckResult, Instance: 1, EndpointID: 9, Status: simwire.StatusOK},
		simwire.Event{Code: simwire.EventCounterResult, Instance: 1, CounterName: 9, Status: simwire.StatusOK,
			CounterValue: 1},
	))
	if err != nil {
		t.Fatal(err)
	}
	if frame := a.reply.AppendFrame(nil); len(frame) != 8 {
		t.Errorf("unused events caused an action: %x", frame)
	}
}
