package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"springfield/internal/counters"
	"springfield/internal/invariant"
)

const (
	// maxReadAhead is the number of bytes after which reading ahead on a connection stops while a request is open.
	// Clients of the protocol send one request at a time, and further bytes wait in the receive buffer of the socket.
	maxReadAhead = 4 << 10

	readAheadChunk = 512 // bytes
)

// hiddenCloseBytes is the number of unread bytes behind which the close of a connection may not be seen. It is half of
// the smallest receive window that Linux gives a connection by default.
const hiddenCloseBytes = 32 << 10

// peekBuffers holds buffers of type *[hiddenCloseBytes]byte.
var peekBuffers = sync.Pool{New: func() any { return new([hiddenCloseBytes]byte) }}

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

// takeReadAhead moves bytes of the current request from the read-ahead buffer to p and returns their number.
func (c *clientConn) takeReadAhead(p []byte) int {
	if len(c.readAhead) == 0 {
		return 0
	}
	n := c.advance(c.readAhead[:min(len(p), len(c.readAhead))])
	copy(p, c.readAhead[:n])
	rest := c.readAhead[n:]
	if len(rest) == 0 {
		c.readAhead = nil // an idle connection keeps no buffer
	} else {
		c.readAhead = append(c.readAhead[:0], rest...)
	}
	c.readAheadLength.Store(int32(len(rest)))
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

// storeReadAhead appends bytes to the read-ahead buffer.
func (c *clientConn) storeReadAhead(bytes []byte) {
	if len(bytes) == 0 {
		return
	}
	c.readAhead = append(c.readAhead, bytes...)
	c.readAheadLength.Store(int32(len(c.readAhead)))
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

// watchForDisconnect reads ahead until the client disconnects or net/http interrupts it with a deadline. After
// maxReadAhead bytes it stops reading and only waits for the disconnect.
func (c *clientConn) watchForDisconnect() error {
	var chunk [readAheadChunk]byte
	for len(c.readAhead) <= maxReadAhead {
		n, err := c.TCPConn.Read(chunk[:])
		c.storeReadAhead(chunk[:n])
		if err != nil {
			return err
		}
	}
	return c.awaitDisconnect()
}

// awaitDisconnect waits until the client disconnects or the read deadline passes, without reading what the client has
// sent.
func (c *clientConn) awaitDisconnect() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	// raw.Read calls hasHungUp again whenever the state of the socket changes.
	if err := raw.Read(hasHungUp); err != nil {
		return err
	}
	return io.EOF
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

// mayHaveLeft reports whether the client has closed the connection or its sending side, or may have done so unseen.
func (c *clientConn) mayHaveLeft() bool { return c.closedByClient() || c.hidesClose() }

// hidesClose reports whether so many bytes wait to be read that the receive buffer may be full. The end of the stream
// can't arrive then, so that nothing shows whether the client is still there. Clients of the protocol send one request
// at a time and never get there.
func (c *clientConn) hidesClose() bool {
	if n, err := c.peek(); n == 0 || err != nil {
		return false
	}
	buffer := peekBuffers.Get().(*[hiddenCloseBytes]byte)
	defer peekBuffers.Put(buffer)
	n, err := c.peekInto(buffer[:])
	return err == nil && n == len(buffer)
}

// closedByClient reports whether the client has closed the connection or its sending side, even if unread bytes precede
// the end of the stream.
func (c *clientConn) closedByClient() bool {
	n, err := c.peek()
	if n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET) {
		return true
	}
	if n == 0 {
		return false // the receive buffer is empty, so no unread bytes precede an end of the stream
	}
	closed := false
	raw, err := c.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { closed = hasHungUp(fd) })
	}
	return closed || err != nil
}

// hasUnread reports whether the client has sent bytes that net/http has not read. Closing the connection would then
// reset it, and a request in these bytes would get no response.
func (c *clientConn) hasUnread() bool {
	if c.readAheadLength.Load() > 0 {
		return true
	}
	n, err := c.peek()
	return err == nil && n > 0
}

// peek checks the receive buffer for bytes without removing them. It returns 1 if there are any. 0 without an error
// means that the client has closed the connection.
func (c *clientConn) peek() (n int, err error) {
	var buffer [1]byte
	return c.peekInto(buffer[:])
}

// peekInto is like peek, but copies as many bytes as the buffer holds and returns their number.
func (c *clientConn) peekInto(buffer []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
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
