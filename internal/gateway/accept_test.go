package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"springfield/internal/testkit"
)

// failingListener is a TCP listener whose calls of accept fail with an error for as long as the test wants.
type failingListener struct {
	*net.TCPListener
	errno    atomic.Uint64 // of the calls to come; 0: they succeed
	failures atomic.Int64  // calls that have failed
}

// Accept accepts a connection or fails as accept(2) does.
func (l *failingListener) Accept() (net.Conn, error) {
	if errno := syscall.Errno(l.errno.Load()); errno != 0 {
		l.failures.Add(1)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", errno)}
	}
	return l.TCPListener.Accept()
}

// fail makes calls of accept fail from now on, and returns once some have failed.
func (l *failingListener) fail(t *testing.T, errno syscall.Errno) {
	t.Helper()
	const enough = 3
	before := l.failures.Load()
	l.errno.Store(uint64(errno))
	if conn, err := net.Dial("tcp", l.Addr().String()); err == nil { // ends the call that is in progress
		t.Cleanup(func() { _ = conn.Close() }) // nothing is sent on it
	}
	testkit.Eventually(t, "further calls of accept", func() bool { return l.failures.Load() >= before+enough })
}

// recover makes calls of accept succeed again.
func (l *failingListener) recover() { l.errno.Store(0) }

// startWithFailingListener runs a gateway with one endpoint on a listener that does not fail yet.
func startWithFailingListener(t *testing.T, opts options) (*testGateway, *failingListener) {
	t.Helper()
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	listener := &failingListener{TCPListener: tcp}
	cfg := testConfig(t, "127.0.0.1:1")
	cfg.Known = cachedList(okServer(t).Address())
	testkit.ExtendDeadlines(&cfg.Settings)
	return runGateway(t, cfg, listener, opts), listener
}

// Errors of accept pass: the connections that wait are accepted afterwards, and requests that are open are answered,
// also in a drain in which accept fails to the end. The first six of these once ended the process without a drain.
func TestErrorsOfAcceptPass(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN,
		syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ETIMEDOUT, syscall.EPERM, syscall.EINTR,
	} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			g, listener := startWithFailingListener(t, options{})
			open := g.dial()
			half := slowRequest("pay", "half")
			open.WriteText(half[:len(half)-1])
			testkit.Eventually(t, "an open request", func() bool { return g.server.ActiveConnections() == 1 })

			listener.fail(t, errno)
			listener.recover()
			if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
				t.Errorf("a connection afterwards: got %+v", response)
			}
			listener.fail(t, errno)
			g.stop()
			open.WriteText(half[len(half)-1:])
			if response := open.ReadResponse(); response.Status != http.StatusOK {
				t.Errorf("the request that was open: got %+v", response)
			}
			g.wantShutdown()
		})
	}
}

// An error after which the listener cannot accept any more ends the gateway, but not before the requests that are open
// are answered.
func TestLossOfListenerDrains(t *testing.T) {
	g, listener := startWithFailingListener(t, options{drainDelay: time.Millisecond})
	open := g.dial()
	half := slowRequest("pay", "half")
	open.WriteText(half[:len(half)-1])
	testkit.Eventually(t, "an open request", func() bool { return g.server.ActiveConnections() == 1 })
	listener.errno.Store(uint64(syscall.EBADF))
	g.dial() // ends the call of accept that is in progress
	testkit.Eventually(t, "the failure", func() bool { return listener.failures.Load() > 0 })
	open.WriteText(half[len(half)-1:])
	if response := open.ReadResponse(); response.Status != http.StatusOK {
		t.Errorf("the request that was open: got %+v", response)
	}
	if err := testkit.Receive(t, "the end of the gateway", g.ended); !errors.Is(err, syscall.EBADF) {
		t.Errorf("it ended with %v", err)
	}
}
