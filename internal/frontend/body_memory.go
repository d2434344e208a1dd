package frontend

import (
	"context"
	"time"

	"springfield/internal/counters"
)

const (
	// smallBodyBytes is the length up to which a body needs no reservation, because the memory of its connection covers
	// it.
	smallBodyBytes = 4 << 10

	// defaultMaxMemoryWait limits how long a request waits for the memory of its body.
	defaultMaxMemoryWait = 500 * time.Millisecond

	// memoryWaitDivisor sets the part of the time left to a request, one in memoryWaitDivisor, for which it may wait. A
	// rejection after that leaves the client the time for another try.
	memoryWaitDivisor = 4
)

// reserveBody reserves memory for the body of a connection's request, which waits unread in the socket meanwhile. While
// memory is short, requests that hold some and have stalled are evicted. It returns false if that did not help in time.
// c may be nil.
func (l *connectionLimiter) reserveBody(c *clientConn, bytes int, timeLeft time.Duration) bool {
	if c == nil || bytes <= smallBodyBytes {
		return true
	}
	if !l.memory.TryReserve(bytes) && !l.awaitMemory(bytes, min(l.maxMemoryWait, timeLeft/memoryWaitDivisor)) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.reservedBytes += bytes
	return true
}

// awaitMemory reserves memory once stalled requests have released enough. It returns false if that takes too long.
func (l *connectionLimiter) awaitMemory(bytes int, limit time.Duration) bool {
	counters.Count(counters.MemoryDelayed, "")
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	l.addMemoryWaiter(1)
	defer l.addMemoryWaiter(-1)
	return l.memory.Reserve(ctx, bytes) == nil
}

// addMemoryWaiter changes the number of requests that wait for memory. While there are any, a goroutine evicts stalled
// requests.
func (l *connectionLimiter) addMemoryWaiter(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memoryWaiters += change
	if change > 0 && !l.evictingForMemory {
		l.evictingForMemory = true
		go l.evictForMemory()
	}
}

// evictForMemory evicts the stalled requests that hold memory until no request waits for memory any more.
func (l *connectionLimiter) evictForMemory() {
	for l.evictMemoryHolders(time.Now()) {
		time.Sleep(evictionPollInterval)
	}
}

// evictMemoryHolders begins to evict each incomplete request that holds memory and has stalled. It returns false if no
// request waits for memory.
func (l *connectionLimiter) evictMemoryHolders(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.memoryWaiters == 0 {
		l.evictingForMemory = false
		return false
	}
	for c := range l.conns {
		if c.reservedBytes > 0 && c.isStalledRequest(now) && !l.hasUnread(c) {
			l.beginClose(c, counters.CloseEvicted)
		}
	}
	return true
}

// isStalledRequest reports whether a request has begun, is incomplete and has made no progress lately. The caller holds
// the limiter's lock.
func (c *clientConn) isStalledRequest(now time.Time) bool {
	isIncomplete := c.state == stateReadingHead || c.state == stateReadingBody
	return isIncomplete && now.Sub(c.stateSince) >= minStallAge
}

// releaseMemory releases the memory of a connection's request. c may be nil.
func (l *connectionLimiter) releaseMemory(c *clientConn) {
	if c == nil {
		return
	}
	l.mu.Lock()
	bytes := c.reservedBytes
	c.reservedBytes = 0
	l.mu.Unlock()
	if bytes > 0 {
		l.memory.Release(bytes)
	}
}
