package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

const (
	// restartGroups is the number of groups in which a rolling restart shuts gateways down. The groups follow each
	// other evenly over the length of the fault.
	restartGroups = 10

	// replacementDrainTime is how long a replaced endpoint drains before it stops.
	replacementDrainTime = 5 * time.Second
)

// FaultTarget is a deployment into which faults are injected.
type FaultTarget interface {
	// Gateways returns the number of gateways.
	Gateways() int
	// GatewayZone returns the zone of a gateway.
	GatewayZone(gateway int) int
	// Endpoints returns the endpoints that are neither draining nor stopped, in order of their ids.
	Endpoints() []policy.Endpoint

	KillGateway(gateway int)    // ends the gateway's process at once
	StartGateway(gateway int)   // starts a gateway that was killed
	RestartGateway(gateway int) // shuts the gateway down gracefully and starts it again once it has ended

	DrainEndpoint(id policy.EndpointID)                // makes the endpoint reject new requests
	StopEndpoint(id policy.EndpointID)                 // ends the endpoint's process
	StartEndpoint(id policy.EndpointID)                // starts a new process, which warms up
	AddReplacement(id policy.EndpointID)               // adds an endpoint in the same zone and cell
	SlowEndpoint(id policy.EndpointID, factor float64) // slows the endpoint down; 1 restores the usual speed
	FailEndpoint(id policy.EndpointID, share float64)  // makes a share of the endpoint's requests fail; 0: none
	SilenceEndpoint(id policy.EndpointID, silent bool) // stops or resumes the endpoint's responses

	PartitionEndpoint(id policy.EndpointID, partitioned bool) // cuts the endpoint off, or restores its network
	PartitionZone(zone int, partitioned bool)                 // cuts the zone off from the others, or ends that
	ResetAttempts(share float64)                              // resets a share of the attempts; 0: none
	CorruptResponses(share float64)                           // corrupts a share of the responses; 0: none
	SilenceMeter(silent bool)                                 // stops or resumes the readings of the meter

	SetDiscoveryDown(down bool)        // makes discovery unreachable or reachable again
	SilenceWatches()                   // makes all open watches deliver nothing more
	MoveDiscovery()                    // moves discovery to another address
	SetListDelayFactor(factor float64) // multiplies the delays of list updates; 1 restores the usual delays
}

// ScheduleFaults schedules the faults of a scenario. It must be called when the load begins, since the times of faults
// count from then.
func ScheduleFaults(scenario *emulator.Scenario, scheduler emulator.Scheduler, random *rand.Rand, target FaultTarget,
	observer emulator.Observer) {
	for _, fault := range scenario.Faults {
		injector := &faultInjector{fault: fault, scheduler: scheduler, random: random, target: target, observer: observer}
		scheduler.After(fault.At.AsDuration(), injector.begin)
	}
}

// faultInjector carries out one fault.
type faultInjector struct {
	fault     emulator.Fault
	scheduler emulator.Scheduler
	random    *rand.Rand
	target    FaultTarget
	observer  emulator.Observer
}

// begin starts the fault and schedules its end.
func (f *faultInjector) begin() {
	f.observe(true)
	switch f.fault.Kind {
	case emulator.FaultKillGateways, emulator.FaultRestartGateways:
		f.applyToGateways()
	case emulator.FaultDrainEndpoints, emulator.FaultReplace, emulator.FaultStopEndpoints,
		emulator.FaultSlowEndpoints, emulator.FaultFailEndpoints, emulator.FaultSilentEndpoints:
		f.applyToEndpoints(f.selectEndpoints())
	case emulator.FaultPartition:
		f.partition()
	default:
		f.applyToSharedServices()
	}
	f.scheduler.After(f.fault.Length.AsDuration(), func() { f.observe(false) })
}

// observe reports the start or the end of the fault to the observer.
func (f *faultInjector) observe(active bool) {
	if f.observer != nil {
		f.observer.Observe(f.scheduler.Now(), emulator.FaultChanged{Fault: f.fault, Active: active})
	}
}

// runForLength calls begin now and end when the fault is over.
func (f *faultInjector) runForLength(begin, end func()) {
	begin()
	f.scheduler.After(f.fault.Length.AsDuration(), end)
}

// applyToGateways kills the selected gateways for the length of the fault, or restarts them in groups.
func (f *faultInjector) applyToGateways() {
	gateways := f.selectGateways()
	for i, gateway := range gateways {
		if f.fault.Kind == emulator.FaultKillGateways {
			f.runForLength(func() { f.target.KillGateway(gateway) }, func() { f.target.StartGateway(gateway) })
			continue
		}
		group := i * restartGroups / len(gateways)
		wait := f.fault.Length.AsDuration() * time.Duration(group) / restartGroups
		f.scheduler.After(wait, func() { f.target.RestartGateway(gateway) })
	}
}

