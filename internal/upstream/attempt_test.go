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

func TestRefusedConnectionIsNotSent(t *testing.T) {
	server := testkit.NewServer(t, testkit.Silent)
	server.Stop()
	result := newTestAttempt(newTestEndpoint(t, server.Address())).Do(newTestRequest())
	if result.Status != policy.StatusConnectFailed {
		t.Errorf("got %+v", result)
	}
}

// shortConn fails before the last byte.
type shortConn struct{ net.Conn }

func (c shortConn) Write(p []byte) (int, error) { return len(p) - 1, errors.New("broken") }

// Guards the line between "never ran" and "may have run": the request's last byte.
func TestConnectionBrokenBeforeTheLastByteIsNotSent(t *testing.T) {
	endpoint := newTestEndpoint(t, testkit.NewServer(t, testkit.Silent).Address())
	connection := mustConnect(t, endpoint)
	connection.Conn = shortConn{connection.Conn}
	endpoint.releaseIdle(connection)
	if result := newTestAttempt(endpoint).Do(newTestRequest()); result.Status != policy.StatusConnectFailed {
		t.Errorf("got %+v", result)
	}
}

// Guards rule 2: the result of a cancelled attempt comes after its connection is closed.
func TestAbortClosesTheConnectionBeforeTheResult(t *testing.T) {
	server, received := newSilentServer(t)
	endpoint := newTestEndpoint(t, server.Address())
	attempt := newTestAttempt(endpoint)
	results := start(attempt, newTestRequest())
	testkit.WaitFor(t, "the attempt", received)
	attempt.Abort(policy.StatusCancelled)
	result := testkit.Receive(t, "the result", results)
	if open := endpoint.pool.openConnections.Load(); result.Status != policy.StatusCancelled || open != 0 {
		t.Errorf("%+v, %d open", result, open)
	}
	testkit.WaitFor(t, "the closed connection", server.Closed)
}

// hookedConn calls afterRead once it has read something.
type hookedConn struct {
	*net.TCPConn
	afterRead func()
}

func (c hookedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

// An abort that comes after the response's last byte changes nothing about the result, but its deadline may
// have reached the connection, which is closed for that.
func TestAbortAfterTheLastByteClosesTheConnection(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true))
	var attempt *Attempt
	dial := func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		if err != nil {
			return nil, err
		}
		return hookedConn{conn.(*net.TCPConn), func() { attempt.Abort(policy.StatusTimedOut) }}, nil
	}
	endpoint := newTestEndpointWith(t, server.Address(), Options{Dial: dial})
	attempt = newTestAttempt(endpoint)
	result := attempt.Do(newTestRequest())
	if result.Status != policy.StatusOK || string(result.Response.Body) != "ok" || len(endpoint.idle) != 0 {
		t.Errorf("%+v, %d idle", result, len(endpoint.idle))
	}
}

func TestAbortUnsentCancelsADial(t *testing.T) {
	server, gate := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true)), testkit.NewDialGate()
	endpoint := newTestEndpointWith(t, server.Address(), Options{Dial: gate.Dial})
	attempt := newTestAttempt(endpoint)
	results := start(attempt, newTestRequest())
	testkit.WaitFor(t, "the dial", gate.Dialing)
	attempt.AbortUnsent()
	testkit.WaitFor(t, "the end of the dial", gate.Cancelled)
	gate.Open() // the connection comes up all the same
	result := testkit.Receive(t, "the result", results)
	if result.Status != policy.StatusNotSent || server.Requests.Load() != 0 || len(endpoint.idle) != 1 {
		t.Errorf("%+v, %d requests, %d idle", result, server.Requests.Load(), len(endpoint.idle))
	}
}

