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

// localErrors are errors of socket and connect that are caused by this machine and not by the endpoint.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.EAGAIN, syscall.EPERM, syscall.EACCES,
}

// remoteErrors are errors that are caused by the endpoint or by the network path to it.
var remoteErrors = []syscall.Errno{
	syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.EPIPE,
}

// newFailingDialer returns a dialer that fails as connect(2) does.
func newFailingDialer(errno syscall.Errno) Dialer {
	return func(_ context.Context, network, _ string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
	}
}

// A connect that fails because of this machine must not count as a failure of the endpoint.
func TestLocalConnectErrorIsNotAttributedToEndpoint(t *testing.T) {
	status := func(errno syscall.Errno) policy.Status {
		endpoint := newTestEndpointWith(t, "127.0.0.1:1", Options{Dial: newFailingDialer(errno)})
		return newTestAttempt(endpoint).Do(newTestRequest(), nil).Status
	}
	for _, errno := range localErrors {
		if got := status(errno); got == policy.StatusConnectFailed {
			t.Errorf("%v is attributed to the endpoint", errno)
		}
	}
	for _, errno := range remoteErrors {
		if got := status(errno); got != policy.StatusConnectFailed {
			t.Errorf("%v gives status %v, want StatusConnectFailed", errno, got)
		}
	}
}

// failingWriteConn writes half of the data and then fails.
type failingWriteConn struct {
	net.Conn
	errno syscall.Errno
}

func (c failingWriteConn) Write(p []byte) (int, error) {
	return len(p) / 2, &net.OpError{Op: "write", Err: os.NewSyscallError("write", c.errno)}
}

// A write that fails because of this machine before the last byte must not count as a failure of the endpoint.
func TestLocalWriteErrorIsNotAttributedToEndpoint(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM} {
		endpoint := newTestEndpoint(t, testkit.NewServer(t, testkit.Silent).Address())
		connection := mustConnect(t, endpoint)
		connection.Conn = failingWriteConn{connection.Conn, errno}
		endpoint.releaseIdle(connection)
		if got := newTestAttempt(endpoint).Do(newTestRequest(), nil).Status; got == policy.StatusConnectFailed {
			t.Errorf("%v is attributed to the endpoint", errno)
		}
	}
}
