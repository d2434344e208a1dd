package frontend

import (
	"net"
	"net/http"
	"sync"
	"time"

	"springfield/internal/counters"
)

const (
	// reserveDivisor gives the part of the connections that is reserved for new ones, which are accepted while another
	// one still makes room.
	reserveDivisor = 9

	// Connections are not evicted before they have been in their state for so long.
	minNewAge  = 100 * time.Millisecond // nothing has been read
	minHeadAge = time.Second            // part of a head has been read
	minIdleAge = 2 * time.Second        // between two requests
)

// connectionLimiter keeps the clients' connections inside their share of the file descriptors: beyond it a new
// connection takes the place of one that does the least, so that silent connections keep nobody waiting.
//
// A connection is evicted, or closed in a drain, only while it is certain that no request on it has been read. The
// connection states of net/http come too late for that: they change once the complete head has been read. A request
// that goes on while its connection is being closed is lost to its client, and the client's retry would be a second
// copy. The limiter therefore closes no connection itself: it interrupts the goroutine that reads it, and that closes
// it unless it has read something or bytes have come meanwhile.
type connectionLimiter struct {
	limit     int
	reserve   int                    // how many more may be open for a moment
	hasUnread func(*clientConn) bool // (*clientConn).hasUnread; tests wrap it

	mu      sync.Mutex
	conns   map[*clientConn]struct{} // all that are open
	closing int                      // those of them that are closing
}

// newConnectionLimiter returns a limiter for a number of connections, the reserve included.
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
	c := &clientConn{TCPConn: conn, limiter: l, acceptedAt: now, since: now, ending: counters.CloseByTimeout}
	counters.Count(counters.ConnectionAccepted, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

// remove forgets a connection that is being closed. It reports false if the limiter had it closed.
func (l *connectionLimiter) remove(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := c.state != stateEvicted
	l.removeLocked(c)
	return present
}

// removeLocked forgets a connection that is being closed. l.mu is held.
func (l *connectionLimiter) removeLocked(c *clientConn) {
	if c.state == stateClosing {
		l.closing--
	}
	c.state = stateEvicted
	delete(l.conns, c)
}

// excess returns by how many connections the limit is exceeded, without those that are closing. It is negative below
// the limit.
func (l *connectionLimiter) excess() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) - l.closing - l.limit
}

// openBeyondLimit returns by how many connections the limit is exceeded, with those that are closing, and how many
// these are.
func (l *connectionLimiter) openBeyondLimit() (beyond, closing int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) - l.limit, l.closing
}

// active returns the number of connections on which a request has begun and is not answered yet.
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

// readAhead returns how many bytes have been read behind open requests, over all connections.
func (l *connectionLimiter) readAhead() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for c := range l.conns {
		sum += int(c.readAheadLength.Load())
	}
	return sum
}

// recordRead records that bytes of a request have been read, and whether its head is complete. It reports whether they
// are the first of a further request, and false for ok if the connection has been evicted. One that was closing is
// kept.
func (l *connectionLimiter) recordRead(c *clientConn, headComplete bool) (began, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resume(c)
	switch {
	case c.state == stateEvicted:
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

// interrupt begins to close a connection. l.mu is held.
func (l *connectionLimiter) interrupt(c *clientConn, reason counters.Event) {
	c.state, c.resumeState, c.closeReason = stateClosing, c.state, reason
	l.closing++
	_ = c.TCPConn.SetReadDeadline(past) // fails only on a closed connection, on which reads end by themselves
}

// resume keeps a connection that was closing. l.mu is held.
func (l *connectionLimiter) resume(c *clientConn) {
	if c.state != stateClosing {
		return
	}
	c.state, c.since = c.resumeState, time.Now()
	l.closing--
	_ = c.TCPConn.SetReadDeadline(c.readDeadline) // as in interrupt
}

// resolveClose is called by the goroutine of a connection whose read a deadline has ended. It reports whether the
// limiter has interrupted it, and whether the connection is closed for that: it is kept if bytes have come.
func (l *connectionLimiter) resolveClose(c *clientConn) (closed, interrupted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state != stateClosing {
		return false, false
	}
	if l.hasUnread(c) {
		l.resume(c)
		return false, true
	}
	l.removeLocked(c)
	_ = c.TCPConn.Close() // the descriptor is freed even if it fails
	counters.Count(c.closeReason, "")
	return true, true
}

// setReadDeadline sets a connection's time limit for reads. While the connection is closing it is only noted.
func (l *connectionLimiter) setReadDeadline(c *clientConn, deadline time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.readDeadline = deadline
	if c.state == stateClosing {
		return nil
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

func (l *connectionLimiter) claim(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == stateEvicted {
		return false
	}
	c.state = stateActive
	return true
}

// trackState is the http.Server's ConnState hook.
func trackState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*clientConn); ok && state == http.StateIdle {
		c.beginIdle()
	}
}

func (l *connectionLimiter) beginIdle(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == stateActive {
		c.state, c.since = stateIdle, time.Now()
	}
}

// evict begins to close one connection: the oldest that has not sent a complete head yet, or else the one that has been
// idle for longest. It reports whether there was one.
func (l *connectionLimiter) evict(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	incomplete, idle := l.evictionCandidates(now)
	for _, c := range [...]*clientConn{incomplete, idle} {
		if c == nil {
			continue
		}
		if l.hasUnread(c) { // perhaps a request
			c.since = now
			continue
		}
		l.interrupt(c, counters.CloseEvicted)
		return true
	}
	return false
}

// evictionCandidates returns the oldest connection without a complete head and the one that has been idle for longest,
// or nil where there is none. l.mu is held.
func (l *connectionLimiter) evictionCandidates(now time.Time) (incomplete, idle *clientConn) {
	for c := range l.conns {
		age := now.Sub(c.since)
		switch {
		case c.state == stateNew && age >= minNewAge, c.state == stateReadingHead && age >= minHeadAge:
			incomplete = older(incomplete, c)
		case c.state == stateIdle && age >= minIdleAge:
			idle = older(idle, c)
		}
	}
	return incomplete, idle
}

// older returns the connection that has been in its state for longer. a may be nil.
func older(a, b *clientConn) *clientConn {
	if a == nil || b.since.Before(a.since) {
		return b
	}
	return a
}

// drained closes connections in a drain. It reports whether none is left. With force those go as well on which a
// request is incomplete: it is not accepted before its last byte.
func (l *connectionLimiter) drained(now time.Time, force bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		var unused bool
		switch c.state {
		case stateIdle:
			unused = true
		case stateNew:
			unused = force || now.Sub(c.since) >= minNewAge
		case stateReadingHead:
			unused = force
		}
		if unused && !l.hasUnread(c) {
			l.interrupt(c, counters.CloseDrained)
		}
	}
	return len(l.conns) == 0
}
