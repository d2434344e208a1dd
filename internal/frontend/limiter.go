package frontend

import (
	"net"
	"net/http"
	"sync"
	"time"

	"springfield/internal/counters"
)

const (
	// reserveDivisor sets the share of the connections, one in reserveDivisor, that is reserved for new connections.
	// They are accepted from the reserve while evicted connections are still being closed.
	reserveDivisor = 9

	// A connection is evicted only after it has been in its state for a minimum time.
	minNewAge  = 100 * time.Millisecond // in stateNew
	minHeadAge = time.Second            // in stateReadingHead
	minIdleAge = 2 * time.Second        // in stateIdle
)

// connectionLimiter keeps the connections of clients within their share of the file descriptors. When the limit is
// exceeded, it evicts a connection that has not sent a complete request or is idle, so that such connections do not
// block new clients.
//
// A connection is evicted, or closed in a drain, only if no request on it has been read. The connection states of
// net/http change too late for this decision, only once the complete head has been read. If a connection were closed
// while its request runs, the client would lose the response, and its retry would be a second copy of the request. The
// limiter therefore does not close connections itself. It interrupts the goroutine that reads the connection, and that
// goroutine closes it unless it has read something or bytes have arrived meanwhile.
type connectionLimiter struct {
	limit     int
	reserve   int                    // number of connections beyond limit that may be open for a short time
	hasUnread func(*clientConn) bool // (*clientConn).hasUnread, or a wrapper in tests

	mu      sync.Mutex
	conns   map[*clientConn]struct{} // all open connections
	closing int                      // number of connections in stateClosing
}

// newConnectionLimiter returns a limiter for maxConnections connections, including the reserve.
func newConnectionLimiter(maxConnections int) *connectionLimiter {
	reserve := maxConnections / reserveDivisor
	return &connectionLimiter{
		limit:     maxConnections - reserve,
		reserve:   reserve,
		hasUnread: (*clientConn).hasUnread,
		conns:     map[*clientConn]struct{}{},
	}
}

// add registers a connection that was just accepted.
func (l *connectionLimiter) add(conn *net.TCPConn) *clientConn {
	now := time.Now()
	c := &clientConn{TCPConn: conn, limiter: l, acceptedAt: now, stateSince: now, closeEvent: counters.CloseByTimeout}
	counters.Count(counters.ConnectionAccepted, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

// remove removes a connection that is being closed. It returns false if the connection had been removed before.
func (l *connectionLimiter) remove(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasOpen := c.state != stateClosed
	l.removeLocked(c)
	return wasOpen
}

// removeLocked removes a connection that is being closed. The caller holds l.mu.
func (l *connectionLimiter) removeLocked(c *clientConn) {
	if c.state == stateClosing {
		l.closing--
	}
	c.state = stateClosed
	delete(l.conns, c)
}

// excess returns the number of connections beyond the limit, not counting those in stateClosing. It is negative below
// the limit.
func (l *connectionLimiter) excess() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) - l.closing - l.limit
}

// excessWithClosing returns the number of connections beyond the limit, counting those in stateClosing, and the number
// of the latter.
func (l *connectionLimiter) excessWithClosing() (excess, closing int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) - l.limit, l.closing
}

// active returns the number of connections on which a request has begun and has not been answered yet.
func (l *connectionLimiter) active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c := range l.conns {
		if c.state == stateReadingHead || c.state == stateActive {
			count++
		}
	}
	return count
}

// readAhead returns the number of bytes in the read-ahead buffers of all connections.
func (l *connectionLimiter) readAhead() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for c := range l.conns {
		sum += int(c.readAheadLength.Load())
	}
	return sum
}

// recordRead records that bytes of a request have been read, and whether its head is complete. A connection in
// stateClosing stays open. requestBegan is true if the bytes are the first of a further request. ok is false if the
// connection is closed already.
func (l *connectionLimiter) recordRead(c *clientConn, headComplete bool) (requestBegan, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelClose(c)
	switch {
	case c.state == stateClosed:
		return false, false
	case c.state == stateIdle:
		c.state = stateActive
		return true, true
	case headComplete:
		c.state = stateActive
	case c.state == stateNew:
		c.state = stateReadingHead
	}
	return false, true
}

