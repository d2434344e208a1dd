package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"springfield/internal/counters"
	"springfield/internal/invariant"
)

const (
	// maxReadAhead bounds the bytes that are read ahead on a connection while a request is open. The protocol's clients
	// send one request at a time, and what does not fit waits in the receive buffer.
	maxReadAhead = 4 << 10

	readAheadChunk = 512
)

// connectionState is what a connection is in the middle of, as far as its bytes have been read.
type connectionState uint8

const (
	stateNew         connectionState = iota // nothing has been read yet
	stateReadingHead                        // a part of the first head
	stateActive                             // a request whose head is complete, or a part of one that is not the first
	stateIdle                               // between two requests
	stateClosing                            // to be closed by its own goroutine unless that has read something
	stateEvicted                            // closed by the limiter
)

// clientConn is a client's connection.
//
// While a request is open, net/http reads a single byte in the background to see the client disconnect, and it reads
// through a larger buffer otherwise. It stops watching at the first byte, so a client that sends anything after its
// request could not be seen to disconnect: here the watch goes on and keeps what it reads.
type clientConn struct {
	*net.TCPConn
	limiter    *connectionLimiter
	acceptedAt time.Time

	// The limiter's mutex guards these.
	state        connectionState
	resumeState  connectionState // of a connection that is closing: its state before
	closeReason  counters.Event  // of a connection that is closing
	since        time.Time       // when the connection was accepted or became idle, or unread bytes were last seen on it
	readDeadline time.Time       // as it was set last, also while the connection is closing

	// The goroutine that serves the connection owns these, and its background reader while a request is open.
	boundary  requestBoundary
	headRead  bool      // the head of the present request is complete: a read of one byte is net/http's watch
	headBy    time.Time // when the head of a further request must be complete; zero: none has begun
	readAhead []byte    // read, and not passed on yet
	owed      string    // id of the request that has been read and not answered; "": there is none
	ending    counters.Event

	readAheadLength atomic.Int32 // of readAhead, for other goroutines
}

// Read passes on the bytes that were read ahead before it reads the connection, and none of the next request. Bytes
// that arrive while the connection is being evicted are not read.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.headRead {
		return 0, c.watch()
	}
	n := c.takeReadAhead(p)
	var err error
	if n == 0 {
		n, err = c.readSocket(p)
	}
	if n == 0 {
		return 0, err
	}
	began, ok := c.limiter.recordRead(c, c.headRead)
	if !ok {
		return 0, net.ErrClosed
	}
	if began {
		c.beginFurtherRequest()
	}
	return n, err
}

// advance returns how many of the bytes belong to the present request.
func (c *clientConn) advance(bytes []byte) int {
	n := c.boundary.advance(bytes)
	c.headRead = c.boundary.phase != phaseHead
	return n
}

// takeReadAhead passes on bytes of the present request that were read ahead.
func (c *clientConn) takeReadAhead(p []byte) int {
	if len(c.readAhead) == 0 {
		return 0
	}
	n := c.advance(c.readAhead[:min(len(p), len(c.readAhead))])
	copy(p, c.readAhead[:n])
	rest := c.readAhead[n:]
	if len(rest) == 0 {
		c.readAhead = nil // an idle connection holds no buffer
	} else {
		c.readAhead = append(c.readAhead[:0], rest...)
	}
	c.readAheadLength.Store(int32(len(rest)))
	return n
}

// readSocket reads the connection and keeps what belongs to the next request. If the limiter has interrupted it to
// close the connection, it is this goroutine that does so: it alone knows that it has read nothing.
func (c *clientConn) readSocket(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	for n <= 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		closed, interrupted := c.limiter.resolveClose(c)
		switch {
		case closed:
			return 0, net.ErrClosed
		case !interrupted:
			return 0, err
		}
		n, err = c.TCPConn.Read(p)
	}
	if n <= 0 {
		return 0, err
	}
	own := c.advance(p[:n])
	c.keep(p[own:n])
	return own, err
}

// keep appends bytes to those that were read ahead.
func (c *clientConn) keep(bytes []byte) {
	if len(bytes) == 0 {
		return
	}
	c.readAhead = append(c.readAhead, bytes...)
	c.readAheadLength.Store(int32(len(c.readAhead)))
}

