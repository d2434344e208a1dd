package loopback

import (
	"net"
	"syscall"
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
