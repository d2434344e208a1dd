package soak

import (
	"fmt"

	"golang.org/x/sys/unix"
)

const (
	// gatewayMemory is the memory in bytes that is set aside for one gateway process and its clients.
	gatewayMemory = 32 << 20

	// memoryDivisor sets the part of the machine's memory, one in memoryDivisor, that a soak may use.
	memoryDivisor = 2
)

// GatewaysInMemory returns the number of gateway processes that a soak may run at once on this machine.
func GatewaysInMemory() (int, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, fmt.Errorf("read the size of the memory: %w", err)
	}
	memory := info.Totalram * uint64(info.Unit)
	return max(1, int(memory/memoryDivisor/gatewayMemory)), nil
}
