package model

import (
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
)

// Network is the way between two machines: each message takes a time of its own. Messages on one connection may
// therefore overtake each other, which is the caller's to prevent.
//
// Source: BRIEF and PROTOCOL, "The network": one data centre, TCP without losses of its own.
type Network struct {
	spec   emulator.Network
	random *rand.Rand
}

// NewNetwork returns a network.
func NewNetwork(spec emulator.Network, random *rand.Rand) *Network {
	return &Network{spec: spec, random: random}
}

// Delay returns the time of one message, one way. Its mean is Network.Delay, of which the part Network.Jitter is
// exponentially distributed and the rest fixed.
func (n *Network) Delay() time.Duration {
	mean := float64(n.spec.Delay.AsDuration())
	if n.spec.Jitter <= 0 {
		return time.Duration(mean)
	}
	jitter := min(1, n.spec.Jitter)
	return time.Duration(mean * (1 - jitter + jitter*n.random.ExpFloat64()))
}
