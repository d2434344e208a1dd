package config

import "syscall"

// The constants divide the file descriptors of the process. Some are reserved for the gateway itself: three standard
// streams, the listener, two of the Go runtime, a connection that is being accepted or closed, the configuration file
// during a reload, and the connections to discovery (one to the old address and two to a new one). The remaining
// descriptors are divided between client connections and endpoint connections.
const (
	defaultDescriptors  = 1024
	reservedDescriptors = 12
	maxReservedShare    = 0.25 // upper bound of the reserved share, so that a small limit still allows connections
	clientShare         = 0.68 // share of the remainder for client connections, including those that wait for a slot
	upstreamShare       = 0.28 // share of the remainder for endpoint connections
)

// ClientConnections returns the maximum number of open client connections, which follows from the descriptors and the
// memory.
func (c *Config) ClientConnections() int {
	return max(1, min(c.descriptorShare(clientShare), c.memoryShare(clientConnectionShare)/clientConnectionBytes))
}

// UpstreamConnections returns the maximum number of open connections to endpoints.
func (c *Config) UpstreamConnections() int { return c.descriptorShare(upstreamShare) }

// descriptorShare returns the number of descriptors in a share of those that are not reserved, but at least 1. The
// total is the lower of the configured limit and the limit of the operating system.
func (c *Config) descriptorShare(share float64) int {
	total := c.Limits.Sockets
	if total <= 0 {
		total = defaultDescriptors
	}
	var systemLimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &systemLimit); err == nil && systemLimit.Cur < uint64(total) {
		total = int(systemLimit.Cur)
	}
	reserved := min(reservedDescriptors, maxReservedShare*float64(total))
	return max(1, int((float64(total)-reserved)*share))
}
