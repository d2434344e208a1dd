package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"springfield/internal/counters"
	"springfield/internal/testkit"
	"springfield/policy"
)

// An attempt whose connection is refused has certainly not been executed. Its status must say so, or the engine could
// not retry a request that is not idempotent.
func TestRefusedConnectionReportsConnectFailed(t *testing.T) {
	server := testkit.NewServer(t, testkit.Silent)
	server.Stop()
	result := newTestAttempt(newTestEndpoint(t, server.Address())).Do(newTestRequest(), nil)
	if result.Status != policy.StatusConnectFailed {
		t.Errorf("got %+v, want StatusConnectFailed", result)
	}
}

// shortWriteConn writes all but the last byte and then fails.
type shortWriteConn struct{ net.Conn }

func (c shortWriteConn) Write(p []byte) (int, error) { return len(p) - 1, errors.New("broken") }

// A request may have been executed only if its last byte was written. A write that fails before that must not be
// reported as one that may have been executed.
func TestPartialWriteReportsConnectFailed(t *testing.T) {
	endpoint := newTestEndpoint(t, testkit.NewServer(t, testkit.Silent).Address())
	connection := mustConnect(t, endpoint)
	connection.Conn = shortWriteConn{connection.Conn}
	endpoint.releaseIdle(connection)
	if result := newTestAttempt(endpoint).Do(newTestRequest(), nil); result.Status != policy.StatusConnectFailed {
		t.Errorf("got %+v, want StatusConnectFailed", result)
	}
}

// The result of a cancelled attempt must come after its connection is closed. Otherwise two attempts of a request could
// be in flight at once.
func TestAbortClosesTheConnectionBeforeTheResult(t *testing.T) {
	server, received := newSilentServer(t)
	endpoint := newTestEndpoint(t, server.Address())
	attempt := newTestAttempt(endpoint)
	results := startAttempt(attempt, newTestRequest())
	testkit.WaitFor(t, "the attempt", received)
	attempt.Abort(policy.StatusCancelled)
	result := testkit.Receive(t, "the result", results)
	if open := endpoint.pool.openConnections.Load(); result.Status != policy.StatusCancelled || open != 0 {
		t.Errorf("got %+v with %d open connections", result, open)
	}
	testkit.WaitFor(t, "the closed connection", server.Closed)
}

// readHookConn calls afterRead after each read that returns data.
type readHookConn struct {
	*net.TCPConn
	afterRead func()
}

func (c readHookConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

// An abort after the last byte of the response does not change the result. The connection must be closed all the same,
// because the abort may have set its deadline.
func TestAbortAfterTheLastByteClosesTheConnection(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true))
	var attempt *Attempt
	dial := func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		if err != nil {
			return nil, err
		}
		return readHookConn{conn.(*net.TCPConn), func() { attempt.Abort(policy.StatusTimedOut) }}, nil
	}
	endpoint := newTestEndpointWith(t, server.Address(), Options{Dial: dial})
	attempt = newTestAttempt(endpoint)
	result := attempt.Do(newTestRequest(), nil)
	if result.Status != policy.StatusOK || string(result.Response.Body) != "ok" || len(endpoint.idle) != 0 {
		t.Errorf("got %+v with %d idle connections", result, len(endpoint.idle))
	}
}

// An attempt that is aborted while it dials is not sent, and a connection that is established in spite of that becomes
// idle.
func TestAbortUnsentCancelsDial(t *testing.T) {
	server, gate := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true)), testkit.NewDialGate()
	endpoint := newTestEndpointWith(t, server.Address(), Options{Dial: gate.Dial})
	attempt := newTestAttempt(endpoint)
	results := startAttempt(attempt, newTestRequest())
	testkit.WaitFor(t, "the dial", gate.Dialing)
	attempt.AbortUnsent()
	testkit.WaitFor(t, "the end of the dial", gate.Cancelled)
	gate.Open() // the connection is established in spite of the abort
	result := testkit.Receive(t, "the result", results)
	if result.Status != policy.StatusNotSent || server.Requests.Load() != 0 || len(endpoint.idle) != 1 {
		t.Errorf("got %+v with %d requests and %d idle connections", result, server.Requests.Load(), len(endpoint.idle))
	}
}

// AbortUnsent must not abort an attempt that an endpoint may already be executing.
func TestAbortUnsentDoesNotAbortSentAttempt(t *testing.T) {
	server, received, release := newBlockingServer(t)
	attempt := newTestAttempt(newTestEndpoint(t, server.Address()))
	results := startAttempt(attempt, newTestRequest())
	testkit.WaitFor(t, "the attempt", received)
	attempt.AbortUnsent()
	release()
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusOK {
		t.Errorf("got %+v, want StatusOK", result)
	}
}

