package testkit

import (
	"context"
	"net"
)

const dialEventCapacity = 100

// DialGate blocks each dial until the test opens the gate, even if the dial's context is cancelled before.
type DialGate struct {
	Dialing   chan struct{} // receives a value at the start of each dial
	Cancelled chan struct{} // receives a value for each dial that is cancelled while it is blocked
	open      chan struct{}
}

// NewDialGate returns a closed gate.
func NewDialGate() *DialGate {
	return &DialGate{
		Dialing:   make(chan struct{}, dialEventCapacity),
		Cancelled: make(chan struct{}, dialEventCapacity),
		open:      make(chan struct{}),
	}
}

// Open lets all current and later dials proceed.
func (g *DialGate) Open() { close(g.open) }

// Dial connects once the gate is open. It has the signature of net.Dialer.DialContext.
func (g *DialGate) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	g.Dialing <- struct{}{}
	select {
	case <-g.open:
	case <-ctx.Done():
		g.Cancelled <- struct{}{}
		<-g.open
	}
	return net.Dial(network, address)
}
