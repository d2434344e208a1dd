package frontend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"springfield/internal/counters"
	"springfield/internal/invariant"
)

// errRequestEvicted is the error of reading a body that has stalled while connections are short.
var errRequestEvicted = errors.New("the request was evicted before it was complete")

// errNoMemory is the error of a request whose body got no memory in time.
var errNoMemory = errors.New("there is no memory for the request")

// connectionState is the state of a client connection, according to the bytes that have been read from it.
type connectionState uint8

const (
	stateAccepted    connectionState = iota // waits for room; no goroutine serves it yet
	stateNew                                // nothing has been read yet
	stateReadingHead                        // a part of a request head has been read
	stateReadingBody                        // a head is complete, its body is not
	stateActive                             // a request is complete
	stateIdle                               // waits for a further request
	stateClosing                            // its own goroutine closes it unless bytes arrive before that
	stateRejecting                          // its request is rejected to make room, and then it closes
	stateClosed                             // closed, or about to be closed, and not counted any more
)

// clientConn is a connection of a client.
//
// While a request is open, net/http reads a single byte in the background to detect that the client disconnects; all
// its other reads use a larger buffer. It stops this detection at the first byte, so it would not notice the disconnect
// of a client that has sent anything after its request. clientConn therefore goes on reading and stores what it reads.
type clientConn struct {
	*net.TCPConn
	limiter *connectionLimiter

	// The accept loop sets the following fields before it passes the connection on.
	acceptedAt    time.Time // earlier than the accept by the time that the client's first bytes had to wait for it
	beyondReserve bool      // there was no room for the connection
	delayed       bool      // the connection may have waited in the accept queue

	// connectionLimiter.mu guards the following fields.
	state            connectionState
	stateBeforeClose connectionState // state before stateClosing
	closeReason      counters.Event  // event that is counted when a connection in stateClosing is closed
	stateSince       time.Time       // time of accept, of becoming idle, of the last progress, or of unread bytes
	headSince        time.Time       // when the head of a further request began; zero before that
	readDeadline     time.Time       // last deadline that was set; not applied in stateClosing
	reservedBytes    int             // memory that is reserved for the current request

	// The goroutine that serves the connection owns the following fields. While a request is open, the background
	// reader of net/http owns those for reading.
	boundary     requestBoundary
	headReserved bool           // memory is reserved for the current head
	headRead     bool           // the current head is complete; one-byte reads are the disconnect detection of net/http
	headDeadline time.Time      // time limit for the head of a further request; zero if none has begun
	readAhead    []byte         // bytes that were read from the socket and not passed to net/http yet
	unansweredID string         // id of the request that was read and not answered yet, or ""
	closeEvent   counters.Event // event that is counted unless the limiter closes the connection

	readAheadLength atomic.Int32 // length of readAhead, for other goroutines
}

// Read returns bytes of the current request only. Bytes that were read ahead come before those of the socket. It fails
// with net.ErrClosed if the limiter has closed the connection.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.headRead {
		return 0, c.watchForDisconnect()
	}
	n := c.takeReadAhead(p)
	var err error
	if n == 0 {
		n, err = c.readSocket(p)
	}
	if n == 0 {
		return 0, err
	}
	requestBegan, ok := c.limiter.recordRead(c, c.boundary.phase)
	if !ok {
		return 0, net.ErrClosed
	}
	if requestBegan {
		c.limitHeadTime()
	}
	if err := c.limitHead(); err != nil {
		return 0, err
	}
	return n, err
}

// advance updates the request boundary and returns how many of the bytes belong to the current request.
func (c *clientConn) advance(bytes []byte) int {
	n := c.boundary.advance(bytes)
	c.headRead = c.boundary.phase != phaseHead
	return n
}

