package frontend

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"springfield/internal/counters"
	"springfield/internal/oserror"
)

const (
	// evictionPollInterval is the interval at which a new connection beyond the reserve tries to evict another one.
	evictionPollInterval = 10 * time.Millisecond

	// closePollInterval is the interval at which a new connection beyond the reserve checks whether a connection that
	// is being closed is gone.
	closePollInterval = time.Millisecond

	// backlogTimeout is how long a stopping listener waits for a connection. It can be short because accept returns
	// the connections in the accept queue of the operating system at once.
	backlogTimeout = 5 * time.Millisecond

	// defaultMaxFullTime leaves a rejection enough time to reach its client within 0.5 s after the deadline of the
	// request, however short that is.
	defaultMaxFullTime = 300 * time.Millisecond

	// maxQueueTime is how long after a delay a newly accepted connection may be one that has waited during the delay.
	maxQueueTime = 5 * time.Second

	// maxStopDelay limits how long new connections can delay the stop of a listener.
	maxStopDelay = 100 * time.Millisecond
)

// pastDeadline is a deadline that interrupts a call in progress.
var pastDeadline = time.Unix(1, 0)

// limitedListener is a net.Listener that accepts connections only as fast as the limiter makes room for them.
type limitedListener struct {
	limiter     *connectionLimiter
	maxFullTime time.Duration // how long new connections wait for room before their requests are rejected
	stopping    atomic.Bool

	// The following fields are used by Accept only.
	backoff     acceptBackoff
	fullSince   time.Time // time since when there has been no room for a new connection; zero if there is
	lastDelayAt time.Time // last time at which connections had to wait in the accept queue

	// The deadlines after which Accept accepts no more are set before stopping.
	stopDeadline    time.Time // while connections are accepted
	failureDeadline time.Time // while accept fails, or soon after a delay

	mu       sync.Mutex
	listener net.Listener // nil before attach
}

// newLimitedListener returns a listener that accepts connections only after attach.
func newLimitedListener(limiter *connectionLimiter) *limitedListener {
	return &limitedListener{limiter: limiter, maxFullTime: defaultMaxFullTime}
}

// attach sets the listener that Accept uses. It may be called after stop.
func (l *limitedListener) attach(listener net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener
}

// stop makes Accept fail with net.ErrClosed once the accept queue of the operating system is empty, after maxStopDelay
// at the latest. While accept fails or connections wait for room, this goes on until failureDeadline, because the queue
// may hold connections whose requests can still be answered.
func (l *limitedListener) stop(failureDeadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopDeadline = time.Now().Add(maxStopDelay)
	l.failureDeadline = failureDeadline
	l.stopping.Store(true)
	if l.listener != nil {
		l.interrupt()
	}
}

// deadlineSetter is implemented by listeners whose calls of Accept can be interrupted by a deadline.
type deadlineSetter interface {
	SetDeadline(deadline time.Time) error
}

// interrupt ends a call of Accept that is in progress. The caller holds l.mu.
func (l *limitedListener) interrupt() {
	if listener, ok := l.listener.(deadlineSetter); ok {
		_ = listener.SetDeadline(pastDeadline) // fails only on a closed listener, on which Accept fails as well
	} else {
		_ = l.listener.Close() // an error means that the listener is closed already
	}
}

// Accept accepts the next connection and returns it once there is room for it. If there has been none for maxFullTime,
// it returns the connection nevertheless, and the request on it is rejected. At most one connection beyond the reserve
// is open at a time.
func (l *limitedListener) Accept() (net.Conn, error) {
	if !l.fullSince.IsZero() {
		l.awaitRoom(false)
	}
	conn, err := l.acceptNext()
	if err != nil {
		return nil, err
	}
	c := l.limiter.add(conn.(*net.TCPConn))
	if time.Since(l.lastDelayAt) > l.maxFullTime {
		l.fullSince = time.Time{} // the shortage has ended, and there may be another one now
	}
	if l.awaitRoom(true) {
		l.fullSince = time.Time{}
	} else {
		c.beyondReserve = true
	}
	c.delayed = time.Since(l.lastDelayAt) <= maxQueueTime
	if c.delayed {
		c.correctAcceptTime()
	}
	l.limiter.begin(c)
	return c, nil
}

// awaitRoom evicts a connection for each one beyond the limit and waits while there are more than the reserve allows.
// Connections that are being closed count, because their descriptors are not free yet. With bounded it returns false
// once there has been no room for maxFullTime.
func (l *limitedListener) awaitRoom(bounded bool) bool {
	for {
		l.evictExcess()
		overLimit, closing := l.limiter.excessWithClosing()
		if overLimit <= l.limiter.reserve {
			return true
		}
		now := time.Now()
		l.lastDelayAt = now
		if l.fullSince.IsZero() {
			l.fullSince = now
			counters.Count(counters.AcceptDelayed, "")
		}
		if bounded && now.Sub(l.fullSince) >= l.maxFullTime {
			return false
		}
		if closing > 0 {
			time.Sleep(closePollInterval)
		} else {
			time.Sleep(evictionPollInterval)
		}
	}
}

// evictExcess begins to evict a connection without a complete request for each one beyond the limit.
func (l *limitedListener) evictExcess() {
	now := time.Now()
	for l.limiter.excess() > 0 {
		if !l.limiter.evict(now) && !l.limiter.evictStalledBody(now) {
			return
		}
	}
}

// acceptNext accepts a connection. After stop it fails once no connection is waiting any more.
func (l *limitedListener) acceptNext() (net.Conn, error) {
	for {
		stopping := l.stopping.Load()
		if stopping && l.stopOverdue() {
			return nil, net.ErrClosed
		}
		if listener, ok := l.listener.(deadlineSetter); ok && stopping {
			_ = listener.SetDeadline(time.Now().Add(backlogTimeout)) // fails only on a closed listener; so does Accept
		}
		conn, err := l.listener.Accept()
		switch {
		case err == nil:
			if l.backoff.failing() {
				l.lastDelayAt = time.Now()
			}
			l.backoff.reset()
			return conn, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			if stopping {
				return nil, net.ErrClosed
			}
		case isPermanentAcceptError(err):
			return nil, err
		default:
			if oserror.IsShortage(err) {
				l.limiter.evict(time.Now())
			}
			l.backoff.wait(err)
		}
	}
}

// stopOverdue reports whether a stopping listener must not accept any more. After a delay further connections may wait
// in the accept queue, so that it goes on for maxStopDelay, until failureDeadline at the latest.
func (l *limitedListener) stopOverdue() bool {
	now := time.Now()
	if l.backoff.failing() || now.Sub(l.lastDelayAt) <= maxStopDelay {
		return now.After(l.failureDeadline) && now.After(l.stopDeadline)
	}
	return now.After(l.stopDeadline)
}

// Close closes the listener. Connections stay open.
func (l *limitedListener) Close() error { return l.listener.Close() }

// Addr returns the listener's address.
func (l *limitedListener) Addr() net.Addr { return l.listener.Addr() }
