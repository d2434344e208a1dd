package frontend

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"springfield/internal/testkit"
)

// testLimit is the connection limit of newTestListener.
const testLimit = 100

// bufferSize is the buffer size of reads in tests. It is not 1, because one-byte reads are the disconnect detection of
// net/http.
const bufferSize = 9

// newTestListener returns a listener on the loopback interface with a limit of testLimit connections and no reserve. It
// waits for room without a bound that a slow machine could reach.
func newTestListener(t *testing.T) *limitedListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // fails if the test has closed it already
	limiter := newConnectionLimiter(testLimit)
	limiter.limit, limiter.reserve = testLimit, 0
	limited := newLimitedListener(limiter)
	limited.maxFullTime = time.Hour
	limited.attach(listener)
	return limited
}

// acceptOne connects a client and returns both ends of the connection.
func acceptOne(t *testing.T, listener *limitedListener) (*clientConn, *testkit.Client) {
	t.Helper()
	client := testkit.Dial(t, listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return conn.(*clientConn), client
}

// makeIdle makes a connection idle, as after its first request.
func makeIdle(t *testing.T, conn *clientConn) {
	t.Helper()
	if !conn.beginRequest(0) {
		t.Fatal("the connection is closed")
	}
	trackState(conn, http.StateIdle)
}

// readSome reads at least one byte that the client has sent and returns the number of bytes.
func readSome(t *testing.T, conn *clientConn) int {
	t.Helper()
	n, err := conn.Read(make([]byte, bufferSize))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// wantOpen checks the number of connections that are open and not being closed.
func wantOpen(t *testing.T, limiter *connectionLimiter, want int) {
	t.Helper()
	if got := limiter.excess() + testLimit; got != want {
		t.Errorf("%d connections are open, want %d", got, want)
	}
}

// A connection must not be evicted while its next request is being read. Once the head of that request has stalled, the
// connection may be evicted, but its client must be told that the request has not run. Otherwise the client would send
// it again without knowing.
func TestConnectionIsNotEvictedWhileRequestIsRead(t *testing.T) {
	listener := newTestListener(t)
	limiter, inOneHour := listener.limiter, time.Now().Add(time.Hour)
	conn, client := acceptOne(t, listener)
	makeIdle(t, conn)
	if limiter.evict(time.Now()) {
		t.Error("evicted although it has just become idle")
	}
	client.WriteText("GET")
	readSome(t, conn)
	if limiter.evict(conn.stateSince) || limiter.continueDrain(inOneHour, false) {
		t.Error("closed although a request is being read")
	}
	wantOpen(t, limiter, 1)
	client.WriteText(" /")
	testkit.Eventually(t, "the bytes", conn.hasUnread)
	if limiter.evict(inOneHour) {
		t.Error("evicted although bytes of the request wait to be read")
	}
	readSome(t, conn)
	if !limiter.evict(inOneHour) {
		t.Fatal("not evicted although the request has stalled")
	}
	wantClosed(t, conn)
	if response := client.ReadResponse(); response.Status != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("got %+v, want a rejection that closes the connection", response)
	}
}

// Unread bytes may be a request, so a connection with unread bytes must not be closed.
func TestConnectionWithUnreadBytesIsNotEvicted(t *testing.T) {
	listener := newTestListener(t)
	limiter, inOneHour := listener.limiter, time.Now().Add(time.Hour)
	conn, client := acceptOne(t, listener)
	makeIdle(t, conn)
	client.WriteText("G")
	testkit.Eventually(t, "the bytes", conn.hasUnread)
	if limiter.evict(inOneHour) || limiter.continueDrain(inOneHour, false) {
		t.Error("closed although a request waits to be read")
	}
	wantOpen(t, limiter, 1)
	if n := readSome(t, conn); n != 1 {
		t.Errorf("read %d bytes, want 1", n)
	}
}

// wantClosed reads from a connection that the limiter has interrupted and checks that the read closes the connection.
func wantClosed(t *testing.T, conn *clientConn) {
	t.Helper()
	if n, err := conn.Read(make([]byte, bufferSize)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if conn.state != stateClosed {
		t.Errorf("the connection is in state %d", conn.state)
	}
}

// Bytes that arrive after the last check for unread bytes must not be read from a connection that is closed. Their
// request would run although the client sends it again.
func TestBytesArrivingAfterEvictionAreNotRead(t *testing.T) {
	listener := newTestListener(t)
	limiter, inOneHour := listener.limiter, time.Now().Add(time.Hour)
	conn, client := acceptOne(t, listener)
	makeIdle(t, conn)
	if !limiter.evict(inOneHour) {
		t.Fatal("not evicted although it is idle")
	}
	limiter.hasUnread = func(c *clientConn) bool {
		unread := c.hasUnread()
		client.WriteText("GET")
		testkit.Eventually(t, "the bytes", c.hasUnread)
		return unread
	}
	wantClosed(t, conn)
	if conn.beginRequest(0) {
		t.Error("a request is served on the closed connection")
	}
}

// net/http may set a read deadline while a connection is closing. That must not keep the connection open, but it must
// apply if the connection stays open because bytes have arrived.
func TestReadDeadlineDoesNotStopClosing(t *testing.T) {
	listener := newTestListener(t)
	limiter, inOneHour := listener.limiter, time.Now().Add(time.Hour)
	conn, client := acceptOne(t, listener)
	makeIdle(t, conn)
	limiter.evict(inOneHour)
	if err := conn.SetReadDeadline(inOneHour); err != nil {
		t.Fatal(err)
	}
	client.WriteText("GET")
	testkit.Eventually(t, "the bytes", conn.hasUnread)
	if n := readSome(t, conn); n == 0 || conn.state != stateReadingHead {
		t.Errorf("read %d bytes, the connection is in state %d", n, conn.state)
	}
	if conn.readDeadline.After(time.Now().Add(headerTimeout)) {
		t.Errorf("the read deadline for the rest of the head is %v", conn.readDeadline)
	}
	if !conn.beginRequest(0) {
		t.Fatal("the connection is closed")
	}
	other, _ := acceptOne(t, listener)
	makeIdle(t, other)
	limiter.evict(inOneHour)
	if err := other.SetReadDeadline(inOneHour); err != nil {
		t.Fatal(err)
	}
	wantClosed(t, other)
}

// Connections without a complete head must be evicted first, the oldest before the others, and then idle connections. A
// connection with an active request must not be evicted.
func TestIncompleteRequestsAreEvictedBeforeIdleConnections(t *testing.T) {
	listener := newTestListener(t)
	limiter, inOneHour := listener.limiter, time.Now().Add(time.Hour)
	active, _ := acceptOne(t, listener)
	if !active.beginRequest(0) {
		t.Fatal("the active connection is closed")
	}
	idle, _ := acceptOne(t, listener)
	makeIdle(t, idle)
	incomplete, client := acceptOne(t, listener)
	client.WriteText("GET")
	readSome(t, incomplete)
	silent, _ := acceptOne(t, listener)
	for i, want := range []*clientConn{incomplete, silent, idle} {
		if !limiter.evict(inOneHour) || want.state != stateClosing {
			t.Errorf("the wrong connection was evicted; the expected one is in state %d", want.state)
		}
		wantOpen(t, limiter, 3-i)
	}
	if limiter.evict(inOneHour) {
		t.Error("evicted an active connection")
	}
	for _, conn := range []*clientConn{incomplete, silent, idle} {
		wantClosed(t, conn)
	}
	wantOpen(t, limiter, 1)
}

// A drain must not cut off a request whose head is complete. A head that becomes complete only after the end of the
// drain must not be served.
func TestDrainWaitsForRequests(t *testing.T) {
	listener := newTestListener(t)
	limiter, now := listener.limiter, time.Now()
	conn, client := acceptOne(t, listener)
	client.WriteText("GET")
	readSome(t, conn)
	if limiter.continueDrain(now, false) {
		t.Error("the drain ended while a head was incomplete")
	}
	if !conn.beginRequest(0) || limiter.continueDrain(now, true) || conn.state != stateActive {
		t.Error("the drain ended during a request")
	}
	conn.state = stateReadingHead
	if limiter.continueDrain(now, true) {
		t.Error("the drain ended before the goroutine of the connection had closed it")
	}
	wantClosed(t, conn)
	if !limiter.continueDrain(now, true) || conn.beginRequest(0) {
		t.Error("a request was accepted after the end of the drain")
	}
	if _, err := client.Reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v", err)
	}
}

// A request that is read at the moment in which its connection is chosen for eviction must be served. Its bytes have
// left the receive buffer, so the limiter cannot see them, and closing the connection would lose the request.
func TestRequestReadDuringEvictionIsServed(t *testing.T) {
	for _, inDrain := range []bool{false, true} {
		listener := newTestListener(t)
		limiter, inOneHour := listener.limiter, time.Now().Add(time.Hour)
		conn, client := acceptOne(t, listener)
		makeIdle(t, conn)
		const request = "GET / HTTP/1.1\r\n\r\n"
		type result struct {
			n   int
			err error
		}
		results := make(chan result, 1)
		limiter.hasUnread = func(c *clientConn) bool {
			client.WriteText(request)
			go func() {
				n, err := conn.Read(make([]byte, len(request)))
				results <- result{n, err}
			}()
			testkit.Eventually(t, "the read", func() bool { return !c.hasUnread() }) // the read now waits for limiter.mu
			return false
		}
		if inDrain {
			limiter.continueDrain(inOneHour, false)
		} else {
			limiter.evict(inOneHour)
		}
		if got := testkit.Receive(t, "the read", results); got.n != len(request) || got.err != nil {
			t.Errorf("in drain %v: read %d bytes, %v", inDrain, got.n, got.err)
		}
		if !conn.beginRequest(0) {
			t.Errorf("in drain %v: the request is not served", inDrain)
		}
	}
}
