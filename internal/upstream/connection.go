package upstream

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// connection is one connection to an endpoint. One goroutine at a time uses it.
type connection struct {
	net.Conn
	socket    syscall.RawConn
	reader    *bufio.Reader
	allowance int    // number of bytes that the present response may still take
	head      []byte // the present response's head as it came, and perhaps a part of its body
	idleSince time.Time
}

func newConnection(conn net.Conn) (*connection, error) {
	withSocket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	socket, err := withSocket.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, socket: socket}
	c.reader = bufio.NewReader(c)
	return c, nil
}

// Read limits what a response may bring, because net/http reads heads of any length.
func (c *connection) Read(p []byte) (int, error) {
	if c.allowance <= 0 {
		return 0, errResponseTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.allowance)])
	c.allowance -= n
	if len(c.head) < MaxHeaderBytes {
		c.head = append(c.head, p[:n]...)
	}
	return n, err
}

// isStale reports whether the peer has closed an idle connection or has sent unsolicited bytes on it.
func (c *connection) isStale() bool {
	quiet := false
	err := c.socket.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || !quiet || c.reader.Buffered() > 0
}
