package virtualsoak

import (
	"time"

	"springfield/internal/emulator"
)

const (
	maxFaults      = 4
	minFaultLength = 500 * time.Millisecond
	maxFaultLength = 4 * time.Second
	maxFirstFault  = 2500 * time.Millisecond // latest start of the first fault

	// startingShare is the share of the runs in which endpoints start whatever the other faults are.
	startingShare = 0.4

	// maxLostShare is the largest share of the endpoints that a fault drains, replaces or stops.
	maxLostShare = 0.6

	// maxListDelay is the longest delay of endpoint lists under a fault. It is shorter than the 6 s after which a gateway
	// counts as notified of a change whether or not it has arrived.
	maxListDelay = 5 * time.Second
)

// faultKinds lists the kinds of fault. The kind of a run's first fault is chosen by the seed, so that as many
// consecutive seeds as there are kinds bring each kind.
var faultKinds = []emulator.FaultKind{
	emulator.FaultKillGateways, emulator.FaultRestartGateways, emulator.FaultDrainEndpoints, emulator.FaultReplace,
	emulator.FaultStopEndpoints, emulator.FaultSlowEndpoints, emulator.FaultFailEndpoints, emulator.FaultSilentEndpoints,
	emulator.FaultPartition, emulator.FaultDiscoveryDown, emulator.FaultWatchSilence, emulator.FaultDiscoveryMoves,
	emulator.FaultLateLists, emulator.FaultResets, emulator.FaultSpoiltAnswers, emulator.FaultMeterSilence,
}

// faults draws one to maxFaults faults. Each of them starts while the one before it is active.
func (d drawer) faults(scenario *emulator.Scenario, seed uint64) []emulator.Fault {
	kinds := []emulator.FaultKind{faultKinds[seed%uint64(len(faultKinds))]}
	for range d.integer(0, maxFaults-1) {
		kinds = append(kinds, pick(d, faultKinds...))
	}
	if len(kinds) > 1 && d.chance(startingShare) {
		kinds[1] = pick(d, emulator.FaultReplace, emulator.FaultStopEndpoints)
	}
	d.random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	faults := make([]emulator.Fault, 0, len(kinds))
	at := d.duration(300*time.Millisecond, maxFirstFault)
	for _, kind := range kinds {
		fault := d.fault(kind, scenario)
		fault.At = at
		faults = append(faults, fault)
		at += emulator.Duration(d.number(0, 1) * float64(min(fault.Length, emulator.Duration(time.Second))))
	}
	return faults
}

// fault draws a fault of a kind, without its start.
func (d drawer) fault(kind emulator.FaultKind, scenario *emulator.Scenario) emulator.Fault {
	fault := emulator.Fault{Kind: kind, Length: d.duration(minFaultLength, maxFaultLength), Share: d.scaled(0.05, 1)}
	switch kind {
	case emulator.FaultDrainEndpoints, emulator.FaultReplace, emulator.FaultStopEndpoints:
		fault.Share = d.scaled(0.05, maxLostShare)
	case emulator.FaultSlowEndpoints:
		fault.Factor = d.scaled(1.5, 30)
	case emulator.FaultLateLists:
		fault.Factor = d.number(1, 10)
		fault.Factor = min(fault.Factor, float64(maxListDelay)/float64(scenario.Discovery.DelayMax))
	case emulator.FaultFailEndpoints, emulator.FaultResets, emulator.FaultSpoiltAnswers:
		fault.Factor = d.scaled(0.02, 1)
	case emulator.FaultPartition:
		if d.chance(0.5) {
			fault.Zone = d.integer(1, scenario.Zones)
		}
	}
	return fault
}
