// Package oserror tells whose fault an error of a system call is: that of this machine, which lacks something for a
// moment, or that of the peer and the way to it.
package oserror

import (
	"errors"
	"syscall"
)

// local are the errors of socket, connect, accept, read and write that tell of this machine alone.
var local = [...]syscall.Errno{
	syscall.EMFILE,        // no descriptor left in the process
	syscall.ENFILE,        // or in the machine
	syscall.ENOBUFS,       // no memory for buffers
	syscall.ENOMEM,        // no memory
	syscall.EADDRNOTAVAIL, // no local port left
	syscall.EADDRINUSE,    // the same, for a bound address
	syscall.ENETDOWN,      // the interface is down
	syscall.ENETUNREACH,   // no route
	syscall.EAGAIN,        // no free port or routing entry
	syscall.EINTR,         // a signal came first
	syscall.EACCES,        // a local rule forbids it
	syscall.EPERM,         // the same
}

// IsLocal reports whether the error is a failure of this machine.
func IsLocal(err error) bool {
	for _, errno := range local {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// IsShortage reports whether the error is a lack of descriptors or memory, which may pass.
func IsShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
