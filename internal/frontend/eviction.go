package frontend

import (
	"slices"
	"time"

	"springfield/internal/counters"
)

const (
	// A connection is evicted only after a minimum time without progress.
	minStallAge = 100 * time.Millisecond // while its request is incomplete, also if none has begun
	minIdleAge  = 2 * time.Second        // after a request

	// maxHeadTime is the time after the start of a head from which further bytes of it are no progress any more. The
	// first head of a connection starts with the accept.
	maxHeadTime = time.Second
)

// headRejection is the response to a request whose connection is evicted before its head is complete.
var headRejection = []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")

// evict begins to close one connection: the one that has waited for longest for the head of a request that has begun or
// for its first request, or else the one that has been idle for longest. It returns false if there is no such
// connection.
func (l *connectionLimiter) evict(now time.Time) bool {
	return l.evictFirst(now, func() *clientConn {
		if c := l.longestInState(now, minStallAge, stateNew, stateReadingHead); c != nil {
			return c
		}
		return l.longestInState(now, minIdleAge, stateIdle)
	})
}

// evictStalledBody begins to evict the connection that has waited for longest for the rest of a body, whose request is
// rejected. It returns false if there is no such connection.
func (l *connectionLimiter) evictStalledBody(now time.Time) bool {
	return l.evictFirst(now, func() *clientConn { return l.longestInState(now, minStallAge, stateReadingBody) })
}

// evictFirst begins to close the first connection from candidate that has no unread bytes, which may be a request. It
// returns false once candidate returns nil. It calls candidate with l.mu held.
func (l *connectionLimiter) evictFirst(now time.Time, candidate func() *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := candidate(); c != nil; c = candidate() {
		if !l.hasUnread(c) {
			l.beginClose(c, counters.CloseEvicted)
			return true
		}
		c.stateSince = now // it is no candidate any more
	}
	return false
}

// longestInState returns the connection that has been in one of the states for longest, or nil if none has been for the
// minimum time. The caller holds l.mu.
func (l *connectionLimiter) longestInState(now time.Time, minAge time.Duration, states ...connectionState) *clientConn {
	var longest *clientConn
	for c := range l.conns {
		if !slices.Contains(states, c.state) || now.Sub(c.stateSince) < minAge {
			continue
		}
		if longest == nil || c.stateSince.Before(longest.stateSince) {
			longest = c
		}
	}
	return longest
}

// recordProgress notes that bytes of an incomplete request have been read. A connection for which there was no room
// keeps others waiting, so that nothing counts as its progress. The caller holds l.mu.
func (l *connectionLimiter) recordProgress(c *clientConn) {
	now, headSince := time.Now(), c.headSince
	if headSince.IsZero() {
		headSince = c.acceptedAt
	}
	isLateHead := c.state == stateReadingHead && now.Sub(headSince) >= maxHeadTime
	if !c.beyondReserve && !isLateHead {
		c.stateSince = now
	}
}

// continueDrain begins to close the connections on which no request has begun, and with force also those whose request
// is not complete, because such a request has not been accepted yet. It reports whether no connection is left.
func (l *connectionLimiter) continueDrain(now time.Time, force bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		var closable bool
		switch c.state {
		case stateIdle:
			closable = true
		case stateNew:
			closable = force || now.Sub(c.stateSince) >= minStallAge
		case stateReadingHead, stateReadingBody:
			closable = force
		}
		if closable && !l.hasUnread(c) {
			l.beginClose(c, counters.CloseDrained)
		}
	}
	return len(l.conns) == 0
}
