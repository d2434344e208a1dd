package loopback

import "time"

// clientIdleTimeout is how long clients keep a connection that they do not use.
const clientIdleTimeout = 30 * time.Second

// takeIdle returns the kept connection that was used last, or nil. Those that the gateway has closed are dropped.
func (g *gateway) takeIdle() *clientConnection {
	for len(g.idle) > 0 {
		last := len(g.idle) - 1
		conn := g.idle[last]
		g.idle[last] = nil // frees the connection
		g.idle = g.idle[:last]
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
		if !g.accepts() {
			return
		}
		g.closeExpired(w.scheduler.Now())
		conn.idleSince = w.scheduler.Now()
		g.idle = append(g.idle, conn)
		kept = true
	})
	return kept
}

// closeExpired closes the connections that have not been used for long, which are the first ones.
func (g *gateway) closeExpired(now time.Duration) {
	for len(g.idle) > 0 && now-g.idle[0].idleSince > clientIdleTimeout {
		_ = g.idle[0].Close() // nothing is expected on it
		g.idle = g.idle[1:]
	}
}

// closeIdle closes all kept connections.
func (g *gateway) closeIdle() {
	for _, conn := range g.idle {
		_ = conn.Close() // nothing is expected on it
	}
	g.idle = nil
}
