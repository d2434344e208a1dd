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
	requestReadTimeout   = 10 * time.Second // for a request that has begun
	responseWriteTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
)

// upstreamConnection is a connection of a gateway to an endpoint. Its goroutine reads requests and notices its end, by
// which a gateway gives an attempt up; each answer is written by a goroutine that the scheduler starts once it is due.
type upstreamConnection struct {
	endpoint        *endpoint
	conn            net.Conn
	processListener net.Listener // of the endpoint's process that has accepted it

	// What follows belongs to the scheduler.

	admitted        bool     // it has a place in the endpoint's connection table
	used            bool     // a request has come on it
	gateway         int      // whose request that was
	lostByPartition bool     // something was lost on it because of a partition
	resetLocally    bool     // it has been reset from this side
	current         *attempt // nil: none is in flight
}

// receivedRequest is a complete request as it was read.
type receivedRequest struct {
	head *http.Request
	body string
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
		case <-answered: // the one before, on a connection that is kept
		case <-c.endpoint.world.ctx.Done():
			return
		}
		c.setReadDeadline(requestReadTimeout)
		received, err := readRequest(reader)
		if err != nil {
			return
		}
		_ = c.conn.SetReadDeadline(time.Time{}) // a read on a closed connection fails by itself
		answered = make(chan struct{})
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
		return // the reset has come before the request
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
		c.lostByPartition = true // nothing of it arrives, and nothing is answered
		return
	}
	c.current = world.beginAttempt(clientRequest, c, firstRequest)
	c.current.answered = answered
	c.current.deadline = world.scheduler.Now() + parseSeconds(received.head.Header.Get("Req-Deadline"))
	delay := world.network.Delay()
	if firstRequest {
		delay += world.scenario.Endpoints.HandshakeDelay.Of()
	}
	world.scheduler.After(delay, c.current.receive)
}

// writeResponse writes a response in a goroutine of its own.
func (c *upstreamConnection) writeResponse(r *response, answered chan<- struct{}) {
	c.endpoint.world.goroutines.Go(func() {
		_ = c.conn.SetWriteDeadline(time.Now().Add(responseWriteTimeout)) // a write on a closed connection fails by itself
		err := c.writeWithFault(r.encode(), r.fault)
		if err == nil && r.unsolicited != nil && c.endpoint.world.sleep(unsolicitedDelay) {
			_, err = c.conn.Write(r.unsolicited.encode())
		}
		if err != nil || r.closesConnection {
			_ = c.conn.Close() // which serve notices; it may be closed already
			return
		}
		c.setReadDeadline(c.idleTimeout())
		close(answered)
	})
}

// release ends the attempt that is in flight on the connection, and gives its place back.
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
	_ = c.conn.Close() // it may be closed already
}

// closeWithReset ends the connection with a reset, and the attempt on it before.
func (c *upstreamConnection) closeWithReset() {
	c.resetLocally = true
	if c.current != nil {
		c.current.endByReset()
	}
	closeWithReset(c.conn)
}

func (c *upstreamConnection) idleTimeout() time.Duration {
	if idle := c.endpoint.world.scenario.Endpoints.IdleTimeout.Of(); idle > 0 {
		return idle
	}
	return defaultIdleTimeout
}

func (c *upstreamConnection) setReadDeadline(timeout time.Duration) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout)) // a read on a closed connection fails by itself
}
