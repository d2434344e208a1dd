package config

import "math"

// The shares divide the memory of the process. What they leave covers the resident part of the program's file and the
// policy's state.
const (
	runtimeShare          = 0.75 // of the Go runtime, which contains the shares below
	clientConnectionShare = 0.30 // of client connections with small messages
	requestShare          = 0.08 // of large requests
	responseShare         = 0.08 // of large responses
	customerShare         = 0.05 // of the customers that the policy remembers
	sentRequestShare      = 0.02 // of the IDs of requests that were sent
)

// customerBytes is the memory of a customer in the policy, with its entries in the map and the list of all customers.
const customerBytes = 400

// clientConnectionBytes is the memory of a client connection with a small request and its response: the buffers and the
// stacks of its goroutines.
const clientConnectionBytes = 28 << 10

const (
	// sentRequestBytes is the memory of an ID in the two sets that hold the latest ones.
	sentRequestBytes = 2 * 32

	// maxSentRequests is the number of IDs to remember where the memory is not limited.
	maxSentRequests = 1 << 20
)

const bytesPerMB = 1 << 20

// RuntimeMemory returns the memory in bytes that the Go runtime may use. ok is false if the memory is not limited.
func (c *Config) RuntimeMemory() (bytes int64, ok bool) {
	return int64(c.memoryShare(runtimeShare)), c.Limits.MemoryMB > 0
}

// RequestMemory returns the memory in bytes for the large requests of all clients together.
func (c *Config) RequestMemory() int { return c.memoryShare(requestShare) }

// ResponseMemory returns the memory in bytes for the large responses of all endpoints together.
func (c *Config) ResponseMemory() int { return c.memoryShare(responseShare) }

// MaxSentRequests returns the number of requests whose IDs are remembered after they were sent.
func (c *Config) MaxSentRequests() int {
	return min(maxSentRequests, c.memoryShare(sentRequestShare)/sentRequestBytes)
}

// maxCustomers returns the number of idle customers that the policy may remember, or 0 if the memory is not limited.
func (c *Config) maxCustomers() int {
	if c.Limits.MemoryMB <= 0 {
		return 0
	}
	return c.memoryShare(customerShare) / customerBytes
}

// memoryShare returns a share of the memory limit in bytes. Without a limit it is practically infinite.
func (c *Config) memoryShare(share float64) int {
	if c.Limits.MemoryMB <= 0 {
		return math.MaxInt
	}
	return int(share * float64(c.Limits.MemoryMB) * bytesPerMB)
}
