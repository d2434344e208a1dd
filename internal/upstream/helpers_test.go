package upstream

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"springfield/internal/memory"
	"springfield/internal/testkit"
)

// Limits of the pools in tests. They are those of a gateway with default settings.
const (
	testDialTimeout    = 250 * time.Millisecond
	testIdleTimeout    = 9 * time.Second
	testMaxConnections = 283
)

// newTestEndpoint returns a ready endpoint of a new pool that reuses connections without a delay.
func newTestEndpoint(t testing.TB, address string) *Endpoint {
	t.Helper()
	return newTestEndpointWith(t, address, Options{})
}

// newTestEndpointWith is like newTestEndpoint, with a dialer or a connection limit from the options.
func newTestEndpointWith(t testing.TB, address string, options Options) *Endpoint {
	t.Helper()
	options.DialTimeout, options.IdleTimeout = testDialTimeout, testIdleTimeout
	if options.MaxConnections == 0 {
		options.MaxConnections = testMaxConnections
	}
	pool := NewPool(options)
	pool.reuseDelay = 0
	endpoint := pool.AddEndpoint(address, 0)
	endpoint.SetReady(true)
	t.Cleanup(endpoint.CloseReplaced)
	return endpoint
}

// newTestAttempt returns an attempt whose deadline is later than the end of the test.
func newTestAttempt(endpoint *Endpoint) *Attempt {
	return NewAttempt(endpoint, time.Now().Add(testkit.Timeout))
}

// unlimitedMemory returns a reservation that never waits.
func unlimitedMemory() *reservation { return &reservation{budget: memory.Unlimited()} }

func newTestRequest() *http.Request {
	return &http.Request{
		Method:     http.MethodGet,
		Host:       "origin.svc",
		URL:        &url.URL{Path: "/lookup/0000000000000001"},
		Header:     http.Header{"Req-Id": {"a"}, "User-Agent": {""}},
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
}

// startAttempt carries out the attempt in a new goroutine.
func startAttempt(attempt *Attempt, request *http.Request) <-chan Result {
	results := make(chan Result, 1)
	go func() { results <- attempt.Do(request, nil) }()
	return results
}

// mustConnect opens a connection that is not on the endpoint's idle list.
func mustConnect(t testing.TB, endpoint *Endpoint) *connection {
	t.Helper()
	c, err := newTestAttempt(endpoint).connect()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newSilentServer returns a server that never responds, and a channel that receives a value for each request.
func newSilentServer(t testing.TB) (server *testkit.Server, received <-chan struct{}) {
	t.Helper()
	requests := make(chan struct{}, 1)
	server = testkit.NewServer(t, func(net.Conn, *http.Request) bool {
		requests <- struct{}{}
		return true
	})
	return server, requests
}

// newBlockingServer is like newSilentServer, but the server responds once release is called.
func newBlockingServer(t testing.TB) (server *testkit.Server, received <-chan struct{}, release func()) {
	t.Helper()
	requests, released := make(chan struct{}, 1), make(chan struct{})
	server = testkit.NewServer(t, func(conn net.Conn, _ *http.Request) bool {
		requests <- struct{}{}
		<-released
		_, err := io.WriteString(conn, testkit.ResponseOK)
		return err == nil
	})
	return server, requests, func() { close(released) }
}
