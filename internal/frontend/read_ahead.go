package frontend

const (
	// maxReadAhead is the number of bytes after which reading ahead on a connection stops while a request is open.
	// Clients of the protocol send one request at a time, and further bytes wait in the receive buffer of the socket.
	maxReadAhead = 4 << 10

	readAheadChunk = 512 // bytes
)

// takeReadAhead moves bytes of the current request from the read-ahead buffer to p and returns their number.
func (c *clientConn) takeReadAhead(p []byte) int {
	if len(c.readAhead) == 0 {
		return 0
	}
	n := c.advance(c.readAhead[:min(len(p), len(c.readAhead))])
	copy(p, c.readAhead[:n])
	rest := c.readAhead[n:]
	if len(rest) == 0 {
		c.readAhead = nil // an idle connection keeps no buffer
	} else {
		c.readAhead = append(c.readAhead[:0], rest...)
	}
	c.readAheadLength.Store(int32(len(rest)))
	return n
}

// storeReadAhead appends bytes to the read-ahead buffer.
func (c *clientConn) storeReadAhead(bytes []byte) {
	if len(bytes) == 0 {
		return
	}
	c.readAhead = append(c.readAhead, bytes...)
	c.readAheadLength.Store(int32(len(c.readAhead)))
}
