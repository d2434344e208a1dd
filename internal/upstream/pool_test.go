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

// An upstream server may close an idle connection at any time. A request that is written to such a connection would end
// as a reset.
func TestStaleIdleConnectionIsNotReused(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, false)) // offers keep-alive but closes
	endpoint := newTestEndpoint(t, server.Address())
	for range 3 {
		if result := newTestAttempt(endpoint).Do(newTestRequest(), nil); result.Status != policy.StatusOK {
			t.Fatalf("got %+v, want StatusOK", result)
		}
		testkit.Eventually(t, "the end of the idle connection", endpoint.idle[0].isStale)
	}
	endpoint.pool.sweep(time.Now())
	if open := endpoint.pool.openConnections.Load(); len(endpoint.idle) != 0 || open != 0 {
		t.Errorf("after a sweep: %d idle and %d open connections, want 0", len(endpoint.idle), open)
	}
}

// Sequential attempts must share one connection, which is closed once it has been idle for longer than the idle
// timeout.
func TestIdleConnectionsAreReusedAndExpire(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true))
	endpoint := newTestEndpoint(t, server.Address())
	for range 3 {
		newTestAttempt(endpoint).Do(newTestRequest(), nil)
	}
	endpoint.pool.sweep(time.Now())
	if server.Connections.Load() != 1 || len(endpoint.idle) != 1 {
		t.Errorf("got %d connections, %d of them idle, want 1", server.Connections.Load(), len(endpoint.idle))
	}
	endpoint.pool.sweep(time.Now().Add(testIdleTimeout + time.Second))
	testkit.WaitFor(t, "the closed connection", server.Closed)
}

// Reusing the most recently used connection lets the others expire. A connection within the reuse delay must not be
// used, because a duplicate response may still arrive on it.
func TestMostRecentlyUsedConnectionIsReusedFirst(t *testing.T) {
	endpoint := newTestEndpoint(t, testkit.NewServer(t, testkit.Silent).Address())
	older, newer := mustConnect(t, endpoint), mustConnect(t, endpoint)
	endpoint.releaseIdle(older)
	endpoint.releaseIdle(newer)
	if got := endpoint.acquireIdle(); got != newer {
		t.Error("did not get the most recently used connection")
	}
	endpoint.releaseIdle(newer)
	endpoint.pool.reuseDelay = time.Minute
	older.idleSince = time.Now().Add(-time.Minute)
	endpoint.pool.idleTimeout = time.Hour
	if got := endpoint.acquireIdle(); got != older {
		t.Error("did not get the only connection past the reuse delay")
	}
	if got := endpoint.acquireIdle(); got != nil {
		t.Error("got a connection that is not past the reuse delay")
	}
}

// When a process restarts under the same ID, the old process sends no more responses, so its attempts must end at once.
func TestReplacedEndpointResetsItsAttempts(t *testing.T) {
	server, received := newSilentServer(t)
	endpoint := newTestEndpoint(t, server.Address())
	results := startAttempt(newTestAttempt(endpoint), newTestRequest())
	testkit.WaitFor(t, "the attempt", received)
	endpoint.CloseReplaced()
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusReset {
		t.Errorf("got %+v, want StatusReset", result)
	}
}

// An endpoint that has left the list still completes its requests, so their attempts must not be aborted. Their
// connections are closed afterwards.
func TestClosedEndpointLetsSentAttemptsFinish(t *testing.T) {
	server, received, release := newBlockingServer(t)
	endpoint := newTestEndpoint(t, server.Address())
	results := startAttempt(newTestAttempt(endpoint), newTestRequest())
	testkit.WaitFor(t, "the attempt", received)
	endpoint.Close()
	release()
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusOK {
		t.Errorf("got %+v, want StatusOK", result)
	}
	testkit.WaitFor(t, "the closed connection", server.Closed)
	if open := endpoint.pool.openConnections.Load(); open != 0 || len(endpoint.pool.endpoints) != 0 {
		t.Errorf("%d open connections and %d endpoints, want 0", open, len(endpoint.pool.endpoints))
	}
}

// An attempt that needs a connection beyond the limit must end at once as not sent, so that it may be retried.
func TestFullPoolOpensNoConnection(t *testing.T) {
	address := testkit.NewServer(t, testkit.Silent).Address()
	endpoint := newTestEndpointWith(t, address, Options{MaxConnections: 1})
	mustConnect(t, endpoint)
	result := testkit.Receive(t, "the result", startAttempt(newTestAttempt(endpoint), newTestRequest()))
	if open := endpoint.pool.openConnections.Load(); result.Status != policy.StatusNotSent || open != 1 {
		t.Errorf("got %+v with %d open connections, want StatusNotSent and 1", result, open)
	}
}

// A late duplicate of a response must not be taken for the response to the next request. Connections are not reused
// within the reuse delay; after it, a connection that has received a duplicate is closed and the others are reused.
func TestLateDuplicateResponseIsNotUsed(t *testing.T) {
	var mu sync.Mutex
	var first net.Conn
	server := testkit.NewServer(t, func(conn net.Conn, _ *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if first == nil {
			first = conn
		} else {
			_, _ = io.WriteString(first, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate") // the connection may be closed
		}
		_, err := io.WriteString(conn, testkit.ResponseOK)
		return err == nil
	})
	endpoint := newTestEndpoint(t, server.Address())
	endpoint.pool.reuseDelay = time.Hour
	for range 3 {
		result := newTestAttempt(endpoint).Do(newTestRequest(), nil)
		if result.Status != policy.StatusOK || string(result.Response.Body) != "ok" {
			t.Errorf("got %+v, body %q", result, result.Response.Body)
		}
	}
	testkit.Eventually(t, "the late response", endpoint.idle[0].isStale)
	endpoint.pool.reuseDelay = 0
	newTestAttempt(endpoint).Do(newTestRequest(), nil)
	newTestAttempt(endpoint).Do(newTestRequest(), nil)
	if got := server.Connections.Load(); got != 3 {
		t.Errorf("got %d connections, want 3: connections past the reuse delay are reused", got)
	}
}

// The other tests set the reuse delay themselves, so they would not detect a pool without one.
func TestNewPoolHasDefaultReuseDelay(t *testing.T) {
	if got := NewPool(Options{}).reuseDelay; got != defaultReuseDelay {
		t.Errorf("got %v, want %v", got, defaultReuseDelay)
	}
}

// Run must close a connection that the endpoint has closed, or its descriptor would stay in use while the endpoint gets
// no requests. It must return when its context ends.
func TestRunClosesStaleConnectionsUntilCancelled(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, false))
	endpoint := newTestEndpoint(t, server.Address())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { endpoint.pool.Run(ctx); close(ended) }()
	if result := newTestAttempt(endpoint).Do(newTestRequest(), nil); result.Status != policy.StatusOK {
		t.Fatalf("got %+v, want StatusOK", result)
	}
	testkit.Eventually(t, "the closed connection", func() bool { return endpoint.pool.openConnections.Load() == 0 })
	cancel()
	testkit.WaitFor(t, "the end of Run", ended)
}
