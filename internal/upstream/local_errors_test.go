package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"springfield/internal/testkit"
	"springfield/policy"
)

// localErrors are errors of socket and connect that tell of this machine and nothing of the endpoint.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.EAGAIN, syscall.EPERM, syscall.EACCES,
}

// remoteErrors tell of the endpoint, or of the way to it alone.
var remoteErrors = []syscall.Errno{
	syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.EPIPE,
}

// failingDial fails as connect(2) does.
func failingDial(errno syscall.Errno) Dialer {
	return func(_ context.Context, network, _ string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
	}
}

// A failure of this machine is not held against the endpoint.
func TestLocalErrorOfConnectIsNotTheEndpoints(t *testing.T) {
	status := func(errno syscall.Errno) policy.Status {
		endpoint := newTestEndpointWith(t, "127.0.0.1:1", Options{Dial: failingDial(errno)})
		return newTestAttempt(endpoint).Do(newTestRequest()).Status
	}
	for _, errno := range localErrors {
		if got := status(errno); got == policy.StatusConnectFailed {
			t.Errorf("%v is held against the endpoint", errno)
		}
	}
	for _, errno := range remoteErrors {
		if got := status(errno); got != policy.StatusConnectFailed {
			t.Errorf("%v gives status %v", errno, got)
		}
	}
}

// brokenWriter writes a part of a request and fails.
type brokenWriter struct {
	net.Conn
	errno syscall.Errno
}

func (c brokenWriter) Write(p []byte) (int, error) {
	return len(p) / 2, &net.OpError{Op: "write", Err: os.NewSyscallError("write", c.errno)}
}

// The same holds for a write that fails on this machine before the last byte.
func TestLocalErrorOfWriteIsNotTheEndpoints(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM} {
		endpoint := newTestEndpoint(t, testkit.NewServer(t, testkit.Silent).Address())
		connection := mustConnect(t, endpoint)
		connection.Conn = brokenWriter{connection.Conn, errno}
		endpoint.releaseIdle(connection)
		if got := newTestAttempt(endpoint).Do(newTestRequest()).Status; got == policy.StatusConnectFailed {
			t.Errorf("%v is held against the endpoint", errno)
		}
	}
}
