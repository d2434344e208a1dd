package loopback

import "time"

// clientIdleTimeout is how long clients keep a connection that they do not use.
const clientIdleTimeout = 30 * time.Second

// takeIdle returns the kept connection that was used last, or nil. Those that the gateway has closed are dropped.
func (g *gateway) takeIdle() *clientConnection {
	for len(g.idleConnections) > 0 {
		last := len(g.idleConnections) - 1
		conn := g.idleConnections[last]
		g.idleConnections[last] = nil // frees the connection
		g.idleConnections = g.idleConnections[:last]
		if !peerHasClosed(conn.Conn) {
			return conn
		}
		_ = conn.Close() // nothing is expected on it
	}
	return nil
}

// keepIdle keeps a connection for a later request. It fails if the gateway's process or the world has ended.
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

// closeExpiredIdle closes the connections that have not been used for long, which are the first ones.
func (g *gateway) closeExpiredIdle(now time.Duration) {
	for len(g.idleConnections) > 0 && now-g.idleConnections[0].idleSince > clientIdleTimeout {
		_ = g.idleConnections[0].Close() // nothing is expected on it
		g.idleConnections = g.idleConnections[1:]
	}
}

// closeIdle closes all kept connections.
func (g *gateway) closeIdle() {
	for _, conn := range g.idleConnections {
		_ = conn.Close() // nothing is expected on it
	}
	g.idleConnections = nil
}
