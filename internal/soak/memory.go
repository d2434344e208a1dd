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

// NewLimits returns limits for a number of concurrent runs, with as many gateway processes as the part of the machine's
// memory holds that a soak may use.
func NewLimits(runs int) (Limits, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return Limits{}, fmt.Errorf("read the size of the memory: %w", err)
	}
	memory := info.Totalram * uint64(info.Unit)
	return Limits{Runs: runs, Gateways: max(1, int(memory/memoryDivisor/gatewayMemory))}, nil
}
