package frontend

import (
	"syscall"
	"unsafe"
)

// Events of poll(2), which package syscall does not name.
const (
	pollError      = 0x8
	pollHangUp     = 0x10
	pollReadHangUp = 0x2000 // the peer has closed its sending side
)

// pollDescriptor is the struct pollfd of poll(2).
type pollDescriptor struct {
	fd       int32
	events   int16
	occurred int16
}

// hasHungUp reports whether the peer of a socket has closed the connection or its sending side, whatever waits to be
// read before that. Where the call fails it reports that it has not.
func hasHungUp(fd uintptr) bool {
	descriptor := pollDescriptor{fd: int32(fd), events: pollReadHangUp}
	var noWait syscall.Timespec
	n, _, errno := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&descriptor)), 1,
		uintptr(unsafe.Pointer(&noWait)), 0, 0, 0)
	return errno == 0 && n > 0 && descriptor.occurred&(pollReadHangUp|pollHangUp|pollError) != 0
}
