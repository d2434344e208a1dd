package frontend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxReadAhead bounds the bytes that are read ahead on a connection. The protocol's clients send one request at a
	// time. A few short requests fit, and as many bytes again wait in net/http's own buffer.
	maxReadAhead = 4 << 10

	readAheadChunk = 512
)

var errReadAheadFull = errors.New("too many bytes follow an open request")

// connectionState is what a connection is in the middle of, as far as its bytes have been read.
type connectionState uint8

const (
	stateNew         connectionState = iota // nothing has been read yet
	stateReadingHead                        // a part of the first head
	stateActive                             // a request, or a part of one that is not the first
	stateIdle                               // between two requests
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

	// The limiter's mutex guards these two.
	state connectionState
	since time.Time // when the connection was accepted or became idle, or when unread bytes were last seen on it

	readAhead       []byte       // read in the background and not passed on yet; owned by the reading goroutine
	readAheadLength atomic.Int32 // of readAhead, for other goroutines
}

// Read passes on the bytes that were read ahead before it reads the connection. Bytes that arrive while the connection
// is being evicted are not read.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		return 0, c.watch()
	}
	n := c.takeReadAhead(p)
	var err error
	if n == 0 {
		n, err = c.TCPConn.Read(p)
	}
	if n == 0 {
		return 0, err
	}
	if !c.limiter.recordRead(c) {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *clientConn) takeReadAhead(p []byte) int {
	n := copy(p, c.readAhead)
	if n > 0 {
		c.readAhead = append(c.readAhead[:0], c.readAhead[n:]...)
		c.readAheadLength.Store(int32(len(c.readAhead)))
	}
	return n
}

// watch reads ahead until net/http ends that with a deadline, the client disconnects, or it sends too much.
func (c *clientConn) watch() error {
	var chunk [readAheadChunk]byte
	for len(c.readAhead) <= maxReadAhead {
		n, err := c.TCPConn.Read(chunk[:])
		c.readAhead = append(c.readAhead, chunk[:n]...)
		c.readAheadLength.Store(int32(len(c.readAhead)))
		if err != nil {
			return err
		}
	}
	return errReadAheadFull
}

// Close closes the connection and makes room for another.
func (c *clientConn) Close() error {
	c.limiter.remove(c)
	return c.TCPConn.Close()
}

// claim is called when the head of a request is complete: from now on the connection is kept until the response. It
// reports false if the connection has been evicted.
func (c *clientConn) claim() bool { return c.limiter.claim(c) }

// closedByClient reports whether the client has closed the connection and sent nothing unread before that.
func (c *clientConn) closedByClient() bool {
	n, err := c.peek()
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
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
