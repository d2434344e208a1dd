package upstream

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"springfield/policy"
)

// Endpoint is one process of an upstream server, at one address.
type Endpoint struct {
	pool      *Pool
	address   string
	startedAt time.Duration
	ready     atomic.Bool // no attempt begins while it is false

	mu     sync.Mutex
	closed bool
	idle   []*connection // ordered by when they became idle, oldest first
	active map[*Attempt]struct{}
}

// Address returns the address at which the endpoint listens.
func (e *Endpoint) Address() string { return e.address }

// StartedAt returns the time at which the process started.
func (e *Endpoint) StartedAt() time.Duration { return e.startedAt }

// SetReady sets whether attempts may be sent to the endpoint. When the endpoint stops being ready, its idle connections
// are closed, and attempts that have not sent their first byte are not sent. Other attempts continue.
func (e *Endpoint) SetReady(ready bool) {
	if e.ready.Swap(ready) && !ready {
		e.closeIdle()
	}
}

// Close removes an endpoint that has left the list. Attempts that have been sent continue.
func (e *Endpoint) Close() {
	e.markClosed()
	e.closeIdle()
	e.pool.removeEndpoint(e)
}

// CloseReplaced removes an endpoint that another process has replaced. Its active attempts end with policy.StatusReset,
// because they can no longer get a response.
func (e *Endpoint) CloseReplaced() {
	e.markClosed()
	for _, attempt := range e.listActive() {
		attempt.Abort(policy.StatusReset)
	}
	e.closeIdle()
	e.pool.removeEndpoint(e)
}

// markClosed prevents new attempts from starting and connections from becoming idle.
func (e *Endpoint) markClosed() {
	e.ready.Store(false)
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
}

func (e *Endpoint) listActive() []*Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	active := make([]*Attempt, 0, len(e.active))
	for attempt := range e.active {
		active = append(active, attempt)
	}
	return active
}

func (e *Endpoint) closeIdle() {
	e.mu.Lock()
	idle := e.idle
	e.idle = nil
	e.mu.Unlock()
	for _, c := range idle {
		e.pool.closeConnection(c)
	}
}

// sweep closes the idle connections that are stale or have exceeded the idle timeout.
func (e *Endpoint) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = slices.DeleteFunc(e.idle, func(c *connection) bool {
		if e.reusable(c, now) {
			return false
		}
		e.pool.closeConnection(c)
		return true
	})
}

func (e *Endpoint) reusable(c *connection, now time.Time) bool {
	return now.Sub(c.idleSince) <= e.pool.idleTimeout && !c.isStale()
}

// acquireIdle returns the most recently used idle connection that is past the reuse delay and can be reused, or nil if
// there is none. It closes the connections that it finds unusable.
func (e *Endpoint) acquireIdle() *connection {
	for {
		now := time.Now()
		c := e.popIdle(now)
		if c == nil || e.reusable(c, now) {
			return c
		}
		e.pool.closeConnection(c)
	}
}

func (e *Endpoint) popIdle(now time.Time) *connection {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := len(e.idle) - 1
	for i >= 0 && now.Sub(e.idle[i].idleSince) < e.pool.reuseDelay {
		i--
	}
	if i < 0 {
		return nil
	}
	c := e.idle[i]
	e.idle = slices.Delete(e.idle, i, i+1)
	return c
}

// releaseIdle keeps the connection for the next attempt, or closes it if the endpoint accepts no more attempts.
func (e *Endpoint) releaseIdle(c *connection) {
	c.idleSince = time.Now()
	e.mu.Lock()
	keep := !e.closed && e.ready.Load()
	if keep {
		e.idle = append(e.idle, c)
	}
	e.mu.Unlock()
	if !keep {
		e.pool.closeConnection(c)
	}
}

func (e *Endpoint) addActive(attempt *Attempt) {
	e.mu.Lock()
	e.active[attempt] = struct{}{}
	e.mu.Unlock()
}

func (e *Endpoint) removeActive(attempt *Attempt) {
	e.mu.Lock()
	delete(e.active, attempt)
	e.mu.Unlock()
}
