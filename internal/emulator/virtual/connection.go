package virtual

import (
	"slices"
	"time"

	"springfield/policy"
)

// reuseDelay is how long a gateway lets a connection rest after a response.
const reuseDelay = 20 * time.Millisecond

// connection is one from a gateway to an endpoint's process.
type connection struct {
	endpoint           *endpoint
	incarnation        int // of the endpoint's process
	idleSince          time.Duration
	idleTimerScheduled bool // its idle time-out is scheduled
	closed             bool
}

// isLost reports whether the process at the other end has ended.
func (c *connection) isLost() bool { return c.incarnation != c.endpoint.incarnation }

// close closes a connection. The endpoint frees its place in the table.
func (c *connection) close() {
	if c.closed {
		return
	}
	c.closed = true
	if !c.isLost() {
		c.endpoint.server.Disconnect()
	}
}

// endpointView is what a gateway knows of an endpoint, and its idle connections to it.
type endpointView struct {
	known         bool // it has been in the list
	state         policy.EndpointState
	startedAt     time.Duration
	notifiedStart time.Duration // the start that the gateway counts as notified of
	idle          []*connection // in the order in which they became idle
}

// acquireIdle returns an idle connection that can be reused: of those that have rested, the one that was used last. It
// returns nil if there is none.
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

// releaseConnection keeps a connection for the next attempt, or closes it if none may come.
func (g *gateway) releaseConnection(c *connection) {
	view := g.view(c.endpoint.id)
	if c.isLost() || view.state != policy.StateReady {
		c.close()
		return
	}
	c.idleSince = g.world.scheduler.Now()
	view.idle = append(view.idle, c)
	if !c.idleTimerScheduled {
		g.scheduleIdleTimeout(c, g.world.scenario.Endpoints.IdleTimeout.Of())
	}
}

// scheduleIdleTimeout closes a connection that is still idle after the time-out. One that has been used meanwhile is
// looked at again, so that a connection has one such function scheduled and not one for each response.
func (g *gateway) scheduleIdleTimeout(c *connection, delay time.Duration) {
	timeout := g.world.scenario.Endpoints.IdleTimeout.Of()
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
			return // in use: its release schedules the next look
		}
		if remaining := c.idleSince + timeout - g.world.scheduler.Now(); remaining > 0 {
			g.scheduleIdleTimeout(c, remaining)
			return
		}
		view.idle = slices.Delete(view.idle, i, i+1)
		c.close()
	})
}
