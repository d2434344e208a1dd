package loopback

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	maxBodyBytes = 64 << 10
	readTimeout  = 10 * time.Second // for a request that has begun
	writeTimeout = 5 * time.Second
	defaultIdle  = time.Minute
)

// upstreamConnection is a connection of a gateway to an endpoint. Its goroutine reads requests and notices its end, by
// which a gateway gives an attempt up; each answer is written by a goroutine that the scheduler starts once it is due.
type upstreamConnection struct {
	endpoint *endpoint
	conn     net.Conn
	process  net.Listener // of the endpoint's process that has accepted it

	// What follows belongs to the scheduler.

	admitted bool     // it has a place in the endpoint's connection table
	used     bool     // a request has come on it
	gateway  int      // whose request that was
	cutOff   bool     // something was lost on it because of a partition
	gone     bool     // it has been reset from this side
	current  *attempt // nil: none is in flight
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
		c.setReadDeadline(readTimeout)
		received, err := readRequest(reader)
		if err != nil {
			return
		}
		_ = c.conn.SetReadDeadline(time.Time{}) // a read on a closed connection fails by itself
		answered = make(chan struct{})
		c.endpoint.world.scheduler.Do(func() { c.begin(received, answered) })
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

// begin handles a request that has been read, in the scheduler. The channel is closed when it has been answered.
func (c *upstreamConnection) begin(received receivedRequest, answered chan<- struct{}) {
	world := c.endpoint.world
	if c.gone {
		return // the reset has come before the request
	}
	first := !c.used
	c.used = true
	sender, status := world.identify(received)
	if status != http.StatusOK {
		c.write(&response{status: status, closes: true}, answered)
		return
	}
	c.gateway = sender.arrival.Gateway
	if !world.reachable(c.gateway, c.endpoint) {
		c.cutOff = true // nothing of it arrives, and nothing is answered
		return
	}
	c.current = world.beginAttempt(sender, c, first)
	c.current.answered = answered
	c.current.giveUpAt = world.scheduler.Now() + parseSeconds(received.head.Header.Get("Req-Deadline"))
	delay := world.network.Delay()
	if first {
		delay += world.scenario.Endpoints.HandshakeDelay.AsDuration()
	}
	world.scheduler.After(delay, c.current.receive)
}

// write writes a response in a goroutine of its own.
func (c *upstreamConnection) write(r *response, answered chan<- struct{}) {
	c.endpoint.world.running.Go(func() {
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // a write on a closed connection fails by itself
		err := c.writeBytes(r.encode(), r.fault)
		if err == nil && r.stray != nil && c.endpoint.world.pause(strayDelay) {
			_, err = c.conn.Write(r.stray.encode())
		}
		if err != nil || r.closes {
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
			c.current.abandon()
		}
		if c.admitted && c.endpoint.listener == c.process {
			c.endpoint.server.Disconnect()
		}
		c.endpoint.connections = deleteItem(c.endpoint.connections, c)
	})
	_ = c.conn.Close() // it may be closed already
}

// reset ends the connection with a reset, and the attempt on it before.
func (c *upstreamConnection) reset() {
	c.gone = true
	if c.current != nil {
		c.current.lose()
	}
	reset(c.conn)
}

func (c *upstreamConnection) idleTimeout() time.Duration {
	if idle := c.endpoint.world.scenario.Endpoints.IdleTimeout.AsDuration(); idle > 0 {
		return idle
	}
	return defaultIdle
}

func (c *upstreamConnection) setReadDeadline(timeout time.Duration) {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout)) // a read on a closed connection fails by itself
}
