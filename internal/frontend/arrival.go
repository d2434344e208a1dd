package frontend

import (
	"syscall"
	"time"
	"unsafe"
)

// queueDelay returns for how long the first request of a connection has waited in the accept queue since its last byte
// arrived. It returns 0 for later requests, for connections that did not have to wait, and if the kernel does not tell.
// c may be nil.
func (c *clientConn) queueDelay() time.Duration {
	if c == nil || !c.delayed {
		return 0
	}
	c.delayed = false
	return c.sinceLastReceived()
}

// correctAcceptTime sets the time of accept back to when the client's bytes arrived, or when the connection was
// established if there are none, because time limits of the client count from then.
func (c *clientConn) correctAcceptTime() {
	if arrivedAt := time.Now().Add(-c.sinceLastReceived()); arrivedAt.Before(c.acceptedAt) {
		c.acceptedAt = arrivedAt
	}
}

// sinceLastReceived returns the time since the kernel received the latest data on the connection, or since the
// connection was established if there are none. It returns 0 if the kernel does not tell.
func (c *clientConn) sinceLastReceived() time.Duration {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var age time.Duration
	if err := raw.Control(func(fd uintptr) { age = lastReceivedAge(fd) }); err != nil {
		return 0
	}
	return age
}

// lastReceivedAge returns Last_data_recv of TCP_INFO. It returns 0 if the system call fails.
func lastReceivedAge(fd uintptr) time.Duration {
	var info syscall.TCPInfo
	size := uint32(unsafe.Sizeof(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 || uintptr(size) < unsafe.Offsetof(info.Last_data_recv)+unsafe.Sizeof(info.Last_data_recv) {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
