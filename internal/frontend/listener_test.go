package frontend

import (
	"errors"
	"net"
	"testing"
	"time"

	"springfield/internal/testkit"
)

// Requirement 1 in a drain: connections that the machine has accepted are taken over before the listener stops.
func TestBacklogIsAcceptedBeforeListenerStops(t *testing.T) {
	const backlog = 20
	listener := newTestListener(t)
	for range backlog {
		testkit.Dial(t, listener.Addr().String())
	}
	listener.stop()
	listener.stopDeadline = time.Now().Add(testkit.Timeout) // on a slow machine too
	for i := range backlog {
		if _, err := listener.Accept(); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the last connection: %v", err)
	}

	// A connection that comes later does not keep the listener from stopping.
	listener.stopDeadline = time.Now().Add(-time.Second)
	testkit.Dial(t, listener.Addr().String())
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("once its time is up: %v", err)
	}
}

// A stop that comes before the listener is attached takes effect as well, and the backlog is accepted.
func TestStopBeforeAttach(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() }) // the test fails before if it matters
	testkit.Dial(t, inner.Addr().String())
	listener := &limitedListener{limiter: newConnectionLimiter(testLimit)}
	listener.stop()
	listener.stopDeadline = time.Now().Add(testkit.Timeout)
	listener.attach(inner)
	if _, err := listener.Accept(); err != nil {
		t.Errorf("the connection of the backlog: %v", err)
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the last connection: %v", err)
	}
}

// A connection that is being evicted holds its descriptor until its own goroutine has closed it: no further one is
// handed over before.
func TestAcceptWaitsForEvictedConnections(t *testing.T) {
	listener := newTestListener(t)
	limiter := listener.limiter
	limiter.limit, limiter.reserve = 1, 0
	idle, _ := acceptOne(t, listener)
	makeIdle(t, idle)
	idle.stateSince = time.Now().Add(-time.Hour)
	testkit.Dial(t, listener.Addr().String())
	type result struct {
		beyond int
		err    error
	}
	accepted := make(chan result, 1)
	go func() {
		_, err := listener.Accept()
		beyond, _ := limiter.excessWithClosing()
		accepted <- result{beyond, err}
	}()
	testkit.Eventually(t, "the eviction", func() bool {
		_, closing := limiter.excessWithClosing()
		return closing == 1
	})
	wantClosed(t, idle)
	if got := testkit.Receive(t, "the connection", accepted); got.beyond > 0 || got.err != nil {
		t.Errorf("handed over with %d connections beyond the limit, %v", got.beyond, got.err)
	}
}
