package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"springfield/internal/testkit"
	"springfield/policy"
)

// An upstream server closes idle connections; a request written to one from then on would be a reset.
func TestStaleIdleConnectionIsNotReused(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, false)) // offers keep-alive, and closes
	endpoint := newTestEndpoint(t, server.Address())
	for range 3 {
		if result := newTestAttempt(endpoint).Do(newTestRequest()); result.Status != policy.StatusOK {
			t.Fatalf("got %+v", result)
		}
		testkit.Eventually(t, "the end of the idle connection", endpoint.idle[0].isStale)
	}
	endpoint.pool.sweep(time.Now())
	if open := endpoint.pool.openConnections.Load(); len(endpoint.idle) != 0 || open != 0 {
		t.Errorf("%d idle, %d open", len(endpoint.idle), open)
	}
}

func TestIdleConnectionsAreReusedAndExpire(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true))
	endpoint := newTestEndpoint(t, server.Address())
	for range 3 {
		newTestAttempt(endpoint).Do(newTestRequest())
	}
	endpoint.pool.sweep(time.Now())
	if server.Connections.Load() != 1 || len(endpoint.idle) != 1 {
		t.Errorf("%d connections, %d idle", server.Connections.Load(), len(endpoint.idle))
	}
	endpoint.pool.sweep(time.Now().Add(testIdleTimeout + time.Second))
	testkit.WaitFor(t, "the closed connection", server.Closed)
}

func TestMostRecentlyUsedConnectionIsReusedFirst(t *testing.T) {
	endpoint := newTestEndpoint(t, testkit.NewServer(t, testkit.Silent).Address())
	older, newer := mustConnect(t, endpoint), mustConnect(t, endpoint)
	endpoint.releaseIdle(older)
	endpoint.releaseIdle(newer)
	if got := endpoint.acquireIdle(); got != newer {
		t.Error("not the one that was used last")
	}
	endpoint.releaseIdle(newer)
	endpoint.pool.reuseDelay = time.Minute
	older.idleSince = time.Now().Add(-time.Minute)
	endpoint.pool.idleTimeout = time.Hour
	if got := endpoint.acquireIdle(); got != older {
		t.Error("not the only one that is past the reuse delay")
	}
	if got := endpoint.acquireIdle(); got != nil {
		t.Error("one that is not past the reuse delay")
	}
}

// A process that starts again under the same id is another one: the old process answers no more.
func TestReplacedEndpointEndsItsAttempts(t *testing.T) {
	server, received := newSilentServer(t)
	endpoint := newTestEndpoint(t, server.Address())
	results := start(newTestAttempt(endpoint), newTestRequest())
	testkit.WaitFor(t, "the attempt", received)
	endpoint.CloseReplaced()
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusReset {
		t.Errorf("got %+v", result)
	}
}

func TestClosedEndpointLetsItsAttemptsGoOn(t *testing.T) {
	server, received, release := newHoldingServer(t)
	endpoint := newTestEndpoint(t, server.Address())
	results := start(newTestAttempt(endpoint), newTestRequest())
	testkit.WaitFor(t, "the attempt", received)
	endpoint.Close()
	release()
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusOK {
		t.Errorf("got %+v", result)
	}
	testkit.WaitFor(t, "the closed connection", server.Closed)
	if open := endpoint.pool.openConnections.Load(); open != 0 || len(endpoint.pool.endpoints) != 0 {
		t.Errorf("%d open, %d endpoints", open, len(endpoint.pool.endpoints))
	}
}

func TestConnectionsAreLimited(t *testing.T) {
	address := testkit.NewServer(t, testkit.Silent).Address()
	endpoint := newTestEndpointWith(t, address, Options{MaxConnections: 1})
	mustConnect(t, endpoint)
	result := testkit.Receive(t, "the result", start(newTestAttempt(endpoint), newTestRequest()))
	if open := endpoint.pool.openConnections.Load(); result.Status != policy.StatusNotSent || open != 1 {
		t.Errorf("%+v, %d open", result, open)
	}
}

// Guards rule 1: a duplicate response that comes late must not be taken for the response to the next
// request. The connection is not reused at once, and by then the duplicate has come, or it is reused.
func TestLateDuplicateResponseIsNotUsed(t *testing.T) {
	var mu sync.Mutex
	var first net.Conn
	server := testkit.NewServer(t, func(conn net.Conn, _ *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if first == nil {
			first = conn
		} else {
			_, _ = io.WriteString(first, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate") // it may be closed
		}
		_, err := io.WriteString(conn, testkit.ResponseOK)
		return err == nil
	})
	endpoint := newTestEndpoint(t, server.Address())
	endpoint.pool.reuseDelay = time.Hour
	for range 3 {
		result := newTestAttempt(endpoint).Do(newTestRequest())
		if result.Status != policy.StatusOK || string(result.Response.Body) != "ok" {
			t.Errorf("%+v, %q", result, result.Response.Body)
		}
	}
	testkit.Eventually(t, "the late response", endpoint.idle[0].isStale)
	endpoint.pool.reuseDelay = 0
	newTestAttempt(endpoint).Do(newTestRequest())
	newTestAttempt(endpoint).Do(newTestRequest())
	if got := server.Connections.Load(); got != 3 {
		t.Errorf("%d connections: those past the reuse delay are not reused", got)
	}
}

func TestReuseDelayOfANewPool(t *testing.T) {
	if got := NewPool(Options{}).reuseDelay; got != defaultReuseDelay {
		t.Errorf("got %v, want %v", got, defaultReuseDelay)
	}
}

func TestRunClosesStaleConnectionsUntilItIsCancelled(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, false))
	endpoint := newTestEndpoint(t, server.Address())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { endpoint.pool.Run(ctx); close(ended) }()
	if result := newTestAttempt(endpoint).Do(newTestRequest()); result.Status != policy.StatusOK {
		t.Fatalf("got %+v", result)
	}
	testkit.Eventually(t, "the closed connection", func() bool { return endpoint.pool.openConnections.Load() == 0 })
	cancel()
	testkit.WaitFor(t, "the end of Run", ended)
}
