package upstream

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// maxKeptHeadBytes is the size up to which an idle connection keeps the memory for the head of the next response.
const maxKeptHeadBytes = 1 << 10

// connection is one connection to an endpoint. Only one goroutine uses it at a time.
type connection struct {
	net.Conn
	socket         syscall.RawConn
	reader         *bufio.Reader
	remainingBytes int    // number of bytes that may still be read for the current response
	readingHead    bool   // what is read is appended to head
	head           []byte // text received since the request, at least up to the end of the final head
	headStart      int    // start of the final head in head, after the interim responses
	headEnd        int    // end of the final head in head
	idleSince      time.Time
}

func newConnection(conn net.Conn) (*connection, error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errNotSyscallConn
	}
	socket, err := syscallConn.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, socket: socket}
	c.reader = bufio.NewReader(c)
	return c, nil
}

// Read reads from the connection up to the limit of the current response. net/http itself does not limit the length of
// a head.
func (c *connection) Read(p []byte) (int, error) {
	if c.remainingBytes <= 0 {
		return 0, errResponseTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.remainingBytes)])
	c.remainingBytes -= n
	if c.readingHead {
		c.head = append(c.head, p[:n]...)
	}
	return n, err
}

// forgetHead releases the text of the response that was read, unless it is so short that the next one can use its
// memory.
func (c *connection) forgetHead() {
	c.head = c.head[:0]
	if cap(c.head) > maxKeptHeadBytes {
		c.head = nil
	}
}

// isStale reports whether the peer has closed the idle connection or has sent unsolicited bytes on it.
func (c *connection) isStale() bool {
	var buffer [1]byte
	_, err := c.peekSocket(buffer[:])
	return !errors.Is(err, syscall.EAGAIN) || c.reader.Buffered() > 0
}

// peekSocket copies bytes from the receive buffer without removing them, and does not wait. Its error is syscall.EAGAIN
// if there are none. At the end of the stream it returns 0 without an error.
func (c *connection) peekSocket(buffer []byte) (n int, err error) {
	controlErr := c.socket.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return max(0, n), err
}

// peekExcess returns bytes that have arrived behind the response that was read, or some of them. buffer is used for
// those that are still in the receive buffer.
func (c *connection) peekExcess(buffer []byte) []byte {
	if n := c.reader.Buffered(); n > 0 {
		excess, _ := c.reader.Peek(n) // does not fail, because the bytes are buffered
		return excess
	}
	n, _ := c.peekSocket(buffer) // an error shows when the connection is used again
	return buffer[:n]
}
