// Package upstream sends requests to the endpoints over pooled HTTP/1.1 connections. Unlike http.Transport it never
// sends a request twice, and it reports whether a failed request may have been executed.
package upstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"springfield/internal/memory"
)

// sweepInterval is the interval between searches for idle connections to close.
const sweepInterval = 2 * time.Second

// defaultReuseDelay is how long a connection is not reused after a response. Some responses arrive twice, the second
// copy some milliseconds late, and nothing in a response identifies its request. On a connection that is still idle,
// the second copy is detected as unsolicited bytes; on a connection that was reused at once, it would be taken for the
// response to the next request. A longer delay would cost more connection handshakes.
const defaultReuseDelay = 20 * time.Millisecond

// Dialer opens a connection. It has the signature of net.Dialer.DialContext, and its connections must implement
// syscall.Conn.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Pool.
type Options struct {
	Dial           Dialer // nil selects the DialContext of a net.Dialer
	DialTimeout    time.Duration
	IdleTimeout    time.Duration // connections that are idle for longer are closed
	MaxConnections int           // limit for all endpoints together
	ResponseMemory int           // bytes for the long responses of all attempts together, raised to hold one at least
}

// Pool holds the connections to the endpoints.
type Pool struct {
	dial            Dialer
	dialTimeout     time.Duration
	idleTimeout     time.Duration
	reuseDelay      time.Duration
	maxConnections  int64
	responseMemory  *memory.Budget
	openConnections atomic.Int64 // includes connections that are being dialed

	mu        sync.Mutex
	endpoints map[*Endpoint]struct{}
}

// NewPool returns a pool without endpoints.
func NewPool(options Options) *Pool {
	p := &Pool{
		dial:           options.Dial,
		dialTimeout:    options.DialTimeout,
		idleTimeout:    options.IdleTimeout,
		reuseDelay:     defaultReuseDelay,
		maxConnections: int64(options.MaxConnections),
		responseMemory: memory.NewBudget(max(options.ResponseMemory, MaxBodyBytes+1)),
		endpoints:      map[*Endpoint]struct{}{},
	}
	if p.dial == nil {
		p.dial = new(net.Dialer).DialContext
	}
	return p
}

// Run closes idle connections when they are stale or have exceeded the idle timeout, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.sweep(time.Now())
		}
	}
}

// AddEndpoint adds the process that listens at the address. It is not ready until SetReady is called. startedAt
// distinguishes it from other processes at the same address.
func (p *Pool) AddEndpoint(address string, startedAt time.Duration) *Endpoint {
	e := &Endpoint{pool: p, address: address, startedAt: startedAt, active: map[*Attempt]struct{}{}}
	p.mu.Lock()
	p.endpoints[e] = struct{}{}
	p.mu.Unlock()
	return e
}

func (p *Pool) removeEndpoint(e *Endpoint) {
	p.mu.Lock()
	delete(p.endpoints, e)
	p.mu.Unlock()
}

func (p *Pool) sweep(now time.Time) {
	for _, e := range p.listEndpoints() {
		e.sweep(now)
	}
}

func (p *Pool) listEndpoints() []*Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*Endpoint, 0, len(p.endpoints))
	for e := range p.endpoints {
		list = append(list, e)
	}
	return list
}

// reserveConnection reserves capacity for one connection. It returns false if the pool is full.
func (p *Pool) reserveConnection() bool {
	if p.openConnections.Add(1) > p.maxConnections {
		p.freeConnection()
		return false
	}
	return true
}

func (p *Pool) freeConnection() { p.openConnections.Add(-1) }

func (p *Pool) closeConnection(c *connection) {
	_ = c.Close() // the connection is discarded even if closing it fails
	p.freeConnection()
}