// readSocket reads from the socket and stores the bytes that belong to the next request. If the limiter interrupts the
// read in order to close the connection, this goroutine closes it, because only this goroutine knows that it has read
// nothing.
func (c *clientConn) readSocket(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	for n <= 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		switch c.limiter.finishClose(c) {
		case interruptedByDeadline:
			return 0, err
		case interruptionClosed:
			return 0, net.ErrClosed
		case interruptionRejectsBody:
			return 0, errRequestEvicted
		}
		n, err = c.TCPConn.Read(p)
	}
	if n <= 0 {
		return 0, err
	}
	current := c.advance(p[:n])
	c.storeReadAhead(p[current:n])
	return current, err
}

// limitHeadTime limits the time for the head of a further request from its first byte on. net/http applies its header
// timeout only from the fourth byte on, and the longer idle timeout before that.
func (c *clientConn) limitHeadTime() {
	c.headDeadline = time.Now().Add(headerTimeout)
	_ = c.limiter.setReadDeadline(c, c.headDeadline) // fails only on a closed connection, on which reads fail too
}

// SetReadDeadline sets the deadline for reads. While the head of a further request is being read, the deadline is at
// most headDeadline. A deadline within headerTimeout is the one that net/http sets for the head; it sets a later
// deadline, or none, once the head is complete.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	if !c.headDeadline.IsZero() {
		if deadline.IsZero() || time.Until(deadline) > headerTimeout {
			c.headDeadline = time.Time{}
		} else if deadline.After(c.headDeadline) {
			deadline = c.headDeadline
		}
	}
	return c.limiter.setReadDeadline(c, deadline)
}

// Close closes the connection and removes it from the limiter. It reports an invariant violation if a request on the
// connection has not been answered.
func (c *clientConn) Close() error {
	if c.unansweredID != "" {
		invariant.RecordViolation(invariant.Closing, c.unansweredID, "the connection closes before the request is answered")
	}
	if c.limiter.remove(c) {
		counters.Count(c.closeEvent, "")
	}
	c.limiter.releaseMemory(c)
	return c.TCPConn.Close()
}

// writeNow writes as much as the send buffer takes, without waiting for a client that does not read.
func (c *clientConn) writeNow(bytes []byte) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the connection is broken or its client does not read, so that the bytes are lost anyway.
	_ = raw.Control(func(fd uintptr) { _, _ = syscall.Write(int(fd), bytes) })
}

// markUnanswered records that a request has been read and must be answered.
func (c *clientConn) markUnanswered(id string) { c.unansweredID = id }

// markAnswered records that the response to the request is being handed to net/http.
func (c *clientConn) markAnswered() { c.unansweredID, c.closeEvent = "", counters.CloseLast }

// markAbandoned records that the client has disconnected and gets no response.
func (c *clientConn) markAbandoned() { c.unansweredID, c.closeEvent = "", counters.CloseClientGone }

// beginRequest is called when the head of a request is complete. bodyLength is negative if it is unknown. Once the body
// is complete as well, the limiter keeps the connection open until the response. It returns false if the connection is
// closed already.
func (c *clientConn) beginRequest(bodyLength int64) bool {
	c.boundary.beginBody(bodyLength)
	return c.limiter.beginRequest(c, c.boundary.phase == phaseBody)
}

// hasTransferEncoding reports whether the head of the current request, as it was received, has a Transfer-Encoding
// field. c may be nil.
func (c *clientConn) hasTransferEncoding() bool { return c != nil && c.boundary.hasTransferEncoding }

// beginIdle is called when a request has been answered and the connection stays open for a further one.
func (c *clientConn) beginIdle() {
	c.boundary.beginHead()
	c.headRead, c.headReserved = false, false
	c.headDeadline = time.Time{}
	c.closeEvent = counters.CloseByTimeout
	c.limiter.beginIdle(c)
}

// connectionKey is the context key for the connection of a request.
type connectionKey struct{}

// withConnection is the ConnContext hook of http.Server. It stores the connection in the context of its requests.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// connectionOf returns the connection of a request, or nil if no limitedListener accepted it.
func connectionOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(connectionKey{}).(*clientConn)
	return conn
}
