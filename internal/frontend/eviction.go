package frontend

import (
	"time"

	"springfield/internal/counters"
)

// A connection is evicted only after it has been in its state for a minimum time.
const (
	minNewAge  = 100 * time.Millisecond // in stateNew
	minHeadAge = time.Second            // in stateReadingHead
	minBodyAge = 200 * time.Millisecond // in stateReadingBody, without a further byte
	minIdleAge = 2 * time.Second        // in stateIdle
)

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
		case c.state == stateNew && age >= minNewAge, c.state == stateReadingHead && age >= c.minHeadAge():
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

// evictStalledBody begins to evict the connection that has waited for longest for the rest of a body, whose request is
// rejected. It returns false if there is no such connection.
func (l *connectionLimiter) evictStalledBody(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		var stalled *clientConn
		for c := range l.conns {
			if c.state == stateReadingBody && now.Sub(c.stateSince) >= minBodyAge {
				stalled = older(stalled, c)
			}
		}
		if stalled == nil {
			return false
		}
		if !l.hasUnread(stalled) {
			l.beginClose(stalled, counters.CloseEvicted)
			return true
		}
		stalled.stateSince = now // the unread bytes may complete the body
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
			closable = force || now.Sub(c.stateSince) >= minNewAge
		case stateReadingHead, stateReadingBody:
			closable = force
		}
		if closable && !l.hasUnread(c) {
			l.beginClose(c, counters.CloseDrained)
		}
	}
	return len(l.conns) == 0
}
