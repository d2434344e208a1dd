package frontend

import (
	"net"
	"net/http"
	"sync"
	"time"
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
// copy.
type connectionLimiter struct {
	limit     int
	reserve   int                    // how many more may be open for a moment
	hasUnread func(*clientConn) bool // (*clientConn).hasUnread; tests wrap it

	mu    sync.Mutex
	conns map[*clientConn]struct{} // all that are open
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
	c := &clientConn{TCPConn: conn, limiter: l, acceptedAt: now, since: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

func (l *connectionLimiter) remove(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// excess returns by how many connections the limit is exceeded. It is negative below the limit.
func (l *connectionLimiter) excess() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) - l.limit
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

// recordRead records that bytes of a request have been read. It reports whether they are the first of a further
// request, and false for ok if the connection has been evicted.
func (l *connectionLimiter) recordRead(c *clientConn) (began, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c.state {
	case stateNew:
		c.state = stateReadingHead
	case stateIdle:
		c.state = stateActive
		return true, true
	case stateEvicted:
		return false, false
	}
	return false, true
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

// evict closes one connection: the oldest that has not sent a complete head yet, or else the one that has been idle
// for longest. It reports whether there was one.
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
		l.closeLocked(c)
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

// closeLocked closes a connection on which no request has been read. l.mu is held.
func (l *connectionLimiter) closeLocked(c *clientConn) {
	c.state = stateEvicted
	delete(l.conns, c)
	_ = c.TCPConn.Close() // the descriptor is freed even if it fails
}

// drained closes connections in a drain. It reports whether none is left or, with force, none with a request; a
// connection that is left then takes no request.
func (l *connectionLimiter) drained(now time.Time, force bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeUnused(now)
	if !force {
		return len(l.conns) == 0
	}
	for c := range l.conns {
		if c.state == stateActive {
			return false
		}
	}
	for c := range l.conns {
		l.closeLocked(c)
	}
	return true
}

// closeUnused closes the connections that are idle or have sent nothing. l.mu is held.
func (l *connectionLimiter) closeUnused(now time.Time) {
	for c := range l.conns {
		unused := c.state == stateIdle || c.state == stateNew && now.Sub(c.since) >= minNewAge
		if unused && !l.hasUnread(c) {
			l.closeLocked(c)
		}
	}
}
