package frontend

import (
	"net"
	"net/http"
	"sync"
	"time"

	"springfield/internal/counters"
	"springfield/internal/memory"
)

// reserveDivisor sets the share of the connections, one in reserveDivisor, that is reserved for new connections. They
// are accepted from the reserve while evicted connections are still being closed.
const reserveDivisor = 9

// connectionLimiter keeps the connections of clients within their share of the file descriptors. When the limit is
// exceeded, it evicts a connection that has not sent a complete request or is idle, so that such connections do not
// block new clients.
//
// A connection is evicted, or closed in a drain, only if no request on it has been read. The connection states of
// net/http change too late for this decision, only once the complete head has been read. If a connection were closed
// while its request runs, the client would lose the response, and its retry would be a second copy of the request. The
// limiter therefore does not close connections itself. It interrupts the goroutine that reads the connection, and that
// goroutine closes it unless it has read something or bytes have arrived meanwhile. If a part of a request has been
// read, it rejects the request before it closes the connection.
type connectionLimiter struct {
	limit     int
	reserve   int                    // number of connections beyond limit that may be open for a short time
	hasUnread func(*clientConn) bool // (*clientConn).hasUnread, or a wrapper in tests
	memory    *memory.Budget         // memory for large requests

	maxMemoryWait time.Duration // how long a request waits for the memory of its body

	mu      sync.Mutex
	conns   map[*clientConn]struct{} // all open connections
	closing int                      // number of connections in stateClosing and stateRejecting

	memoryWaiters     int  // number of requests that wait for memory
	evictingForMemory bool // evictForMemory is running
}

// newConnectionLimiter returns a limiter for maxConnections connections, including the reserve.
func newConnectionLimiter(maxConnections int) *connectionLimiter {
	reserve := maxConnections / reserveDivisor
	return &connectionLimiter{
		limit:     maxConnections - reserve,
		reserve:   reserve,
		hasUnread: (*clientConn).hasUnread,
		memory:    memory.Unlimited(),

		maxMemoryWait: defaultMaxMemoryWait,
		conns:         map[*clientConn]struct{}{},
	}
}

// add registers a connection that was just accepted. It is not evicted before begin, because no goroutine would close
// it.
func (l *connectionLimiter) add(conn *net.TCPConn) *clientConn {
	now := time.Now()
	c := &clientConn{TCPConn: conn, limiter: l, acceptedAt: now, stateSince: now, closeEvent: counters.CloseByTimeout}
	counters.Count(counters.ConnectionAccepted, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

// begin is called when a connection is passed on to the goroutine that serves it.
func (l *connectionLimiter) begin(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.state = stateNew
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
	if c.state == stateClosing || c.state == stateRejecting {
		l.closing--
	}
	c.state = stateClosed
	delete(l.conns, c)
}

// excess returns the number of connections beyond the limit, not counting those that are being closed. It is negative
// below the limit.
func (l *connectionLimiter) excess() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) - l.closing - l.limit
}

// excessWithClosing returns the number of connections beyond the limit, counting those that are being closed, and the
// number of the latter.
func (l *connectionLimiter) excessWithClosing() (excess, closing int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) - l.limit, l.closing
}

// isFull reports whether a connection was accepted although there was no room for it, and there still is none. conn may
// be nil.
func (l *connectionLimiter) isFull(conn *clientConn) bool {
	return conn != nil && conn.beyondReserve && l.excess() > l.reserve
}

// open returns the number of connections, including those that are being closed.
func (l *connectionLimiter) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// active returns the number of connections on which a request has begun and has not been answered yet.
func (l *connectionLimiter) active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c := range l.conns {
		switch c.state {
		case stateReadingHead, stateReadingBody, stateActive:
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

// recordRead records that bytes of a request have been read, and the part of the request that has been reached. A
// connection in stateClosing stays open. requestBegan is true if the bytes are the first of a further request. ok is
// false if the connection is closed already.
func (l *connectionLimiter) recordRead(c *clientConn, phase readPhase) (requestBegan, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelClose(c)
	switch c.state {
	case stateClosed:
		return false, false
	case stateRejecting:
		return false, true
	}
	requestBegan = c.state == stateIdle
	switch {
	case phase == phaseBody:
		c.state = stateReadingBody
		l.recordProgress(c)
	case phase != phaseHead:
		c.state = stateActive
	case requestBegan:
		c.state, c.headSince = stateReadingHead, time.Now()
		l.recordProgress(c)
	case c.state == stateNew, c.state == stateReadingHead:
		c.state = stateReadingHead
		l.recordProgress(c)
	}
	return requestBegan, true
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

// interruption says what the goroutine of a connection has to do after a deadline has interrupted its read.
type interruption uint8

const (
	interruptedByDeadline   interruption = iota // the deadline was set by net/http; the read has failed
	interruptionCancelled                       // bytes have arrived, so the connection stays open; read again
	interruptionClosed                          // the connection has been closed
	interruptionRejectsBody                     // reject the request whose body is incomplete, then close
)

// finishClose is called by the goroutine of a connection when a deadline has interrupted its read. If the limiter has
// caused that in order to close the connection, finishClose closes it unless bytes have arrived meanwhile or a request
// has to be rejected first.
func (l *connectionLimiter) finishClose(c *clientConn) interruption {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state != stateClosing {
		return interruptedByDeadline
	}
	if l.hasUnread(c) {
		l.cancelClose(c)
		return interruptionCancelled
	}
	if c.stateBeforeClose == stateReadingBody {
		c.state = stateRejecting
		return interruptionRejectsBody
	}
	if c.stateBeforeClose == stateReadingHead && c.closeReason == counters.CloseEvicted {
		c.writeNow(headRejection)
	}
	l.closeLocked(c, c.closeReason)
	return interruptionClosed
}

// closeLocked closes a connection and counts the reason. The caller holds l.mu.
func (l *connectionLimiter) closeLocked(c *clientConn, reason counters.Event) {
	l.removeLocked(c)
	_ = c.TCPConn.Close() // frees the descriptor even if it returns an error
	counters.Count(reason, "")
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

// beginRequest marks a connection as active, or as reading a body if its request has one. It returns false if the
// connection is closed already.
func (l *connectionLimiter) beginRequest(c *clientConn, hasBody bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.state == stateClosed:
		return false
	case hasBody:
		c.state = stateReadingBody
		l.recordProgress(c)
	default:
		c.state = stateActive
	}
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
