package loopback

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"springfield/internal/tcpinfo"
)

// closeWithReset closes a connection with a TCP reset instead of an orderly close.
func closeWithReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // an error means that the connection is closed already
	}
	_ = conn.Close() // the connection may be closed already
}

// peerHasClosed reports whether the peer has closed or reset the connection and no unread bytes are left. It neither
// blocks nor consumes bytes.
func peerHasClosed(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err == nil && count == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return closed || err != nil
}

// kernelTick is the longest time between two ticks of the kernel's clock for connections.
const kernelTick = 10 * time.Millisecond

// lastArrival returns the Unix time at which the machine received the latest bytes on a connection, whether or not they
// have been read. On a busy machine, bytes may be read long after they have arrived. The result is never earlier than
// the arrival: an attempt that follows the end of another one must not seem to precede it.
func lastArrival(conn net.Conn) time.Duration {
	age, err := tcpinfo.SinceLastReceived(conn) // before the current time is determined, so that the result is not early
	if err != nil {
		age = 0 // the connection is closed, so the bytes are not used
	}
	return time.Duration(time.Now().UnixNano()) - max(0, age-kernelTick)
}

// sentRequest describes a request that was sent on a connection.
type sentRequest struct {
	conn   net.Conn
	length uint64 // bytes of the request
	before uint64 // bytes that the peer had acknowledged before the request
	known  bool   // before is valid
}

// beginSending returns the description of a request that is about to be sent. The peer has acknowledged all earlier
// bytes, because it has answered the requests before.
func beginSending(conn net.Conn, length int) sentRequest {
	before, err := tcpinfo.BytesAcknowledged(conn)
	return sentRequest{conn: conn, length: uint64(length), before: before, known: err == nil}
}

// readBeforeClose reports whether the peer's program certainly read the whole request before it closed the connection.
// readErr is the error of the read that found the connection closed. A peer that had not read all bytes would have
// reset the connection.
func (s sentRequest) readBeforeClose(readErr error) bool {
	if !s.known || !errors.Is(readErr, io.EOF) {
		return false
	}
	after, err := tcpinfo.BytesAcknowledged(s.conn)
	return err == nil && after-s.before >= s.length
}
