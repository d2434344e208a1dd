// Package oserror classifies errors of system calls. It distinguishes failures of the local machine, such as a
// temporary shortage of resources, from failures of the peer or of the network path to it.
package oserror

import (
	"errors"
	"syscall"
)

// localErrors lists the errors of socket, connect, accept, read and write that the local machine alone causes.
var localErrors = [...]syscall.Errno{
	syscall.EMFILE,        // the process has no free file descriptor
	syscall.ENFILE,        // the machine has no free file descriptor
	syscall.ENOBUFS,       // there is no memory for buffers
	syscall.ENOMEM,        // there is no memory
	syscall.EADDRNOTAVAIL, // there is no free local port
	syscall.EADDRINUSE,    // there is no free local port for a bound address
	syscall.ENETDOWN,      // the network interface is down
	syscall.ENETUNREACH,   // there is no route
	syscall.EAGAIN,        // there is no free port or routing entry
	syscall.EINTR,         // a signal interrupted the call
	syscall.EACCES,        // a local rule forbids the call
	syscall.EPERM,         // a local rule forbids the call
}

// IsLocal reports whether the error is a failure of the local machine.
func IsLocal(err error) bool {
	for _, errno := range localErrors {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// IsShortage reports whether the error is a shortage of file descriptors or memory, which may be temporary.
func IsShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