// beginFurtherRequest limits the time for a head from its first byte on. net/http begins to count at the fourth, and
// leaves the time of an idle connection for the bytes before it.
func (c *clientConn) beginFurtherRequest() {
	c.headBy = time.Now().Add(headerTimeout)
	_ = c.limiter.setReadDeadline(c, c.headBy) // fails only on a closed connection, on which reads end by themselves
}

// SetReadDeadline sets the time limit for reads. While the head of a further request is read that is at most headBy: a
// deadline within headerTimeout is net/http's for the head, and a later one, or none, comes once the head is complete.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	if !c.headBy.IsZero() {
		if deadline.IsZero() || time.Until(deadline) > headerTimeout {
			c.headBy = time.Time{}
		} else if deadline.After(c.headBy) {
			deadline = c.headBy
		}
	}
	return c.limiter.setReadDeadline(c, deadline)
}

// watch reads ahead until net/http ends that with a deadline or the client disconnects. Past maxReadAhead it reads no
// more and goes on to watch.
func (c *clientConn) watch() error {
	var chunk [readAheadChunk]byte
	for len(c.readAhead) <= maxReadAhead {
		n, err := c.TCPConn.Read(chunk[:])
		c.keep(chunk[:n])
		if err != nil {
			return err
		}
	}
	return c.awaitDisconnect()
}

// awaitDisconnect waits until the client disconnects, without reading what it has sent, or until a deadline.
func (c *clientConn) awaitDisconnect() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	// The function is called again whenever the state of the socket changes.
	if err := raw.Read(hasHungUp); err != nil {
		return err
	}
	return io.EOF
}

// Close closes the connection and makes room for another. It is the guard that no request is left without its answer.
func (c *clientConn) Close() error {
	if c.owed != "" {
		invariant.Violated(invariant.Closing, c.owed, "its connection closes without an answer")
	}
	if c.limiter.remove(c) {
		counters.Count(c.ending, "")
	}
	return c.TCPConn.Close()
}

// owe notes that a request has been read.
func (c *clientConn) owe(id string) { c.owed = id }

// answered notes that the answer to the request has been handed to net/http.
func (c *clientConn) answered() { c.owed, c.ending = "", counters.CloseLast }

// abandon notes that the client has gone and gets no answer.
func (c *clientConn) abandon() { c.owed, c.ending = "", counters.CloseClientGone }

// claim is called when the head of a request is complete, with the length of its body, below zero if that is not known:
// from now on the connection is kept until the response. It reports false if the connection has been evicted.
func (c *clientConn) claim(bodyLength int64) bool {
	c.boundary.beginBody(bodyLength)
	return c.limiter.claim(c)
}

// beginIdle is called when a request has been answered and the connection is kept for another.
func (c *clientConn) beginIdle() {
	c.boundary.beginHead()
	c.headRead = false
	c.headBy = time.Time{}
	c.ending = counters.CloseByTimeout
	c.limiter.beginIdle(c)
}

// closedByClient reports whether the client has closed the connection, or its sending side, also behind bytes that have
// not been read.
func (c *clientConn) closedByClient() bool {
	n, err := c.peek()
	if n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET) {
		return true
	}
	if n == 0 {
		return false // nothing waits, and nothing can hide the end
	}
	closed := false
	raw, err := c.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { closed = hasHungUp(fd) })
	}
	return closed || err != nil
}

// hasUnread reports whether the client has sent bytes that net/http has not read. Closing the connection would reset
// it, and a request among the bytes would get no response.
func (c *clientConn) hasUnread() bool {
	if c.readAheadLength.Load() > 0 {
		return true
	}
	n, err := c.peek()
	return err == nil && n > 0
}

// peek looks for bytes in the receive buffer without removing them. It counts one byte at most; no byte and no error
// mean that the client has closed the connection.
func (c *clientConn) peek() (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// connectionOf returns the connection of a request, or nil if it did not come through a limitedListener.
func connectionOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(connectionKey{}).(*clientConn)
	return conn
}