// An attempt without a ready endpoint, or one that is aborted or past its deadline, must not reach the server.
func TestAttemptThatMustNotBeginIsNotSent(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true))
	endpoint := newTestEndpoint(t, server.Address())
	aborted := newTestAttempt(endpoint)
	aborted.Abort(policy.StatusTimedOut)
	for name, attempt := range map[string]*Attempt{
		"no endpoint":        newTestAttempt(nil),
		"endpoint not ready": newTestAttempt(endpoint.pool.AddEndpoint(server.Address(), 0)),
		"aborted":            aborted,
	} {
		if result := attempt.Do(newTestRequest(), nil); result.Status != policy.StatusNotSent {
			t.Errorf("%s: got %+v, want StatusNotSent", name, result)
		}
	}
	endpoint.releaseIdle(mustConnect(t, endpoint))
	expired := NewAttempt(endpoint, time.Now())
	if result := expired.Do(newTestRequest(), nil); result.Status != policy.StatusNotSent || len(endpoint.idle) != 1 {
		t.Errorf("past the deadline: got %+v with %d idle connections", result, len(endpoint.idle))
	}
	if got := server.Requests.Load(); got != 0 {
		t.Errorf("%d requests reached the server", got)
	}
}

// An endpoint may begin to drain while an attempt waits for its connection. The attempt must check this again before
// its first byte.
func TestAttemptToDrainingEndpointIsNotSent(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true))
	endpoint := newTestEndpoint(t, server.Address())
	attempt := newTestAttempt(endpoint)
	connection, err := attempt.connect()
	if err != nil {
		t.Fatal(err)
	}
	endpoint.SetReady(false)
	if refusal, refused := attempt.startSending(t.Context(), connection); !refused ||
		refusal != counters.SendRefusedEndpoint {
		t.Errorf("refused %v with reason %v", refused, refusal)
	}
	endpoint.releaseIdle(connection)
	result := attempt.Do(newTestRequest(), nil)
	if result.Status != policy.StatusNotSent || server.Requests.Load() != 0 || len(endpoint.idle) != 0 {
		t.Errorf("got %+v with %d requests and %d idle connections", result, server.Requests.Load(), len(endpoint.idle))
	}
}

// A response that arrives after its timeout must not be taken for the response to the next request, so its connection
// is closed. A timeout that fires after the response must not affect the connection, on which another request may be in
// flight.
func TestResponseAfterTimeoutIsDiscarded(t *testing.T) {
	received, release := make(chan struct{}, 10), make(chan struct{})
	server := testkit.NewServer(t, func(conn net.Conn, request *http.Request) bool {
		if request.Header.Get("Req-Id") != "late" {
			return testkit.Reply(testkit.ResponseOK, true)(conn, request)
		}
		received <- struct{}{}
		<-release
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate") // the connection is closed
		return true
	})
	endpoint := newTestEndpoint(t, server.Address())
	attempt, request := newTestAttempt(endpoint), newTestRequest()
	request.Header["Req-Id"] = []string{"late"}
	results := startAttempt(attempt, request)
	testkit.WaitFor(t, "the attempt", received)
	attempt.Abort(policy.StatusTimedOut)
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusTimedOut {
		t.Errorf("got %+v, want StatusTimedOut", result)
	}
	close(release)
	for range 2 {
		attempt := newTestAttempt(endpoint)
		result := attempt.Do(newTestRequest(), nil)
		if result.Status != policy.StatusOK || string(result.Response.Body) != "ok" {
			t.Errorf("after the timeout: got %+v, body %q", result, result.Response.Body)
		}
		attempt.Abort(policy.StatusTimedOut)
	}
	if got := server.Connections.Load(); got != 2 {
		t.Errorf("got %d connections, want 2: the one that timed out and its successor", got)
	}
}

// BenchmarkAttempt measures sequential attempts on one reused connection, including the upstream server.
func BenchmarkAttempt(b *testing.B) {
	server := testkit.NewServer(b, testkit.Reply(testkit.ResponseOK, true))
	endpoint := newTestEndpoint(b, server.Address())
	b.ReportAllocs()
	for b.Loop() {
		if result := newTestAttempt(endpoint).Do(newTestRequest(), nil); result.Status != policy.StatusOK {
			b.Fatalf("got %+v, want StatusOK", result)
		}
	}
}

// The client may disconnect while its attempt waits for a connection. The attempt must not be sent then, even if the
// event loop has not aborted it yet.
func TestAttemptOfDisconnectedClientIsNotSent(t *testing.T) {
	server, gate := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true)), testkit.NewDialGate()
	endpoint := newTestEndpointWith(t, server.Address(), Options{Dial: gate.Dial})
	client, disconnect := context.WithCancel(t.Context())
	results := startAttempt(newTestAttempt(endpoint), newTestRequest().WithContext(client))
	testkit.WaitFor(t, "the dial", gate.Dialing)
	disconnect()
	gate.Open()
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusNotSent {
		t.Errorf("got %+v, want StatusNotSent", result)
	}
	if got := server.Requests.Load(); got != 0 {
		t.Errorf("%d requests reached the server", got)
	}
}
