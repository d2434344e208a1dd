package frontend

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"springfield/internal/clock"
	"springfield/internal/eventloop"
	"springfield/internal/testkit"
	"springfield/internal/upstream"
)

// stalledBody is the incomplete body of requests in these tests, and stalledBodyLength the length that they declare.
const (
	stalledBody       = "half"
	stalledBodyLength = 9
)

// makeBodyStall makes a connection read the head of a request and a part of its body.
func makeBodyStall(t *testing.T, conn *clientConn, client *testkit.Client) {
	t.Helper()
	const head = "POST / HTTP/1.1\r\n\r\n"
	client.WriteText(head + stalledBody)
	for read := 0; read < len(head); {
		read += readSome(t, conn)
	}
	if !conn.beginRequest(stalledBodyLength) {
		t.Fatal("the connection is closed")
	}
	for read := 0; read < len(stalledBody); {
		read += readSome(t, conn)
	}
}

// Requests whose bodies have stalled must not hold up new connections until the bodies time out. Requests of other
// clients wait in the accept queue meanwhile, and get no answer within their time.
func TestStalledBodyMakesRoomForNewConnection(t *testing.T) {
	listener := newTestListener(t)
	listener.limiter.limit = 1
	stalled, client := acceptOne(t, listener)
	makeBodyStall(t, stalled, client)
	testkit.Dial(t, listener.Addr().String())
	accepted := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		accepted <- err
	}()
	evicted := make(chan error, 1)
	go func() {
		_, err := stalled.Read(make([]byte, bufferSize))
		evicted <- errors.Join(err, stalled.Close())
	}()
	if err := testkit.Receive(t, "the end of the read", evicted); !errors.Is(err, errRequestEvicted) {
		t.Errorf("the read of the stalled body ended with %v, want errRequestEvicted", err)
	}
	if err := testkit.Receive(t, "the new connection", accepted); err != nil {
		t.Errorf("the new connection: %v", err)
	}
}

// A body of which bytes have arrived must not be evicted, even if nobody has read them yet. Of two stalled bodies, the
// one that has waited for longer must be evicted.
func TestBodyWithProgressIsNotEvicted(t *testing.T) {
	listener := newTestListener(t)
	limiter := listener.limiter
	first, firstClient := acceptOne(t, listener)
	makeBodyStall(t, first, firstClient)
	second, secondClient := acceptOne(t, listener)
	makeBodyStall(t, second, secondClient)
	if limiter.evictStalledBody(first.stateSince) {
		t.Error("evicted a body that has just made progress")
	}
	firstClient.WriteText("x")
	testkit.Eventually(t, "the byte", first.hasUnread)
	if !limiter.evictStalledBody(time.Now().Add(time.Hour)) || second.state != stateClosing {
		t.Errorf("the first body is in state %d, the second in state %d", first.state, second.state)
	}
	if readSome(t, first) != 1 || first.state != stateReadingBody {
		t.Errorf("the first body is in state %d", first.state)
	}
}

// Bytes that arrive after a body was chosen for eviction must cancel the eviction, because they may complete a request
// that then has been accepted.
func TestBytesOfBodyCancelEviction(t *testing.T) {
	listener := newTestListener(t)
	conn, client := acceptOne(t, listener)
	makeBodyStall(t, conn, client)
	if !listener.limiter.evictStalledBody(time.Now().Add(time.Hour)) {
		t.Fatal("the stalled body was not evicted")
	}
	const rest = stalledBodyLength - len(stalledBody)
	client.WriteText("12345"[:rest])
	testkit.Eventually(t, "the bytes", conn.hasUnread)
	if n := readSome(t, conn); n != rest || conn.state != stateActive {
		t.Errorf("read %d bytes, the connection is in state %d", n, conn.state)
	}
	wantOpen(t, listener.limiter, 1)
}

// A client whose head was begun and then evicted must get a rejection, since it may be one that writes slowly and would
// lose its request.
func TestEvictedHeadIsRejected(t *testing.T) {
	listener := newTestListener(t)
	conn, client := acceptOne(t, listener)
	client.WriteText("GET")
	readSome(t, conn)
	if listener.limiter.evict(conn.stateSince) {
		t.Error("evicted a head that has just made progress")
	}
	if !listener.limiter.evict(time.Now().Add(time.Hour)) {
		t.Fatal("the stalled head was not evicted")
	}
	wantClosed(t, conn)
	if response := client.ReadResponse(); response.Status != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("got %+v, want a rejection that closes the connection", response)
	}
	if _, err := client.Reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v", err)
	}
}

// The eviction of a client that does not read its responses must not wait for it, because the limiter is locked
// meanwhile and no other connection makes progress.
func TestEvictionDoesNotWaitForReader(t *testing.T) {
	listener := newTestListener(t)
	conn, client := acceptOne(t, listener)
	makeIdle(t, conn)
	fillSendBuffer(t, conn)
	client.WriteText("GET")
	readSome(t, conn)
	if !listener.limiter.evict(time.Now().Add(time.Hour)) {
		t.Fatal("the stalled head was not evicted")
	}
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, bufferSize))
		ended <- err
	}()
	if err := testkit.Receive(t, "the end of the read", ended); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the read ended with %v", err)
	}
}

// fillSendBuffer writes to a connection until its client would have to read.
func fillSendBuffer(t *testing.T, conn *clientConn) {
	t.Helper()
	const timeout = 50 * time.Millisecond
	for chunk := make([]byte, upstream.MaxBodyBytes); len(chunk) > 0; {
		if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			t.Fatal(err)
		}
		switch _, err := conn.Write(chunk); {
		case errors.Is(err, os.ErrDeadlineExceeded):
			chunk = chunk[:len(chunk)/2]
		case err != nil:
			t.Fatal(err)
		}
	}
	if err := conn.SetWriteDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
}

