package model

import (
	"fmt"
	"time"

	"springfield/internal/emulator"
)

func (v *validator) clients(clients *emulator.Clients) {
	v.positive("clients.load", clients.Load, mostLoad)
	v.count("clients.max_units", clients.MaxUnits, 1, mostUnits)
	v.positive("clients.set_min", clients.SetMin, 1)
	v.positive("clients.set_max", clients.SetMax, 1)
	v.require(!(clients.SetMax < clients.SetMin),
		"clients.set_max", "is %v; want at least set_min, %v", clients.SetMax, clients.SetMin)
	v.number("clients.skew", clients.Skew, 0, mostSkew)
	v.anyDuration("clients.shift_every", clients.ShiftEvery)
	v.positive("clients.calm_use", clients.CalmUse, 1)
	v.habits(clients)
	v.number("clients.burst_factor", clients.BurstFactor, 0, mostFactor)
	v.anyDuration("clients.burst_at", clients.BurstAt)
	v.anyDuration("clients.burst_length", clients.BurstLength)
	v.count("clients.retries", clients.Retries, 0, mostRetries)
	v.anyDuration("clients.retry_delay", clients.RetryDelay)
	v.positive("clients.patience", clients.Patience, 1)
	v.number("clients.abandon", clients.Abandon, 0, 1)
}

// habits checks the customers that do not stay well below their quotas.
func (v *validator) habits(clients *emulator.Clients) {
	v.number("clients.full_share", clients.FullShare, 0, 1)
	v.number("clients.greedy_share", clients.GreedyShare, 0, 1)
	v.number("clients.spiky_share", clients.SpikyShare, 0, 1)
	shares := clients.FullShare + clients.GreedyShare + clients.SpikyShare
	v.require(!(shares > 1+shareTolerance),
		"clients", "have full_share, greedy_share and spiky_share that add up to %v; want at most 1", shares)
	if clients.GreedyShare > 0 {
		v.number("clients.greedy_factor", clients.GreedyFactor, 1, mostFactor)
	}
	if clients.SpikyShare > 0 {
		v.positive("clients.spike_factor", clients.SpikeFactor, mostFactor)
		v.duration("clients.spike_length", clients.SpikeLength, time.Millisecond, longestScenario)
		v.duration("clients.spike_every", clients.SpikeEvery, clients.SpikeLength.AsDuration()+1, longestScenario)
	}
}

// customers checks that the load does not need more customers than a run can hold.
func (v *validator) customers(scenario *emulator.Scenario) {
	shares, customers := 0.0, 0.0
	for i := range scenario.Plans {
		shares += scenario.Plans[i].Share
	}
	for i := range scenario.Plans {
		plan := &scenario.Plans[i]
		use := scenario.Clients.Load * EndpointWork(scenario) * plan.Share / shares
		customers += use / (quotaOf(scenario, plan).rate * scenario.Clients.CalmUse)
	}
	v.require(customers <= mostCustomers,
		"clients.load", "needs up to %.0f customers at the plans' quotas; want at most %d", customers, mostCustomers)
}

func (v *validator) faults(scenario *emulator.Scenario) {
	for i := range scenario.Faults {
		fault, path := &scenario.Faults[i], fmt.Sprintf("faults[%d]", i)
		v.duration(path+".at", fault.At, 0, max(0, scenario.Length.AsDuration()))
		v.anyDuration(path+".length", fault.Length)
		v.number(path+".share", fault.Share, 0, 1)
		v.count(path+".zone", fault.Zone, 0, Zones(scenario))
		v.faultKind(path, fault)
	}
}

// faultKind checks the keys that matter for a fault's kind.
func (v *validator) faultKind(path string, fault *emulator.Fault) {
	switch fault.Kind {
	case emulator.FaultKillGateways, emulator.FaultDrainEndpoints, emulator.FaultStopEndpoints,
		emulator.FaultSilentEndpoints, emulator.FaultPartition:
		v.selection(path, fault)
		v.lasts(path, fault)
	case emulator.FaultRestartGateways, emulator.FaultReplace:
		v.selection(path, fault) // all at once where the length is 0
	case emulator.FaultSlowEndpoints:
		v.selection(path, fault)
		v.lasts(path, fault)
		v.positive(path+".factor", fault.Factor, mostFactor)
	case emulator.FaultFailEndpoints:
		v.selection(path, fault)
		v.lasts(path, fault)
		v.positive(path+".factor", fault.Factor, 1)
	case emulator.FaultResets, emulator.FaultSpoiltAnswers:
		v.lasts(path, fault)
		v.positive(path+".factor", fault.Factor, 1)
	case emulator.FaultLateLists:
		v.lasts(path, fault)
		v.positive(path+".factor", fault.Factor, mostFactor)
	case emulator.FaultDiscoveryDown, emulator.FaultMeterSilence:
		v.lasts(path, fault)
	case emulator.FaultWatchSilence, emulator.FaultDiscoveryMoves: // at one moment
	default:
		v.require(false, path+".kind", "is %q, which is no kind of fault", fault.Kind)
	}
}

// selection wants a fault to say which gateways or endpoints it strikes.
func (v *validator) selection(path string, fault *emulator.Fault) {
	v.require(fault.Share > 0 || fault.Zone > 0, path+".share", "is 0, and so is zone; want one of them")
}

// lasts wants a fault to have a length.
func (v *validator) lasts(path string, fault *emulator.Fault) {
	v.require(fault.Length > 0, path+".length", "is %v; want more than 0s", fault.Length.AsDuration())
}
