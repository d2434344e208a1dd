package frontend

import (
	"errors"
	"io"
	"sync"
	"syscall"
)

// hiddenCloseBytes is the number of unread bytes behind which the close of a connection may not be seen. It is half of
// the smallest receive window that Linux gives a connection by default.
const hiddenCloseBytes = 32 << 10

// peekBuffers holds buffers of type *[hiddenCloseBytes]byte.
var peekBuffers = sync.Pool{New: func() any { return new([hiddenCloseBytes]byte) }}

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
