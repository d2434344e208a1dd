package model

import (
	"fmt"
	"time"

	"springfield/internal/emulator"
)

func (v *validator) clients(clients *emulator.Clients) {
	v.requirePositive("clients.load", clients.Load, maxLoad)
	v.requireCount("clients.max_units", clients.MaxUnits, 1, maxCount)
	v.requirePositive("clients.set_min", clients.SetMin, 1)
	v.requirePositive("clients.set_max", clients.SetMax, 1)
	v.require(!(clients.SetMax < clients.SetMin),
		"clients.set_max", "is %v; want at least set_min, %v", clients.SetMax, clients.SetMin)
	v.requireRange("clients.skew", clients.Skew, 0, maxSkew)
	v.requireNonNegativeDuration("clients.shift_every", clients.ShiftEvery)
	v.requirePositive("clients.calm_use", clients.CalmUse, 1)
	v.usagePatterns(clients)
	v.requireRange("clients.burst_factor", clients.BurstFactor, 0, maxFactor)
	v.requireNonNegativeDuration("clients.burst_at", clients.BurstAt)
	v.requireNonNegativeDuration("clients.burst_length", clients.BurstLength)
	v.requireCount("clients.retries", clients.Retries, 0, maxRetries)
	v.requireNonNegativeDuration("clients.retry_delay", clients.RetryDelay)
	v.requirePositive("clients.patience", clients.Patience, 1)
	v.requireRange("clients.abandon", clients.Abandon, 0, 1)
}

// usagePatterns checks the settings of the customers who use nearly all of their quota or exceed it.
func (v *validator) usagePatterns(clients *emulator.Clients) {
	v.requireRange("clients.full_share", clients.FullShare, 0, 1)
	v.requireRange("clients.greedy_share", clients.GreedyShare, 0, 1)
	v.requireRange("clients.spiky_share", clients.SpikyShare, 0, 1)
	shares := clients.FullShare + clients.GreedyShare + clients.SpikyShare
	v.require(!(shares > 1+shareTolerance),
		"clients", "have full_share, greedy_share and spiky_share that add up to %v; want at most 1", shares)
	if clients.GreedyShare > 0 {
		v.requireRange("clients.greedy_factor", clients.GreedyFactor, 1, maxFactor)
	}
	if clients.SpikyShare > 0 {
		v.requirePositive("clients.spike_factor", clients.SpikeFactor, maxFactor)
		v.requireDuration("clients.spike_length", clients.SpikeLength, time.Millisecond, maxScenarioDuration)
		v.requireDuration("clients.spike_every", clients.SpikeEvery, clients.SpikeLength.AsDuration()+1, maxScenarioDuration)
	}
}

// customers checks that the load does not need more than maxCustomers customers.
func (v *validator) customers(scenario *emulator.Scenario) {
	shares, customers := 0.0, 0.0
	for i := range scenario.Plans {
		shares += scenario.Plans[i].Share
	}
	for i := range scenario.Plans {
		plan := &scenario.Plans[i]
		use := scenario.Clients.Load * EndpointCapacity(scenario) * plan.Share / shares
		customers += use / (quotaOf(scenario, plan).rate * scenario.Clients.CalmUse)
	}
	v.require(customers <= maxCustomers,
		"clients.load", "needs up to %.0f customers at the plans' quotas; want at most %d", customers, maxCustomers)
}

func (v *validator) faults(scenario *emulator.Scenario) {
	for i := range scenario.Faults {
		fault, path := &scenario.Faults[i], fmt.Sprintf("faults[%d]", i)
		v.requireDuration(path+".at", fault.At, 0, max(0, scenario.Length.AsDuration()))
		v.requireNonNegativeDuration(path+".length", fault.Length)
		v.requireRange(path+".share", fault.Share, 0, 1)
		v.requireCount(path+".zone", fault.Zone, 0, Zones(scenario))
		v.faultKind(path, fault)
	}
}

// faultKind checks the keys that a fault's kind uses.
func (v *validator) faultKind(path string, fault *emulator.Fault) {
	switch fault.Kind {
	case emulator.FaultKillGateways, emulator.FaultDrainEndpoints, emulator.FaultStopEndpoints,
		emulator.FaultSilentEndpoints, emulator.FaultPartition:
		v.requireSelection(path, fault)
		v.requireLength(path, fault)
	case emulator.FaultRestartGateways, emulator.FaultReplace:
		v.requireSelection(path, fault) // a length of 0 is valid: all targets restart or are replaced at once
	case emulator.FaultSlowEndpoints:
		v.requireSelection(path, fault)
		v.requireLength(path, fault)
		v.requirePositive(path+".factor", fault.Factor, maxFactor)
	case emulator.FaultFailEndpoints:
		v.requireSelection(path, fault)
		v.requireLength(path, fault)
		v.requirePositive(path+".factor", fault.Factor, 1)
	case emulator.FaultResets, emulator.FaultSpoiltAnswers:
		v.requireLength(path, fault)
		v.requirePositive(path+".factor", fault.Factor, 1)
	case emulator.FaultLateLists:
		v.requireLength(path, fault)
		v.requirePositive(path+".factor", fault.Factor, maxFactor)
	case emulator.FaultDiscoveryDown, emulator.FaultMeterSilence:
		v.requireLength(path, fault)
	case emulator.FaultWatchSilence, emulator.FaultDiscoveryMoves: // faults of a single moment need no length
	default:
		v.require(false, path+".kind", "is %q, which is not a kind of fault", fault.Kind)
	}
}

// requireSelection requires a share or a zone, which select the gateways or endpoints that a fault affects.
func (v *validator) requireSelection(path string, fault *emulator.Fault) {
	v.require(fault.Share > 0 || fault.Zone > 0, path+".share", "is 0 and zone is 0; want a share or a zone")
}

// requireLength requires a fault to have a length above 0.
func (v *validator) requireLength(path string, fault *emulator.Fault) {
	v.require(fault.Length > 0, path+".length", "is %v; want more than 0s", fault.Length.AsDuration())
}