// applyToEndpoints carries out a fault of endpoints other than a partition.
func (f *faultInjector) applyToEndpoints(ids []policy.EndpointID) {
	factor := f.fault.Factor
	for i, id := range ids {
		switch f.fault.Kind {
		case emulator.FaultDrainEndpoints:
			f.runForLength(func() { f.target.DrainEndpoint(id) }, func() { f.target.StopEndpoint(id) })
		case emulator.FaultReplace:
			wait := f.fault.Length.AsDuration() * time.Duration(i) / time.Duration(len(ids))
			f.scheduler.After(wait, func() { f.replaceEndpoint(id) })
		case emulator.FaultStopEndpoints:
			f.runForLength(func() { f.target.StopEndpoint(id) }, func() { f.target.StartEndpoint(id) })
		case emulator.FaultSlowEndpoints:
			f.runForLength(func() { f.target.SlowEndpoint(id, factor) }, func() { f.target.SlowEndpoint(id, 1) })
		case emulator.FaultFailEndpoints:
			f.runForLength(func() { f.target.FailEndpoint(id, factor) }, func() { f.target.FailEndpoint(id, 0) })
		case emulator.FaultSilentEndpoints:
			f.runForLength(func() { f.target.SilenceEndpoint(id, true) }, func() { f.target.SilenceEndpoint(id, false) })
		}
	}
}

// replaceEndpoint adds a replacement for an endpoint, which drains and then stops.
func (f *faultInjector) replaceEndpoint(id policy.EndpointID) {
	f.target.AddReplacement(id)
	f.target.DrainEndpoint(id)
	f.scheduler.After(replacementDrainTime, func() { f.target.StopEndpoint(id) })
}

// partition cuts off a zone or, if the fault has no zone, each of the selected endpoints.
func (f *faultInjector) partition() {
	if zone := f.fault.Zone - 1; zone >= 0 {
		f.runForLength(func() { f.target.PartitionZone(zone, true) }, func() { f.target.PartitionZone(zone, false) })
		return
	}
	for _, id := range f.selectEndpoints() {
		f.runForLength(func() { f.target.PartitionEndpoint(id, true) }, func() { f.target.PartitionEndpoint(id, false) })
	}
}

// applyToSharedServices carries out the faults of what all gateways share: discovery, the meter, and the responses to
// their attempts.
func (f *faultInjector) applyToSharedServices() {
	target, factor := f.target, f.fault.Factor
	switch f.fault.Kind {
	case emulator.FaultDiscoveryDown:
		f.runForLength(func() { target.SetDiscoveryDown(true) }, func() { target.SetDiscoveryDown(false) })
	case emulator.FaultWatchSilence:
		target.SilenceWatches()
	case emulator.FaultDiscoveryMoves:
		target.MoveDiscovery()
	case emulator.FaultLateLists:
		f.runForLength(func() { target.SetListDelayFactor(factor) }, func() { target.SetListDelayFactor(1) })
	case emulator.FaultResets:
		f.runForLength(func() { target.ResetAttempts(factor) }, func() { target.ResetAttempts(0) })
	case emulator.FaultSpoiltAnswers:
		f.runForLength(func() { target.CorruptResponses(factor) }, func() { target.CorruptResponses(0) })
	case emulator.FaultMeterSilence:
		f.runForLength(func() { target.SilenceMeter(true) }, func() { target.SilenceMeter(false) })
	}
}

// selectGateways returns the gateways of the fault's zone, or a random share of all gateways if the fault has no zone.
func (f *faultInjector) selectGateways() []int {
	var all, inZone []int
	for gateway := range f.target.Gateways() {
		all = append(all, gateway)
		if f.target.GatewayZone(gateway) == f.fault.Zone-1 {
			inZone = append(inZone, gateway)
		}
	}
	if f.fault.Zone > 0 {
		return inZone
	}
	return selectShare(f.random, all, f.fault.Share)
}

// selectEndpoints returns the endpoints of the fault's zone, or a random share of all endpoints if the fault has no
// zone.
func (f *faultInjector) selectEndpoints() []policy.EndpointID {
	var all, inZone []policy.EndpointID
	for _, endpoint := range f.target.Endpoints() {
		all = append(all, endpoint.ID)
		if endpoint.Zone == f.fault.Zone-1 {
			inZone = append(inZone, endpoint.ID)
		}
	}
	if f.fault.Zone > 0 {
		return inZone
	}
	return selectShare(f.random, all, f.fault.Share)
}

// selectShare returns a random selection of the items in their original order. Its size is the rounded share of the
// items, and at least one if there are any.
func selectShare[T any](random *rand.Rand, items []T, share float64) []T {
	count := int(math.Round(share * float64(len(items))))
	count = min(len(items), max(1, count))
	indices := random.Perm(len(items))[:count]
	slices.Sort(indices)
	selected := make([]T, 0, count)
	for _, i := range indices {
		selected = append(selected, items[i])
	}
	return selected
}
