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
	payClass   = 2 // index of a class of testkit.Settings that is not idempotent
	endpointID = 1
)

// newBlockingDialer returns a dialer whose dials end only when they are cancelled, and a channel that receives the
// context of each dial.
func newBlockingDialer() (upstream.Dialer, <-chan context.Context) {
	dialContexts := make(chan context.Context, 1)
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		dialContexts <- ctx
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return dial, dialContexts
}

// newTestLoop returns a loop with one ready endpoint. Run is not called, so that the test handles the events one by
// one.
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

// newEmptyRequest returns a request that an attempt can send.
func newEmptyRequest() *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "x", Header: http.Header{}}
}

// submitAt submits a call that must not be repeated once it may have been executed.
func submitAt(loop *Loop, at time.Duration) *Call {
	call := NewCall("a", policy.Request{Class: payClass, Units: 1, SetSize: 1}, at+8*time.Second)
	loop.Submit(call)
	loop.handleEvent(at)
	return call
}

// After SIGTERM the process may be killed long before the latest deadline of its calls. Calls in flight, and calls that
// arrive later on open connections, must get their responses by the deadline of the shutdown.
func TestShutdownEndsEveryCallByItsDeadline(t *testing.T) {
	dial, dialContexts := newBlockingDialer()
	loop := newTestLoop(t, dial)
	start := loop.now
	call := submitAt(loop, start)
	forward, ok := testkit.Receive(t, "the first command", call.Commands()).(Forward)
	if !ok {
		t.Fatal("the call was not forwarded")
	}
	results := make(chan upstream.Result, 1)
	go func() {
		results <- forward.Attempt.Do(newEmptyRequest(), nil)
	}()
	dialContext := testkit.Receive(t, "the dial", dialContexts)

	loop.BeginShutdown(start + time.Second)
	loop.handleEvent(start)
	loop.fireTimers(start + time.Second/2)
	if dialContext.Err() != nil {
		t.Error("the attempt was aborted before the deadline of the shutdown")
	}
	afterDeadline := start + 3*time.Second/2
	loop.fireTimers(afterDeadline)
	if dialContext.Err() == nil {
		t.Fatal("the attempt was not aborted at the deadline of the shutdown")
	}
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusNotSent {
		t.Errorf("the aborted dial ended with %+v, want StatusNotSent", result)
	}
	loop.FinishAttempt(call, upstream.Result{Status: policy.StatusTimedOut})
	loop.handleEvent(afterDeadline)
	if command := testkit.Receive(t, "the last command", call.Commands()); command != (Fail{}) {
		t.Errorf("the call in flight got %#v, want Fail", command)
	}
	lateCall := submitAt(loop, afterDeadline)
	if command, ok := testkit.Receive(t, "a command", lateCall.Commands()).(Reject); !ok {
		t.Errorf("the late call got %#v, want Reject", command)
	}
}
