package loopback

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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

// lastArrival returns when the machine received the latest bytes on a connection, whether or not they have been read.
// On a busy machine, bytes may be read long after they have arrived. The result is never earlier than the arrival: an
// attempt that follows the end of another one must not seem to precede it.
func (w *World) lastArrival(conn net.Conn) time.Duration {
	age := lastDataAge(conn) // must be determined before the current time, so that the result is not too early
	return w.scheduler.Now() - max(0, age-kernelTick)
}

// lastDataAge returns how long ago the machine received the latest bytes on a connection, to within kernelTick. It
// returns 0 if that is unknown.
func lastDataAge(conn net.Conn) time.Duration {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var age time.Duration
	_ = raw.Control(func(fd uintptr) { // an error means that the connection is closed
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
