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
	idle   []*connection // in the order in which they became idle
	active map[*Attempt]struct{}
}

// Address returns the address at which the endpoint listens.
func (e *Endpoint) Address() string { return e.address }

// StartedAt returns the time at which the process started.
func (e *Endpoint) StartedAt() time.Duration { return e.startedAt }

// SetReady sets whether attempts may be sent to the endpoint. Once it is not ready, its idle connections
// are closed and an attempt whose first byte is not out is not sent; the others go on.
func (e *Endpoint) SetReady(ready bool) {
	if e.ready.Swap(ready) && !ready {
		e.closeIdle()
	}
}

// Close removes an endpoint that has left the list. Attempts that have been sent go on.
func (e *Endpoint) Close() {
	e.markClosed()
	e.closeIdle()
	e.pool.removeEndpoint(e)
}

// CloseReplaced removes an endpoint whose place another process has taken. Its active attempts end as
// resets, for no response to them can come any more.
func (e *Endpoint) CloseReplaced() {
	e.markClosed()
	for _, attempt := range e.listActive() {
		attempt.Abort(policy.StatusReset)
	}
	e.closeIdle()
	e.pool.removeEndpoint(e)
}

// markClosed makes sure that no attempt begins and no connection becomes idle any more.
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

// sweep closes the idle connections that are old or stale.
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

// acquireIdle returns an idle connection that can be reused: of those that are past the reuse delay, the
// one that was used last. It returns nil if there is none.
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

// releaseIdle keeps the connection for the next attempt, or closes it if none may come.
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
