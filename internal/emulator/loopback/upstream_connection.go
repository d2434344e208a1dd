package loopback

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	maxBodyBytes         = 64 << 10
	requestReadTimeout   = 10 * time.Second // limit for reading a request after its first byte
	responseWriteTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
)

// upstreamConnection is a connection of a gateway to an endpoint. Its goroutine reads requests and detects that the
// gateway closes the connection to give an attempt up. Each response is written by a separate goroutine, which the
// scheduler starts when the response is due.
type upstreamConnection struct {
	endpoint        *endpoint
	conn            net.Conn
	processListener net.Listener // listener that accepted the connection; it identifies the endpoint's process

	// The fields below are accessed only in the scheduler.

	admitted        bool     // the connection has a place in the endpoint's connection table
	used            bool     // a request has arrived on the connection
	gateway         int      // gateway that sent the latest request on the connection
	lostByPartition bool     // a partition has lost a request or a response on the connection
	resetLocally    bool     // the endpoint's machine has reset the connection
	current         *attempt // attempt in flight, or nil
}

// receivedRequest is a complete request as read from a connection.
type receivedRequest struct {
	head      *http.Request
	body      string
	arrivedAt time.Duration // Unix time at which the machine received its last byte
}

// serve handles requests until the connection ends.
func (c *upstreamConnection) serve() {
	defer c.release()
	reader := bufio.NewReader(c.conn)
	answered := make(chan struct{})
	close(answered)
	c.setReadDeadline(c.idleTimeout())
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		select {
		case <-answered: // the previous request has been answered, and the connection stays open
		case <-c.endpoint.world.ctx.Done():
			return
		}
		c.setReadDeadline(requestReadTimeout)
		received, err := readRequest(reader)
		if err != nil {
			return
		}
		_ = c.conn.SetReadDeadline(time.Time{}) // after an error the connection is closed, and the next read fails too
		answered = make(chan struct{})
		received.arrivedAt = lastArrival(c.conn)
		c.endpoint.world.scheduler.Do(func() { c.handleRequest(received, answered) })
	}
}

func readRequest(reader *bufio.Reader) (receivedRequest, error) {
	head, err := http.ReadRequest(reader)
	if err != nil {
		return receivedRequest{}, err
	}
	body, err := io.ReadAll(io.LimitReader(head.Body, maxBodyBytes+1))
	return receivedRequest{head: head, body: string(body)}, err
}

// handleRequest handles a request that has been read. It runs in the scheduler. The answered channel is closed once the
// response has been written and the connection stays open.
func (c *upstreamConnection) handleRequest(received receivedRequest, answered chan<- struct{}) {
	world := c.endpoint.world
	if c.resetLocally {
		return // the connection was reset before the request was handled
	}
	firstRequest := !c.used
	c.used = true
	clientRequest, status := world.identifyRequest(received)
	if status != http.StatusOK {
		c.writeResponse(&response{status: status, closesConnection: true}, answered)
		return
	}
	c.gateway = clientRequest.arrival.Gateway
	if !world.reachable(c.gateway, c.endpoint) {
		c.lostByPartition = true // the partition loses the request, so there is no response
		return
	}
	c.current = world.beginAttempt(clientRequest, c, firstRequest, received)
	c.current.answered = answered
	if peerHasClosed(c.conn) { // the request was read late, and the gateway has given the attempt up meanwhile
		c.current.endByClose()
		return
	}
	delay := world.network.Delay()
	if firstRequest {
		delay += world.scenario.Endpoints.HandshakeDelay.AsDuration()
	}
	world.scheduler.After(delay, c.current.receive)
}

// writeResponse writes a response in a new goroutine. It closes answered if the connection stays open.
func (c *upstreamConnection) writeResponse(r *response, answered chan<- struct{}) {
	c.endpoint.world.goroutines.Go(func() {
		_ = c.conn.SetWriteDeadline(time.Now().Add(responseWriteTimeout)) // after an error the write fails too
		err := c.writeWithFault(r.encode(), r.fault)
		if err == nil && r.unsolicited != nil && c.endpoint.world.sleep(unsolicitedDelay) {
			_, err = c.conn.Write(r.unsolicited.encode())
		}
		if err != nil || r.closesConnection {
			_ = c.conn.Close() // the close ends the read in serve; the connection may be closed already
			return
		}
		c.setReadDeadline(c.idleTimeout())
		close(answered)
	})
}

// release ends the attempt in flight on the connection and frees the connection's place in the endpoint's table.
func (c *upstreamConnection) release() {
	c.endpoint.world.scheduler.Do(func() {
		if c.current != nil {
			c.current.endByClose()
		}
		if c.admitted && c.endpoint.listener == c.processListener {
			c.endpoint.server.Disconnect()
		}
		c.endpoint.connections = deleteItem(c.endpoint.connections, c)
	})
	_ = c.conn.Close() // the connection may be closed already
}

// closeWithReset ends the attempt in flight on the connection and then resets the connection.
func (c *upstreamConnection) closeWithReset() {
	c.resetLocally = true
	if c.current != nil {
		c.current.endByReset()
	}
	closeWithReset(c.conn)
}

func (c *upstreamConnection) idleTimeout() time.Duration {
	if idle := c.endpoint.world.scenario.Endpoints.IdleTimeout.AsDuration(); idle > 0 {
		return idle
	}
	return defaultIdleTimeout
}

func (c *upstreamConnection) setReadDeadline(timeout time.Duration) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout)) // after an error the connection is closed, and reads fail too
}
