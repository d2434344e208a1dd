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

// failingListener is a TCP listener whose calls of accept fail while errno is set.
type failingListener struct {
	*net.TCPListener
	errno    atomic.Uint64 // error of the following calls; 0 means that they succeed
	failures atomic.Int64  // number of failed calls
}

// Accept accepts a connection, or fails with errno as the net package reports it for accept(2).
func (l *failingListener) Accept() (net.Conn, error) {
	if errno := syscall.Errno(l.errno.Load()); errno != 0 {
		l.failures.Add(1)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", errno)}
	}
	return l.TCPListener.Accept()
}

// fail makes calls of accept fail from now on, and returns once some calls have failed.
func (l *failingListener) fail(t *testing.T, errno syscall.Errno) {
	t.Helper()
	const minFailures = 3
	before := l.failures.Load()
	l.errno.Store(uint64(errno))
	if conn, err := net.Dial("tcp", l.Addr().String()); err == nil { // completes the call in progress
		t.Cleanup(func() { _ = conn.Close() }) // nothing is sent on it
	}
	testkit.Eventually(t, "further calls of accept", func() bool { return l.failures.Load() >= before+minFailures })
}

// recover makes calls of accept succeed again.
func (l *failingListener) recover() { l.errno.Store(0) }

// startWithFailingListener starts a gateway with one endpoint on a failingListener that does not fail yet.
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

// A temporary error of accept must not end the gateway. Waiting connections must be accepted afterwards, and open
// requests must be answered, even in a drain in which accept fails to the end. http.Server stops serving on errors like
// the first six, which would end the process without a drain.
func TestGatewayRecoversFromTemporaryAcceptErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN,
		syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ETIMEDOUT, syscall.EPERM, syscall.EINTR,
	} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			g, listener := startWithFailingListener(t, options{})
			client := g.dial()
			request := longDeadlineRequest("pay", "incomplete")
			client.WriteText(request[:len(request)-1])
			testkit.Eventually(t, "an open request", func() bool { return g.server.ActiveConnections() == 1 })

			listener.fail(t, errno)
			listener.recover()
			if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
				t.Errorf("a new connection after the failures: got %+v", response)
			}
			listener.fail(t, errno)
			g.stop()
			client.WriteText(request[len(request)-1:])
			if response := client.ReadResponse(); response.Status != http.StatusOK {
				t.Errorf("the open request: got %+v", response)
			}
			g.wantShutdown()
		})
	}
}

// The time that a request has waited in the accept queue counts towards its deadline. A request whose time has passed
// there must not be sent to an endpoint.
func TestTimeInAcceptQueueCountsTowardsDeadline(t *testing.T) {
	const deadline = 100 * time.Millisecond
	g, listener := startWithFailingListener(t, options{})
	listener.fail(t, syscall.EMFILE)
	client := g.dial()
	client.WriteText(testkit.RequestHead(http.MethodGet, "lookup", "late", "0.1"))
	sentAt := time.Now()
	testkit.Eventually(t, "the end of the request's time", func() bool { return time.Since(sentAt) > 2*deadline })
	listener.recover()
	if response := client.ReadResponse(); response.Status != http.StatusServiceUnavailable {
		t.Errorf("got %+v, want a rejection", response)
	}
	if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
		t.Errorf("a request in time: got %+v", response)
	}
}

// An error after which the listener can never accept again must end the gateway with that error, but only after the
// open requests are answered.
func TestPermanentAcceptErrorDrainsGateway(t *testing.T) {
	g, listener := startWithFailingListener(t, options{drainDelay: time.Millisecond})
	client := g.dial()
	request := longDeadlineRequest("pay", "incomplete")
	client.WriteText(request[:len(request)-1])
	testkit.Eventually(t, "an open request", func() bool { return g.server.ActiveConnections() == 1 })
	listener.errno.Store(uint64(syscall.EBADF))
	g.dial() // completes the call of accept in progress
	testkit.Eventually(t, "the failure", func() bool { return listener.failures.Load() > 0 })
	client.WriteText(request[len(request)-1:])
	if response := client.ReadResponse(); response.Status != http.StatusOK {
		t.Errorf("the open request: got %+v", response)
	}
	if err := testkit.Receive(t, "the end of the gateway", g.ended); !errors.Is(err, syscall.EBADF) {
		t.Errorf("the gateway ended with %v", err)
	}
}
