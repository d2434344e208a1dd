package config

import (
	"math"
	"testing"
)

// The connections of clients and their large requests must fit into the memory limit together, also where there are
// many descriptors for little memory. Clients may hold a third of the descriptors for requests, which must be possible
// with the least memory and the most descriptors that the operators name.
func TestMemoryIsSplitWithinLimit(t *testing.T) {
	for _, limits := range []Limits{
		{MemoryMB: 32, Sockets: 1024}, {MemoryMB: 192, Sockets: 256}, {MemoryMB: 1, Sockets: 4096},
	} {
		c := Config{Limits: limits}
		runtimeBytes, limited := c.RuntimeMemory()
		customers := c.PolicyConfig(0).MaxCustomers
		used := c.ClientConnections()*clientConnectionBytes + c.RequestMemory() + c.ResponseMemory() +
			customers*customerBytes + c.MaxSentRequests()*sentRequestBytes
		if !limited || int64(used) >= runtimeBytes || runtimeBytes >= int64(limits.MemoryMB)*bytesPerMB {
			t.Errorf("%+v: %d bytes for clients, %d for the runtime", limits, used, runtimeBytes)
		}
	}
	least := Config{Limits: Limits{MemoryMB: 32, Sockets: 1024}}
	if clients := least.ClientConnections(); clients < 1024/3 {
		t.Errorf("%d connections with the least memory", clients)
	}
	if customers := least.PolicyConfig(0).MaxCustomers; customers < 1024 {
		t.Errorf("%d customers with the least memory", customers)
	}
	if requests := least.MaxSentRequests(); requests < 8*1024 {
		t.Errorf("%d sent requests with the least memory", requests)
	}
	var unlimited Config
	if _, limited := unlimited.RuntimeMemory(); limited || unlimited.RequestMemory() != math.MaxInt ||
		unlimited.PolicyConfig(0).MaxCustomers != 0 {
		t.Error("a memory limit applies although none is configured")
	}
}
