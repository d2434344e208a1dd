package loopback

import "time"

// clientIdleTimeout is how long clients keep an idle connection.
const clientIdleTimeout = 30 * time.Second

// takeIdle removes and returns the kept connection that was used last, or returns nil if there is none. It drops
// connections that the gateway has closed.
func (g *gateway) takeIdle() *clientConnection {
	for len(g.idleConnections) > 0 {
		last := len(g.idleConnections) - 1
		conn := g.idleConnections[last]
		g.idleConnections[last] = nil // lets the connection be garbage-collected
		g.idleConnections = g.idleConnections[:last]
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
