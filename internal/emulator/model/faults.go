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
	// restartGroups is the number of groups in which a rolling restart shuts gateways down.
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

	KillGateway(gateway int)
	StartGateway(gateway int)
	RestartGateway(gateway int) // shuts the gateway down gracefully and starts it again once it has ended

	DrainEndpoint(id policy.EndpointID)
	StopEndpoint(id policy.EndpointID)                 // ends the endpoint's process
	StartEndpoint(id policy.EndpointID)                // starts a new process, which warms up
	AddReplacement(id policy.EndpointID)               // adds a new endpoint in the place of this one
	SlowEndpoint(id policy.EndpointID, factor float64) // a factor of 1 restores the usual speed
	FailEndpoint(id policy.EndpointID, share float64)
	SilenceEndpoint(id policy.EndpointID, silent bool)

	PartitionEndpoint(id policy.EndpointID, partitioned bool)
	PartitionZone(zone int, partitioned bool) // cuts the zone off from the other zones
	ResetAttempts(share float64)
	CorruptResponses(share float64)
	SilenceMeter(silent bool)

	SetDiscoveryDown(down bool)
	SilenceWatches()
	MoveDiscovery()
	SetListDelayFactor(factor float64) // a factor of 1 restores the usual delays
}

// ScheduleFaults schedules the faults of a scenario. It must be called when the load begins, since the times of faults
// count from then.
func ScheduleFaults(scenario *emulator.Scenario, scheduler emulator.Scheduler, random *rand.Rand, target FaultTarget,
	observer emulator.Observer) {
	for _, fault := range scenario.Faults {
		s := &faultInjector{fault: fault, scheduler: scheduler, random: random, target: target, observer: observer}
		scheduler.After(fault.At.AsDuration(), s.begin)
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

func (s *faultInjector) begin() {
	s.observe(true)
	switch s.fault.Kind {
	case emulator.FaultKillGateways, emulator.FaultRestartGateways:
		s.applyToGateways()
	case emulator.FaultDrainEndpoints, emulator.FaultReplace, emulator.FaultStopEndpoints,
		emulator.FaultSlowEndpoints, emulator.FaultFailEndpoints, emulator.FaultSilentEndpoints:
		s.applyToEndpoints(s.selectEndpoints())
	case emulator.FaultPartition:
		s.partition()
	default:
		s.applyToSharedServices()
	}
	s.scheduler.After(s.fault.Length.AsDuration(), func() { s.observe(false) })
}

func (s *faultInjector) observe(active bool) {
	if s.observer != nil {
		s.observer.Observe(s.scheduler.Now(), emulator.FaultChanged{Fault: s.fault, Active: active})
	}
}

// runForLength calls begin now and end when the fault is over.
func (s *faultInjector) runForLength(begin, end func()) {
	begin()
	s.scheduler.After(s.fault.Length.AsDuration(), end)
}

func (s *faultInjector) applyToGateways() {
	gateways := s.selectGateways()
	for i, gateway := range gateways {
		if s.fault.Kind == emulator.FaultKillGateways {
			s.runForLength(func() { s.target.KillGateway(gateway) }, func() { s.target.StartGateway(gateway) })
			continue
		}
		group := i * restartGroups / len(gateways)
		wait := s.fault.Length.AsDuration() * time.Duration(group) / restartGroups
		s.scheduler.After(wait, func() { s.target.RestartGateway(gateway) })
	}
}

func (s *faultInjector) applyToEndpoints(ids []policy.EndpointID) {
	factor := s.fault.Factor
	for i, id := range ids {
		switch s.fault.Kind {
		case emulator.FaultDrainEndpoints:
			s.runForLength(func() { s.target.DrainEndpoint(id) }, func() { s.target.StopEndpoint(id) })
		case emulator.FaultReplace:
			wait := s.fault.Length.AsDuration() * time.Duration(i) / time.Duration(len(ids))
			s.scheduler.After(wait, func() { s.replaceEndpoint(id) })
		case emulator.FaultStopEndpoints:
			s.runForLength(func() { s.target.StopEndpoint(id) }, func() { s.target.StartEndpoint(id) })
		case emulator.FaultSlowEndpoints:
			s.runForLength(func() { s.target.SlowEndpoint(id, factor) }, func() { s.target.SlowEndpoint(id, 1) })
		case emulator.FaultFailEndpoints:
			s.runForLength(func() { s.target.FailEndpoint(id, factor) }, func() { s.target.FailEndpoint(id, 0) })
		case emulator.FaultSilentEndpoints:
			s.runForLength(func() { s.target.SilenceEndpoint(id, true) }, func() { s.target.SilenceEndpoint(id, false) })
		}
	}
}

// replaceEndpoint adds a replacement for an endpoint, which drains and then stops.
func (s *faultInjector) replaceEndpoint(id policy.EndpointID) {
	s.target.AddReplacement(id)
	s.target.DrainEndpoint(id)
	s.scheduler.After(replacementDrainTime, func() { s.target.StopEndpoint(id) })
}

func (s *faultInjector) partition() {
	if zone := s.fault.Zone - 1; zone >= 0 {
		s.runForLength(func() { s.target.PartitionZone(zone, true) }, func() { s.target.PartitionZone(zone, false) })
		return
	}
	for _, id := range s.selectEndpoints() {
		s.runForLength(func() { s.target.PartitionEndpoint(id, true) }, func() { s.target.PartitionEndpoint(id, false) })
	}
}

// applyToSharedServices carries out the faults of what all gateways share: discovery, the meter, and the responses to
// their attempts.
func (s *faultInjector) applyToSharedServices() {
	target, factor := s.target, s.fault.Factor
	switch s.fault.Kind {
	case emulator.FaultDiscoveryDown:
		s.runForLength(func() { target.SetDiscoveryDown(true) }, func() { target.SetDiscoveryDown(false) })
	case emulator.FaultWatchSilence:
		target.SilenceWatches()
	case emulator.FaultDiscoveryMoves:
		target.MoveDiscovery()
	case emulator.FaultLateLists:
		s.runForLength(func() { target.SetListDelayFactor(factor) }, func() { target.SetListDelayFactor(1) })
	case emulator.FaultResets:
		s.runForLength(func() { target.ResetAttempts(factor) }, func() { target.ResetAttempts(0) })
	case emulator.FaultSpoiltAnswers:
		s.runForLength(func() { target.CorruptResponses(factor) }, func() { target.CorruptResponses(0) })
	case emulator.FaultMeterSilence:
		s.runForLength(func() { target.SilenceMeter(true) }, func() { target.SilenceMeter(false) })
	}
}

// selectGateways returns the gateways of the fault's zone, or a random share of all gateways if the fault has no zone.
func (s *faultInjector) selectGateways() []int {
	var all, inZone []int
	for gateway := range s.target.Gateways() {
		all = append(all, gateway)
		if s.target.GatewayZone(gateway) == s.fault.Zone-1 {
			inZone = append(inZone, gateway)
		}
	}
	if s.fault.Zone > 0 {
		return inZone
	}
	return selectShare(s.random, all, s.fault.Share)
}

// selectEndpoints returns the endpoints of the fault's zone, or a random share of all endpoints if the fault has no
// zone.
func (s *faultInjector) selectEndpoints() []policy.EndpointID {
	var all, inZone []policy.EndpointID
	for _, endpoint := range s.target.Endpoints() {
		all = append(all, endpoint.ID)
		if endpoint.Zone == s.fault.Zone-1 {
			inZone = append(inZone, endpoint.ID)
		}
	}
	if s.fault.Zone > 0 {
		return inZone
	}
	return selectShare(s.random, all, s.fault.Share)
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
