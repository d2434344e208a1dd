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

const testLimit = 100

// bufferSize is for reads of the tests. net/http's watch for the client's end would read a single byte.
const bufferSize = 9

// newTestListener returns a listener on the loopback interface that is limited to testLimit connections.
func newTestListener(t *testing.T) *limitedListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // fails when the test has closed it already
	limiter := newConnectionLimiter(testLimit)
	limiter.limit, limiter.reserve = testLimit, 0
	limited := &limitedListener{limiter: limiter}
	limited.attach(listener)
	return limited
}

// acceptOne connects a client and returns both ends.
func acceptOne(t *testing.T, listener *limitedListener) (*clientConn, *testkit.Client) {
	t.Helper()
	client := testkit.Dial(t, listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return conn.(*clientConn), client
}

// makeIdle lets a connection serve one request.
func makeIdle(t *testing.T, conn *clientConn) {
	t.Helper()
	if !conn.beginRequest(0) {
		t.Fatal("the connection is evicted")
	}
	trackState(conn, http.StateIdle)
}

// readSome reads what the client has sent, at least one byte.
func readSome(t *testing.T, conn *clientConn) int {
	t.Helper()
	n, err := conn.Read(make([]byte, bufferSize))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func wantOpen(t *testing.T, limiter *connectionLimiter, want int) {
	t.Helper()
	if got := limiter.excess() + testLimit; got != want {
		t.Errorf("%d connections are open, want %d", got, want)
	}
}

// Requirements 1 and 2: a connection must not be closed for another one while its next request is being read. The
// client would send the request again while the first copy ran.
func TestConnectionIsNotEvictedWhileRequestIsRead(t *testing.T) {
	listener := newTestListener(t)
	limiter, late := listener.limiter, time.Now().Add(time.Hour)
	conn, client := acceptOne(t, listener)
	makeIdle(t, conn)
	if limiter.evict(time.Now()) {
		t.Error("evicted though it has been idle for a moment only")
	}
	client.WriteText("GET")
	readSome(t, conn)
	if limiter.evict(late) || limiter.continueDrain(late, false) {
		t.Error("closed though a request is being read")
	}
	wantOpen(t, limiter, 1)
}

// Bytes that wait to be read keep a connection open.
func TestConnectionWithUnreadBytesIsNotEvicted(t *testing.T) {
	listener := newTestListener(t)
	limiter, late := listener.limiter, time.Now().Add(time.Hour)
	conn, client := acceptOne(t, listener)
	makeIdle(t, conn)
	client.WriteText("G")
	testkit.Eventually(t, "the bytes", conn.hasUnread)
	if limiter.evict(late) || limiter.continueDrain(late, false) {
		t.Error("closed though a request waits to be read")
	}
	wantOpen(t, limiter, 1)
	if n := readSome(t, conn); n != 1 {
		t.Errorf("read %d bytes, want 1", n)
	}
}

// wantClosed reads a connection that the limiter has interrupted, and fails unless that closes it.
func wantClosed(t *testing.T, conn *clientConn) {
	t.Helper()
	if n, err := conn.Read(make([]byte, bufferSize)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if conn.state != stateClosed {
		t.Errorf("the connection is in state %d", conn.state)
	}
}

// Bytes that come after the last look for some do not keep a connection open, and nobody reads them: their client sends
// them again.
func TestBytesAfterEvictionAreNotRead(t *testing.T) {
	listener := newTestListener(t)
	limiter, late := listener.limiter, time.Now().Add(time.Hour)
	conn, client := acceptOne(t, listener)
	makeIdle(t, conn)
	if !limiter.evict(late) {
		t.Fatal("not evicted though it is idle")
	}
	limiter.hasUnread = func(c *clientConn) bool {
		unread := c.hasUnread()
		client.WriteText("GET")
		testkit.Eventually(t, "the bytes", c.hasUnread)
		return unread
	}
	wantClosed(t, conn)
	if conn.beginRequest(0) {
		t.Error("a request is served on it")
	}
}

// Deadlines that are set while a connection is closing do not keep it open, and the last one holds if it stays.
func TestDeadlinesOfClosingConnection(t *testing.T) {
	listener := newTestListener(t)
	limiter, late := listener.limiter, time.Now().Add(time.Hour)
	conn, client := acceptOne(t, listener)
	makeIdle(t, conn)
	limiter.evict(late)
	if err := conn.SetReadDeadline(late); err != nil {
		t.Fatal(err)
	}
	client.WriteText("GET")
	testkit.Eventually(t, "the bytes", conn.hasUnread)
	if n := readSome(t, conn); n == 0 || conn.state != stateActive {
		t.Errorf("read %d bytes; in state %d", n, conn.state)
	}
	if conn.readDeadline.After(time.Now().Add(headerTimeout)) {
		t.Errorf("the rest of the head may take until %v", conn.readDeadline)
	}
	other, _ := acceptOne(t, listener)
	makeIdle(t, other)
	limiter.evict(late)
	if err := other.SetReadDeadline(late); err != nil {
		t.Fatal(err)
	}
	wantClosed(t, other)
}

// The oldest connection that has not sent a complete head is evicted first.
func TestEvictionOrder(t *testing.T) {
	listener := newTestListener(t)
	limiter, late := listener.limiter, time.Now().Add(time.Hour)
	active, _ := acceptOne(t, listener)
	if !active.beginRequest(0) {
		t.Fatal("the active connection is evicted")
	}
	idle, _ := acceptOne(t, listener)
	makeIdle(t, idle)
	incomplete, client := acceptOne(t, listener)
	client.WriteText("GET")
	readSome(t, incomplete)
	silent, _ := acceptOne(t, listener)
	for i, want := range []*clientConn{incomplete, silent, idle} {
		if !limiter.evict(late) || want.state != stateClosing {
			t.Errorf("another connection was evicted than one in state %d", want.state)
		}
		wantOpen(t, limiter, 3-i)
	}
	if limiter.evict(late) {
		t.Error("evicted an active connection")
	}
	for _, conn := range []*clientConn{incomplete, silent, idle} {
		wantClosed(t, conn)
	}
	wantOpen(t, limiter, 1)
}

// Requirement 1 in a drain: its end cuts no request off, and a head that is complete only then is not served.
func TestDrainEndsBetweenRequests(t *testing.T) {
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
		t.Error("the drain ended while a goroutine may have read something")
	}
	wantClosed(t, conn)
	if !limiter.continueDrain(now, true) || conn.beginRequest(0) {
		t.Error("a request was accepted after the end of the drain")
	}
	if _, err := client.Reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v", err)
	}
}

// A request that is read in the moment in which its connection is chosen for eviction is served: its bytes have left
// the receive buffer, so that nothing tells of them, and closing would lose it.
func TestRequestReadDuringEvictionIsServed(t *testing.T) {
	for _, inDrain := range []bool{false, true} {
		listener := newTestListener(t)
		limiter, late := listener.limiter, time.Now().Add(time.Hour)
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
			testkit.Eventually(t, "the read", func() bool { return !c.hasUnread() }) // it waits for the limiter now
			return false
		}
		if inDrain {
			limiter.continueDrain(late, false)
		} else {
			limiter.evict(late)
		}
		if got := testkit.Receive(t, "the read", results); got.n != len(request) || got.err != nil {
			t.Errorf("in a drain %v: read %d bytes, %v", inDrain, got.n, got.err)
		}
		if !conn.beginRequest(0) {
			t.Errorf("in a drain %v: the request is not served", inDrain)
		}
	}
}
