package model

import (
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
)

// Network models the path between two machines of one data centre, with TCP and without losses. The delay of each
// message is drawn independently, so that a message may overtake an earlier one; callers have to keep the messages of a
// connection in order.
//
// Sources: BRIEF; PROTOCOL, "The network".
type Network struct {
	spec   emulator.Network
	random *rand.Rand
}

// NewNetwork returns a network that draws its delays from the given random numbers.
func NewNetwork(spec emulator.Network, random *rand.Rand) *Network {
	return &Network{spec: spec, random: random}
}

// Delay draws the one-way delay of a message. Its mean is emulator.Network.Delay, of which the share Jitter is
// exponentially distributed and the rest fixed.
func (n *Network) Delay() time.Duration {
	mean := float64(n.spec.Delay.AsDuration())
	if n.spec.Jitter <= 0 {
		return time.Duration(mean)
	}
	jitter := min(1, n.spec.Jitter)
	return time.Duration(mean * (1 - jitter + jitter*n.random.ExpFloat64()))
}
