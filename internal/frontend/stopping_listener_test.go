package frontend

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// failingListener is a listener whose calls of Accept fail until a time. Its accept queue holds connections.
type failingListener struct {
	net.Listener // nil; only the methods below are called
	failUntil    time.Time
	queue        []net.Conn
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if time.Now().Before(l.failUntil) {
		return nil, os.NewSyscallError("accept", syscall.ENOBUFS)
	}
	if len(l.queue) == 0 {
		return nil, os.ErrDeadlineExceeded
	}
	conn := l.queue[0]
	l.queue = l.queue[1:]
	return conn, nil
}

// SetDeadline implements deadlineSetter.
func (l *failingListener) SetDeadline(time.Time) error { return nil }

// While accept fails, a stopping listener must try again until its deadline, and then accept all connections that have
// waited. It must not try for longer.
func TestStoppingListenerAcceptsAfterFailures(t *testing.T) {
	const failureTime = 10 * maxStopDelay
	for name, test := range map[string]struct {
		allowed  time.Duration // time until the deadline
		accepted int
	}{
		"in time":  {2 * failureTime, 2},
		"too long": {failureTime / 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				first, second := net.Pipe()
				inner := &failingListener{failUntil: start.Add(failureTime), queue: []net.Conn{first, second}}
				listener := &limitedListener{limiter: newConnectionLimiter(testLimit), listener: inner}
				listener.stop(start.Add(test.allowed))
				accepted := 0
				_, err := listener.acceptNext()
				for ; err == nil; _, err = listener.acceptNext() {
					accepted++
				}
				if accepted != test.accepted || !errors.Is(err, net.ErrClosed) {
					t.Errorf("accepted %d connections and then got error %v, want %d", accepted, err, test.accepted)
				}
				if elapsed := time.Since(start); elapsed > max(test.allowed, failureTime) {
					t.Errorf("the listener stopped after %v", elapsed)
				}
			})
		})
	}
}
