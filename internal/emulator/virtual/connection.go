package virtual

import (
	"slices"
	"time"

	"springfield/policy"
)

// reuseDelay is the time after a response before which a gateway does not reuse the connection, as in package
// internal/upstream.
const reuseDelay = 20 * time.Millisecond

// connection is a connection from a gateway to a process of an endpoint.
type connection struct {
	endpoint           *endpoint
	incarnation        int // incarnation of the process that accepted the connection
	idleSince          time.Duration
	idleTimerScheduled bool // a check for the idle timeout is scheduled
	closed             bool
}

// isLost reports whether the endpoint's process at the other end has ended.
func (c *connection) isLost() bool { return c.incarnation != c.endpoint.incarnation }

// close closes the connection and frees its place in the endpoint's connection table.
func (c *connection) close() {
	if c.closed {
		return
	}
	c.closed = true
	if !c.isLost() {
		c.endpoint.server.Disconnect()
	}
}

// endpointView holds what a gateway knows of an endpoint, and the gateway's idle connections to it.
type endpointView struct {
	known         bool // the endpoint has appeared in a list
	state         policy.EndpointState
	startedAt     time.Duration
	notifiedStart time.Duration // latest start of the endpoint of which the gateway counts as notified
	idle          []*connection // idle connections in the order in which they became idle
}

// acquireIdle removes and returns an idle connection that can be reused: of those that have been idle for at least
// reuseDelay, the one that was used last. It returns nil if there is none.
func (v *endpointView) acquireIdle(now time.Duration) *connection {
	for i := len(v.idle) - 1; i >= 0; i-- {
		c := v.idle[i]
		if c.closed || c.isLost() {
			v.idle = slices.Delete(v.idle, i, i+1)
			continue
		}
		if now-c.idleSince >= reuseDelay {
			v.idle = slices.Delete(v.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (v *endpointView) closeIdle() {
	for _, c := range v.idle {
		c.close()
	}
	v.idle = nil
}

// releaseConnection keeps a connection for reuse, or closes it if the endpoint takes no more attempts.
func (g *gateway) releaseConnection(c *connection) {
	view := g.view(c.endpoint.id)
	if c.isLost() || view.state != policy.StateReady {
		c.close()
		return
	}
	c.idleSince = g.world.scheduler.Now()
	view.idle = append(view.idle, c)
	if !c.idleTimerScheduled {
		g.scheduleIdleTimeout(c, g.world.scenario.Endpoints.IdleTimeout.AsDuration())
	}
}

// scheduleIdleTimeout schedules a check that closes the connection if it has been idle for the timeout. If the
// connection was used in the meantime, the check is scheduled again. This way each connection has one scheduled check,
// instead of one for each response.
func (g *gateway) scheduleIdleTimeout(c *connection, delay time.Duration) {
	timeout := g.world.scenario.Endpoints.IdleTimeout.AsDuration()
	if timeout <= 0 {
		return
	}
	c.idleTimerScheduled = true
	g.world.scheduler.After(delay, func() {
		c.idleTimerScheduled = false
		if c.closed || c.isLost() {
			return
		}
		view := g.view(c.endpoint.id)
		i := slices.Index(view.idle, c)
		if i < 0 {
			return // the connection is in use, and its release schedules the next check
		}
		if remaining := c.idleSince + timeout - g.world.scheduler.Now(); remaining > 0 {
			g.scheduleIdleTimeout(c, remaining)
			return
		}
		view.idle = slices.Delete(view.idle, i, i+1)
		c.close()
	})
}
