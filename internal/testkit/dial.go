package testkit

import (
	"context"
	"net"
)

const dialCapacity = 100

// DialGate holds each dial until the test opens the gate, also when the dial has been cancelled meanwhile.
type DialGate struct {
	Dialing   chan struct{} // gets a value as each dial begins
	Cancelled chan struct{} // gets a value for each dial that is cancelled while it is held
	open      chan struct{}
}

// NewDialGate returns a closed gate.
func NewDialGate() *DialGate {
	return &DialGate{
		Dialing:   make(chan struct{}, dialCapacity),
		Cancelled: make(chan struct{}, dialCapacity),
		open:      make(chan struct{}),
	}
}

// Open lets all dials proceed, those that come later too.
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
