package loopback

import (
	"net"
	"syscall"
)

// reset closes a connection so that its peer gets a reset, not an end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection
	}
	_ = conn.Close() // it may be closed already
}

// peerHasClosed reports whether the peer has closed or reset the connection and nothing of it is left to be read. It
// does not block and reads nothing.
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
		var next [1]byte
		count, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err == nil && count == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return closed || err != nil
}
