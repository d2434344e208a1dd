package eventloop

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"springfield/internal/clock"
	"springfield/internal/config"
	"springfield/internal/discovery"
	"springfield/internal/testkit"
	"springfield/internal/upstream"
	"springfield/policy"
)

const (
	payClass   = 2 // of testkit.Settings: not idempotent
	endpointID = 1
)

// heldDials returns a dialer whose dials end only when they are cancelled, and the channel on which it shows their
// contexts.
func heldDials() (upstream.Dialer, <-chan context.Context) {
	dials := make(chan context.Context, 1)
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		dials <- ctx
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return dial, dials
}

// newTestLoop returns a loop with one ready endpoint. Run is not called: the test handles the events one by one.
func newTestLoop(t *testing.T, dial upstream.Dialer) *Loop {
	t.Helper()
	cfg := config.Config{Settings: testkit.Settings(t)}
	pool := upstream.NewPool(upstream.Options{Dial: dial, DialTimeout: time.Minute, MaxConnections: 1})
	loop := New(clock.New(), cfg.PolicyConfig(1), pool)
	loop.now = loop.clock.Now()
	loop.engine.Start(loop.now)
	applied, err := loop.PublishEndpoints(t.Context(), discovery.Update{
		Kind: policy.UpdateFull,
		Endpoints: []discovery.Endpoint{{
			Endpoint: policy.Endpoint{ID: endpointID, Weight: 1, State: policy.StateReady},
			Address:  "127.0.0.1:1",
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	loop.updateEndpoints(<-loop.updates)
	testkit.WaitFor(t, "the endpoint list", applied)
	return loop
}

// handleEvent handles the next event as if it had been received at the given time.
func (l *Loop) handleEvent(at time.Duration) {
	l.now = at
	(<-l.events).apply(l)
}

// submitAt submits a call that may not be repeated once it may have run.
func submitAt(loop *Loop, at time.Duration) *Call {
	call := NewCall("a", policy.Request{Class: payClass, Units: 1, SetSize: 1}, at+8*time.Second)
	loop.Submit(call)
	loop.handleEvent(at)
	return call
}

// Requirement 1 at SIGTERM: the process may be killed long before the longest deadline, so a request that is in flight
// then gets its response before, and so does one that comes late on a connection that is still open.
func TestShutdownAnswersEveryCallInTime(t *testing.T) {
	dial, dials := heldDials()
	loop := newTestLoop(t, dial)
	start := loop.now
	call := submitAt(loop, start)
	forward, ok := testkit.Receive(t, "the first command", call.Commands()).(Forward)
	if !ok {
		t.Fatal("the call was not forwarded")
	}
	results := make(chan upstream.Result, 1)
	go func() {
		request := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "x", Header: http.Header{}}
		results <- forward.Attempt.Do(request)
	}()
	attempt := testkit.Receive(t, "the dial", dials)

	loop.BeginShutdown(start + time.Second)
	loop.handleEvent(start)
	loop.fireTimers(start + time.Second/2)
	if attempt.Err() != nil {
		t.Error("the attempt was aborted before its time")
	}
	late := start + 3*time.Second/2
	loop.fireTimers(late)
	if attempt.Err() == nil {
		t.Fatal("the attempt was not aborted")
	}
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusNotSent {
		t.Errorf("the aborted dial ended with %+v", result)
	}
	loop.FinishAttempt(call, upstream.Result{Status: policy.StatusTimedOut})
	loop.handleEvent(late)
	if command := testkit.Receive(t, "the last command", call.Commands()); command != (Fail{}) {
		t.Errorf("the call in flight got %#v", command)
	}
	lateCall := submitAt(loop, late)
	if command, ok := testkit.Receive(t, "a command", lateCall.Commands()).(Reject); !ok {
		t.Errorf("the late call got %#v", command)
	}
}
