package upstream

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// connection is one connection to an endpoint. Only one goroutine uses it at a time.
type connection struct {
	net.Conn
	socket         syscall.RawConn
	reader         *bufio.Reader
	remainingBytes int    // number of bytes that may still be read for the current response
	head           []byte // text of the current response, at least up to the end of its head
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
	if len(c.head) < MaxHeaderBytes {
		c.head = append(c.head, p[:n]...)
	}
	return n, err
}

// isStale reports whether the peer has closed the idle connection or has sent unsolicited bytes on it.
func (c *connection) isStale() bool {
	isQuiet := false
	err := c.socket.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || !isQuiet || c.reader.Buffered() > 0
}
