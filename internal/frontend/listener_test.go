package frontend

import (
	"errors"
	"net"
	"testing"
	"time"

	"springfield/internal/testkit"
)

// Connections in the accept queue of the operating system must be accepted before the listener stops, or their requests
// would get no response. New connections must not delay the stop for longer than its deadline.
func TestBacklogIsAcceptedBeforeListenerStops(t *testing.T) {
	const backlog = 20
	listener := newTestListener(t)
	for range backlog {
		testkit.Dial(t, listener.Addr().String())
	}
	listener.stop(time.Now())
	listener.stopDeadline = time.Now().Add(testkit.Timeout) // long enough for a slow machine
	for i := range backlog {
		if _, err := listener.Accept(); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the last connection: %v", err)
	}

	// A connection that arrives after the deadline does not keep the listener from stopping.
	listener.stopDeadline = time.Now().Add(-time.Second)
	testkit.Dial(t, listener.Addr().String())
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the stop deadline: %v", err)
	}
}

// Connections that have waited because there was no room must be accepted although the listener should have stopped
// meanwhile, or their requests would get no response. This must end at the failure deadline.
func TestStoppingListenerAcceptsAfterDelay(t *testing.T) {
	listener := newTestListener(t)
	testkit.Dial(t, listener.Addr().String())
	testkit.Dial(t, listener.Addr().String())
	listener.stop(time.Now().Add(time.Hour))
	listener.stopDeadline = time.Now().Add(-time.Second)
	listener.lastDelayAt = time.Now().Add(time.Hour) // still recent on a slow machine
	if _, err := listener.Accept(); err != nil {
		t.Errorf("soon after a delay: %v", err)
	}
	listener.failureDeadline = time.Now().Add(-time.Second)
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the failure deadline: %v", err)
	}
}

// stop may be called before attach. It must take effect after the backlog of the attached listener has been accepted.
func TestStopBeforeAttachAcceptsBacklog(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() }) // an error here does not matter, because the checks are done
	testkit.Dial(t, inner.Addr().String())
	listener := &limitedListener{limiter: newConnectionLimiter(testLimit)}
	listener.stop(time.Now())
	listener.stopDeadline = time.Now().Add(testkit.Timeout)
	listener.attach(inner)
	if _, err := listener.Accept(); err != nil {
		t.Errorf("the connection of the backlog: %v", err)
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the last connection: %v", err)
	}
}

// An evicted connection holds its descriptor until its own goroutine has closed it. Accept must not return another
// connection before that, or the process could run out of descriptors.
func TestAcceptWaitsForEvictedConnections(t *testing.T) {
	listener := newTestListener(t)
	limiter := listener.limiter
	limiter.limit, limiter.reserve = 1, 0
	idle, _ := acceptOne(t, listener)
	makeIdle(t, idle)
	idle.stateSince = time.Now().Add(-time.Hour)
	testkit.Dial(t, listener.Addr().String())
	type result struct {
		excess int
		err    error
	}
	accepted := make(chan result, 1)
	go func() {
		_, err := listener.Accept()
		excess, _ := limiter.excessWithClosing()
		accepted <- result{excess, err}
	}()
	testkit.Eventually(t, "the eviction", func() bool {
		_, closing := limiter.excessWithClosing()
		return closing == 1
	})
	wantClosed(t, idle)
	if got := testkit.Receive(t, "the connection", accepted); got.excess > 0 || got.err != nil {
		t.Errorf("Accept returned with %d connections beyond the limit, %v", got.excess, got.err)
	}
}
