package frontend

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"springfield/internal/oserror"
)

const (
	// evictionPollInterval is how often a connection beyond the reserve looks for one that can be evicted.
	evictionPollInterval = 10 * time.Millisecond

	// closePollInterval is how often it looks whether one that is closing has gone.
	closePollInterval = time.Millisecond

	// backlogTimeout is how long a listener that stops waits for a connection: any that the machine has accepted is
	// returned at once.
	backlogTimeout = 5 * time.Millisecond

	// maxStopDelay bounds how long further connections can keep a listener from stopping.
	maxStopDelay = 100 * time.Millisecond
)

// past is a deadline that interrupts a call in progress.
var past = time.Unix(1, 0)

// limitedListener accepts connections as fast as the limiter makes room for them. It implements net.Listener.
type limitedListener struct {
	limiter  *connectionLimiter
	retry    acceptRetry // used by Accept alone
	stopping atomic.Bool
	stopBy   time.Time // set before stopping

	mu       sync.Mutex
	listener net.Listener // nil before attach
}

// attach sets the listener that Accept uses, also after stop.
func (l *limitedListener) attach(listener net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener
}

// stop makes Accept fail with net.ErrClosed once all connections that the machine has accepted are taken over.
func (l *limitedListener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopBy = time.Now().Add(maxStopDelay)
	l.stopping.Store(true)
	if l.listener != nil {
		l.interrupt()
	}
}

// deadlineSetter is a listener whose calls of Accept can be interrupted.
type deadlineSetter interface {
	SetDeadline(deadline time.Time) error
}

// interrupt ends a call of Accept that is in progress. l.mu is held.
func (l *limitedListener) interrupt() {
	if listener, ok := l.listener.(deadlineSetter); ok {
		_ = listener.SetDeadline(past) // fails only on a closed listener, on which Accept ends by itself
	} else {
		_ = l.listener.Close() // as above
	}
}

// Accept returns the next connection once there is room for it.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.acceptNext()
	if err != nil {
		return nil, err
	}
	c := l.limiter.add(conn.(*net.TCPConn))
	l.makeRoom()
	return c, nil
}

// makeRoom has a connection evicted for each beyond the limit, and waits while there are more than the reserve allows.
// Those that are closing count: their descriptors are not free yet.
func (l *limitedListener) makeRoom() {
	for {
		if l.limiter.excess() > 0 {
			l.limiter.evict(time.Now())
		}
		open, closing := l.limiter.openBeyondLimit()
		if open <= l.limiter.reserve {
			return
		}
		if closing > 0 {
			time.Sleep(closePollInterval)
		} else {
			time.Sleep(evictionPollInterval)
		}
	}
}

// acceptNext accepts a connection. While the listener stops it fails once none is waiting any more.
func (l *limitedListener) acceptNext() (net.Conn, error) {
	for {
		stopping := l.stopping.Load()
		if stopping && time.Now().After(l.stopBy) {
			return nil, net.ErrClosed
		}
		if listener, ok := l.listener.(deadlineSetter); ok && stopping {
			_ = listener.SetDeadline(time.Now().Add(backlogTimeout)) // fails only on a closed listener; so does Accept
		}
		conn, err := l.listener.Accept()
		switch {
		case err == nil:
			l.retry.succeeded()
			return conn, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			if stopping {
				return nil, net.ErrClosed
			}
		case acceptIsOver(err):
			return nil, err
		default:
			if oserror.IsShortage(err) {
				l.limiter.evict(time.Now())
			}
			l.retry.wait(err)
		}
	}
}

// Close closes the listener; connections stay open.
func (l *limitedListener) Close() error { return l.listener.Close() }

// Addr returns the listener's address.
func (l *limitedListener) Addr() net.Addr { return l.listener.Addr() }
