package frontend

import (
	"syscall"
	"unsafe"
)

// Events of poll(2) that package syscall does not define.
const (
	pollError      = 0x8    // POLLERR
	pollHangUp     = 0x10   // POLLHUP
	pollReadHangUp = 0x2000 // POLLRDHUP: the peer has closed its sending side
)

// pollDescriptor has the layout of struct pollfd of poll(2).
type pollDescriptor struct {
	fd      int32
	events  int16
	revents int16
}

// hasHungUp reports whether the peer of a socket has closed the connection or its sending side, even if unread bytes
// precede the end of the stream. It returns false if the system call fails.
func hasHungUp(fd uintptr) bool {
	descriptor := pollDescriptor{fd: int32(fd), events: pollReadHangUp}
	var noWait syscall.Timespec
	n, _, errno := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&descriptor)), 1,
		uintptr(unsafe.Pointer(&noWait)), 0, 0, 0)
	return errno == 0 && n > 0 && descriptor.revents&(pollReadHangUp|pollHangUp|pollError) != 0
}
