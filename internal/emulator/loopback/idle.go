package loopback

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"time"
)

// clientIdleTimeout is how long clients keep an idle connection.
const clientIdleTimeout = 30 * time.Second

// takeIdle removes and returns the kept connection that was used last or, with reuseOldest, the one that has been idle
// for longest. It returns nil if there is none. It drops connections that the gateway has closed.
func (g *gateway) takeIdle() *clientConnection {
	for len(g.idleConnections) > 0 {
		index := len(g.idleConnections) - 1
		if g.reuseOldest {
			index = 0
		}
		conn := g.idleConnections[index]
		g.idleConnections = slices.Delete(g.idleConnections, index, index+1)
		if !peerHasClosed(conn.Conn) {
			return conn
		}
		_ = conn.Close() // the connection is idle, so an error does not matter
	}
	return nil
}

// keepIdle keeps a connection for a later request. It reports false if the gateway's process or the world has ended.
func (w *World) keepIdle(g *gateway, conn *clientConnection) (kept bool) {
	w.scheduler.Do(func() {
		if !g.acceptsConnections() {
			return
		}
		g.closeExpiredIdle(w.scheduler.Now())
		conn.idleSince = w.scheduler.Now()
		g.idleConnections = append(g.idleConnections, conn)
		kept = true
	})
	return kept
}

// closeExpiredIdle closes the connections that have been idle for longer than clientIdleTimeout. They come first in
// idleConnections, which is sorted by the start of the idle time.
func (g *gateway) closeExpiredIdle(now time.Duration) {
	for len(g.idleConnections) > 0 && now-g.idleConnections[0].idleSince > clientIdleTimeout {
		_ = g.idleConnections[0].Close() // the connection is idle, so an error does not matter
		g.idleConnections = g.idleConnections[1:]
	}
}

// closeIdle closes all kept connections.
func (g *gateway) closeIdle() {
	for _, conn := range g.idleConnections {
		_ = conn.Close() // the connection is idle, so an error does not matter
	}
	g.idleConnections = nil
}

// KeepConnection opens a connection to a gateway for later requests of the emulated clients and makes a first request
// on it. From then on, the clients of the gateway use the connection that has been idle for longest, which the gateway
// would evict next.
func (w *World) KeepConnection(index int) error {
	g := w.gateways[index]
	dialer := net.Dialer{Timeout: clientDialTimeout}
	dialed, err := dialer.DialContext(w.ctx, "tcp4", g.address)
	if err != nil {
		return err
	}
	conn := &clientConnection{Conn: dialed, reader: bufio.NewReader(dialed), used: true}
	if err := conn.checkHealth(); err != nil || !w.keepIdle(g, conn) {
		_ = conn.Close() // nothing else is to be sent on it
		return err
	}
	w.scheduler.Do(func() { g.reuseOldest = true })
	return nil
}

// checkHealth makes a request for the health of the gateway, which must be answered.
func (c *clientConnection) checkHealth() error {
	if err := c.SetDeadline(time.Now().Add(clientDialTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, "GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // closing a body that was read cannot fail
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
