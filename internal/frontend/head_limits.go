package frontend

import (
	"errors"
	"net"

	"springfield/internal/counters"
)

const (
	// maxHeadLines is the number of lines that a head may have. net/http allocates far more memory for a short field than
	// it has bytes, and limits only the latter.
	maxHeadLines = 100

	// smallHeadBytes is the length up to which a head needs no reservation, because the memory of its connection covers
	// it.
	smallHeadBytes = 4 << 10

	// largeHeadBytes is what is reserved for a longer head: its text, and the parsed path and fields.
	largeHeadBytes = 2 * maxHeaderBytes
)

// errTooManyLines is the error of reading a head with too many lines. net/http responds to it.
var errTooManyLines = errors.New("the head has too many lines")

// limitHead checks the part of a head that has been read before net/http parses it. Its error ends the connection.
func (c *clientConn) limitHead() error {
	switch {
	case c.boundary.phase != phaseHead && c.boundary.phase != phaseHeadComplete:
		return nil
	case c.boundary.headLines > maxHeadLines:
		return errTooManyLines
	case c.boundary.headLength > smallHeadBytes && !c.headReserved:
		c.headReserved = c.limiter.reserveHead(c)
		if !c.headReserved {
			return net.ErrClosed
		}
	}
	return nil
}

// reserveHead reserves memory for a large head, the rest of which waits unread meanwhile. If there is none in time, it
// rejects the request, closes the connection and returns false.
func (l *connectionLimiter) reserveHead(c *clientConn) bool {
	isReserved := l.memory.TryReserve(largeHeadBytes) || l.awaitMemory(largeHeadBytes, l.maxMemoryWait)
	l.mu.Lock()
	defer l.mu.Unlock()
	if isReserved {
		c.reservedBytes += largeHeadBytes
		return true
	}
	if c.state != stateClosed {
		counters.Count(counters.RequestWithoutMemory, "")
		c.writeNow(headRejection)
		l.closeLocked(c, counters.CloseEvicted)
	}
	return false
}