// beginClose marks a connection as closing and interrupts its reader, which closes it. The caller holds l.mu.
func (l *connectionLimiter) beginClose(c *clientConn, reason counters.Event) {
	c.state, c.stateBeforeClose, c.closeReason = stateClosing, c.state, reason
	l.closing++
	_ = c.TCPConn.SetReadDeadline(pastDeadline) // fails only on a closed connection, on which reads fail as well
}

// cancelClose restores a connection in stateClosing to its state before. The caller holds l.mu.
func (l *connectionLimiter) cancelClose(c *clientConn) {
	if c.state != stateClosing {
		return
	}
	c.state, c.stateSince = c.stateBeforeClose, time.Now()
	l.closing--
	_ = c.TCPConn.SetReadDeadline(c.readDeadline) // fails only on a closed connection
}

// finishClose is called by the goroutine of a connection when a deadline has interrupted its read. interrupted reports
// whether the limiter caused that in order to close the connection. closed reports whether finishClose has closed it,
// which it does unless bytes have arrived meanwhile.
func (l *connectionLimiter) finishClose(c *clientConn) (closed, interrupted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state != stateClosing {
		return false, false
	}
	if l.hasUnread(c) {
		l.cancelClose(c)
		return false, true
	}
	l.removeLocked(c)
	_ = c.TCPConn.Close() // frees the descriptor even if it returns an error
	counters.Count(c.closeReason, "")
	return true, true
}

// setReadDeadline sets the read deadline of a connection. In stateClosing it only stores the deadline, which
// cancelClose applies.
func (l *connectionLimiter) setReadDeadline(c *clientConn, deadline time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.readDeadline = deadline
	if c.state == stateClosing {
		return nil
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// beginRequest marks a connection as active. It returns false if the connection is closed already.
func (l *connectionLimiter) beginRequest(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == stateClosed {
		return false
	}
	c.state = stateActive
	return true
}

// trackState is the ConnState hook of http.Server. It marks connections as idle.
func trackState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*clientConn); ok && state == http.StateIdle {
		c.beginIdle()
	}
}

// beginIdle marks an active connection as idle.
func (l *connectionLimiter) beginIdle(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == stateActive {
		c.state, c.stateSince = stateIdle, time.Now()
	}
}

// evict begins to close one connection: the oldest one that has not sent a complete head yet, or else the one that has
// been idle for longest. It returns false if there is no such connection.
func (l *connectionLimiter) evict(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	incomplete, idle := l.evictionCandidates(now)
	for _, c := range [...]*clientConn{incomplete, idle} {
		if c == nil {
			continue
		}
		if l.hasUnread(c) { // the unread bytes may be a request
			c.stateSince = now
			continue
		}
		l.beginClose(c, counters.CloseEvicted)
		return true
	}
	return false
}

// evictionCandidates returns the oldest connection without a complete head and the connection that has been idle for
// longest. Either is nil if there is none. The caller holds l.mu.
func (l *connectionLimiter) evictionCandidates(now time.Time) (incomplete, idle *clientConn) {
	for c := range l.conns {
		age := now.Sub(c.stateSince)
		switch {
		case c.state == stateNew && age >= minNewAge, c.state == stateReadingHead && age >= minHeadAge:
			incomplete = older(incomplete, c)
		case c.state == stateIdle && age >= minIdleAge:
			idle = older(idle, c)
		}
	}
	return incomplete, idle
}

// older returns the connection that has been in its state for longer. a may be nil, b may not.
func older(a, b *clientConn) *clientConn {
	if a == nil || b.stateSince.Before(a.stateSince) {
		return b
	}
	return a
}

// continueDrain begins to close the connections on which no request has begun, and with force also those whose head is
// not complete, because such a request has not been accepted yet. It reports whether no connection is left.
func (l *connectionLimiter) continueDrain(now time.Time, force bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		var closable bool
		switch c.state {
		case stateIdle:
			closable = true
		case stateNew:
			closable = force || now.Sub(c.stateSince) >= minNewAge
		case stateReadingHead:
			closable = force
		}
		if closable && !l.hasUnread(c) {
			l.beginClose(c, counters.CloseDrained)
		}
	}
	return len(l.conns) == 0
}