// Further bytes must not protect a connection for which there is no room, nor a head that has been incomplete for long.
// Clients that send a byte now and then would otherwise hold up others.
func TestProgressIsLimited(t *testing.T) {
	for name, change := range map[string]func(*clientConn){
		"without room": func(c *clientConn) { c.beyondReserve = true },
		"late head":    func(c *clientConn) { c.acceptedAt = c.acceptedAt.Add(-maxHeadTime) },
		"late further head": func(c *clientConn) {
			c.acceptedAt, c.headSince = c.acceptedAt.Add(time.Hour), time.Now().Add(-maxHeadTime)
		},
		"in time":              func(c *clientConn) { c.acceptedAt = c.acceptedAt.Add(time.Hour) },
		"further head in time": func(c *clientConn) { c.headSince = c.acceptedAt.Add(time.Hour) },
	} {
		conn, client := acceptOne(t, newTestListener(t))
		client.WriteText("G")
		readSome(t, conn)
		change(conn)
		before := conn.stateSince
		client.WriteText("E")
		readSome(t, conn)
		if progress := conn.stateSince.After(before); progress != strings.HasSuffix(name, "in time") {
			t.Errorf("%s: the second byte counts as progress: %v", name, progress)
		}
	}
}

// All connections beyond the limit must be evicted together. One at a time would take long while hundreds wait.
func TestExcessIsEvictedTogether(t *testing.T) {
	const excess = 5
	listener := newTestListener(t)
	listener.limiter.limit, listener.limiter.reserve = testLimit, testLimit
	for range excess {
		conn, _ := acceptOne(t, listener)
		conn.stateSince = time.Now().Add(-time.Hour)
	}
	listener.limiter.limit = 0
	listener.evictExcess()
	if over, closing := listener.limiter.excessWithClosing(); over != excess || closing != excess {
		t.Errorf("%d of %d connections are being closed, want all", closing, over)
	}
}

// The end of a drain must reject requests whose bodies are incomplete. They have not been accepted, and waiting for
// them would keep the process from ending in time.
func TestForcedDrainRejectsIncompleteBody(t *testing.T) {
	listener := newTestListener(t)
	conn, client := acceptOne(t, listener)
	makeBodyStall(t, conn, client)
	if listener.limiter.continueDrain(time.Now(), false); conn.state != stateReadingBody {
		t.Errorf("before the end of the drain the connection is in state %d", conn.state)
	}
	listener.limiter.continueDrain(time.Now(), true)
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, bufferSize))
		ended <- err
	}()
	if err := testkit.Receive(t, "the end of the read", ended); !errors.Is(err, errRequestEvicted) {
		t.Errorf("the read of the incomplete body ended with %v, want errRequestEvicted", err)
	}
}

// noEngine is an Engine that no request reaches.
type noEngine struct {
	Engine
	t *testing.T
}

// Submit implements Engine.
func (e noEngine) Submit(*eventloop.Call) { e.t.Error("an incomplete request was submitted") }

// A request that is evicted because its body has stalled must get an answer, with the statement that a retry is safe,
// and then the end of its connection. The connection must not be kept open by a client that stays.
func TestEvictedRequestIsRejected(t *testing.T) {
	settings := testkit.Settings(t)
	server := NewServer(Options{
		Clock: clock.New(), Engine: noEngine{t: t}, Settings: &settings, MaxConnections: testLimit,
		LongestDeadline: testkit.Timeout,
	})
	listener := newTestListener(t)
	go func() { _ = server.Serve(listener.listener) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })            // the test is over
	client := testkit.Dial(t, listener.Addr().String())
	client.WriteText(testkit.RequestHead(http.MethodPost, "pay", "stalled", "100"))
	testkit.Eventually(t, "the eviction", func() bool {
		return server.limiter.evictStalledBody(time.Now().Add(time.Hour))
	})
	response := client.ReadResponse()
	if response.Status != http.StatusServiceUnavailable || !response.Close || response.Header.Get("Retry-After") == "" {
		t.Errorf("got %+v, want a rejection with Retry-After that closes the connection", response)
	}
	if _, err := client.Reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v", err)
	}
	testkit.Eventually(t, "the closed connection", func() bool { return server.OpenConnections() == 0 })
}

// A new connection must not wait without a bound for room that active requests do not leave. It must be marked, so that
// its request is rejected, and only one such connection may be open at a time.
func TestConnectionWithoutRoomIsAcceptedAndMarked(t *testing.T) {
	listener := newTestListener(t)
	listener.limiter.limit, listener.maxFullTime = 1, 0
	active, _ := acceptOne(t, listener)
	if !active.beginRequest(0) {
		t.Fatal("the connection is closed")
	}
	extra, _ := acceptOne(t, listener)
	if !extra.beyondReserve || !listener.limiter.isFull(extra) || listener.limiter.isFull(active) {
		t.Error("the connection without room, and only that one, must be marked")
	}
	testkit.Dial(t, listener.Addr().String())
	type result struct {
		conn   *clientConn
		excess int
	}
	accepted := make(chan result, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			t.Errorf("the next connection: %v", err)
			return
		}
		excess, _ := listener.limiter.excessWithClosing()
		accepted <- result{conn.(*clientConn), excess}
	}()
	extra.limiter.remove(extra)
	if got := testkit.Receive(t, "the next connection", accepted); !got.conn.beyondReserve || got.excess != 1 {
		t.Errorf("marked %v, with %d connections beyond the limit, want true and 1", got.conn.beyondReserve, got.excess)
	}
}
