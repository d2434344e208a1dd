package config

import "syscall"

// The budget of file descriptors. The gateway's own come off first: three standard streams, the listener, the two of
// the Go runtime, a connection that is just being accepted or closed, the configuration file while it is read again,
// and the connections to discovery, an old one and two at a new address. The rest is shared by connections of clients
// and to endpoints.
const (
	defaultDescriptors = 1024
	ownDescriptors     = 12
	maxOwnShare        = 0.25 // of all; leaves most of a small budget
	clientShare        = 0.68 // of the rest, with the connections that wait for a slot
	upstreamShare      = 0.28 // of the rest
)

// ClientConnections returns the most connections of clients that may be open.
func (c *Config) ClientConnections() int { return c.descriptors(clientShare) }

// UpstreamConnections returns the most connections to endpoints that may be open.
func (c *Config) UpstreamConnections() int { return c.descriptors(upstreamShare) }

// descriptors returns a share of the budget, which is bounded by the configuration and by the operating system.
func (c *Config) descriptors(share float64) int {
	total := c.Limits.Sockets
	if total <= 0 {
		total = defaultDescriptors
	}
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err == nil && system.Cur < uint64(total) {
		total = int(system.Cur)
	}
	own := min(ownDescriptors, maxOwnShare*float64(total))
	return max(1, int((float64(total)-own)*share))
}