func TestAbortUnsentLeavesASentAttemptAlone(t *testing.T) {
	server, received, release := newHoldingServer(t)
	attempt := newTestAttempt(newTestEndpoint(t, server.Address()))
	results := start(attempt, newTestRequest())
	testkit.WaitFor(t, "the attempt", received)
	attempt.AbortUnsent()
	release()
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusOK {
		t.Errorf("got %+v", result)
	}
}

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
		if result := attempt.Do(newTestRequest()); result.Status != policy.StatusNotSent {
			t.Errorf("%s: got %+v", name, result)
		}
	}
	endpoint.releaseIdle(mustConnect(t, endpoint))
	expired := NewAttempt(endpoint, time.Now())
	if result := expired.Do(newTestRequest()); result.Status != policy.StatusNotSent || len(endpoint.idle) != 1 {
		t.Errorf("past the deadline: %+v, %d idle", result, len(endpoint.idle))
	}
	if got := server.Requests.Load(); got != 0 {
		t.Errorf("%d requests reached the server", got)
	}
}

// Guards rule 3: an attempt that waited for its connection checks the endpoint list again.
func TestNoFirstByteToADrainingEndpoint(t *testing.T) {
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
		t.Errorf("refused %v, since %v", refused, refusal)
	}
	endpoint.releaseIdle(connection)
	result := attempt.Do(newTestRequest())
	if result.Status != policy.StatusNotSent || server.Requests.Load() != 0 || len(endpoint.idle) != 0 {
		t.Errorf("%+v, %d requests, %d idle", result, server.Requests.Load(), len(endpoint.idle))
	}
}

// A response that comes after the time-out belongs to nobody: its connection ends, and the next request gets
// its own response. A time-out that comes after the response ends nothing: neither that response nor the
// connection, on which another request may be out by then.
func TestResponseThatCrossesItsTimeout(t *testing.T) {
	received, release := make(chan struct{}, 10), make(chan struct{})
	server := testkit.NewServer(t, func(conn net.Conn, request *http.Request) bool {
		if request.Header.Get("Req-Id") != "late" {
			return testkit.Reply(testkit.ResponseOK, true)(conn, request)
		}
		received <- struct{}{}
		<-release
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate") // to a closed connection
		return true
	})
	endpoint := newTestEndpoint(t, server.Address())
	attempt, request := newTestAttempt(endpoint), newTestRequest()
	request.Header["Req-Id"] = []string{"late"}
	results := start(attempt, request)
	testkit.WaitFor(t, "the attempt", received)
	attempt.Abort(policy.StatusTimedOut)
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusTimedOut {
		t.Errorf("%+v", result)
	}
	close(release)
	for range 2 {
		attempt := newTestAttempt(endpoint)
		result := attempt.Do(newTestRequest())
		if result.Status != policy.StatusOK || string(result.Response.Body) != "ok" {
			t.Errorf("then %+v, %q", result, result.Response.Body)
		}
		attempt.Abort(policy.StatusTimedOut)
	}
	if got := server.Connections.Load(); got != 2 {
		t.Errorf("%d connections, want the one that timed out and another", got)
	}
}

// BenchmarkAttempt measures one attempt at a time on a kept connection, upstream server included.
func BenchmarkAttempt(b *testing.B) {
	server := testkit.NewServer(b, testkit.Reply(testkit.ResponseOK, true))
	endpoint := newTestEndpoint(b, server.Address())
	b.ReportAllocs()
	for b.Loop() {
		if result := newTestAttempt(endpoint).Do(newTestRequest()); result.Status != policy.StatusOK {
			b.Fatalf("%+v", result)
		}
	}
}

// An attempt whose client has gone while it waited for its connection is not sent, whether or not the event loop knows.
func TestNoFirstByteForAClientThatHasGone(t *testing.T) {
	server, gate := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true)), testkit.NewDialGate()
	endpoint := newTestEndpointWith(t, server.Address(), Options{Dial: gate.Dial})
	client, leave := context.WithCancel(t.Context())
	results := start(newTestAttempt(endpoint), newTestRequest().WithContext(client))
	testkit.WaitFor(t, "the dial", gate.Dialing)
	leave()
	gate.Open()
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusNotSent {
		t.Errorf("got %+v", result)
	}
	if got := server.Requests.Load(); got != 0 {
		t.Errorf("%d requests were sent", got)
	}
}
