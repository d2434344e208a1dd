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

	// replacedDrain is how long an endpoint that is being replaced drains before it stops.
	replacedDrain = 5 * time.Second
)

// FaultTarget is a deployment that faults can be made in.
type FaultTarget interface {
	// Gateways returns the number of gateways, and GatewayZone the zone of one.
	Gateways() int
	GatewayZone(gateway int) int
	// Endpoints returns the endpoints that neither drain nor are stopped, by id.
	Endpoints() []policy.Endpoint

	KillGateway(gateway int)
	StartGateway(gateway int)
	RestartGateway(gateway int) // shuts it down gracefully, and starts it when it has ended

	DrainEndpoint(id policy.EndpointID)
	StopEndpoint(id policy.EndpointID)  // ends its process
	StartEndpoint(id policy.EndpointID) // warming up
	AddReplacement(id policy.EndpointID)
	SlowEndpoint(id policy.EndpointID, factor float64) // 1: as usual
	FailEndpoint(id policy.EndpointID, share float64)
	SilenceEndpoint(id policy.EndpointID, silent bool)

	PartitionEndpoint(id policy.EndpointID, cut bool)
	PartitionZone(zone int, cut bool) // off from the other zones
	ResetAttempts(share float64)
	CorruptResponses(share float64)
	SilenceMeter(silent bool)

	SetDiscoveryDown(down bool)
	SilenceWatches()
	MoveDiscovery()
	SetListDelayFactor(factor float64) // 1: as usual
}

// ScheduleFaults schedules the faults of a scenario. It is called when the load begins.
func ScheduleFaults(scenario *emulator.Scenario, scheduler emulator.Scheduler, random *rand.Rand, target FaultTarget,
	observer emulator.Observer) {
	for _, fault := range scenario.Faults {
		s := &faultScheduler{fault: fault, scheduler: scheduler, random: random, target: target, observer: observer}
		scheduler.After(fault.At.Of(), s.begin)
	}
}

// faultScheduler carries out one fault.
type faultScheduler struct {
	fault     emulator.Fault
	scheduler emulator.Scheduler
	random    *rand.Rand
	target    FaultTarget
	observer  emulator.Observer
}

func (s *faultScheduler) begin() {
	s.observe(true)
	switch s.fault.Kind {
	case emulator.FaultKillGateways, emulator.FaultRestartGateways:
		s.faultGateways()
	case emulator.FaultDrainEndpoints, emulator.FaultReplace, emulator.FaultStopEndpoints,
		emulator.FaultSlowEndpoints, emulator.FaultFailEndpoints, emulator.FaultSilentEndpoints:
		s.faultEndpoints(s.selectEndpoints())
	case emulator.FaultPartition:
		s.partition()
	default:
		s.faultService()
	}
	s.scheduler.After(s.fault.Length.Of(), func() { s.observe(false) })
}

func (s *faultScheduler) observe(active bool) {
	if s.observer != nil {
		s.observer.Observe(s.scheduler.Now(), emulator.FaultChanged{Fault: s.fault, Active: active})
	}
}

// during runs one function now and another when the fault is over.
func (s *faultScheduler) during(begin, end func()) {
	begin()
	s.scheduler.After(s.fault.Length.Of(), end)
}

func (s *faultScheduler) faultGateways() {
	gateways := s.selectGateways()
	for i, gateway := range gateways {
		if s.fault.Kind == emulator.FaultKillGateways {
			s.during(func() { s.target.KillGateway(gateway) }, func() { s.target.StartGateway(gateway) })
			continue
		}
		group := i * restartGroups / len(gateways)
		wait := s.fault.Length.Of() * time.Duration(group) / restartGroups
		s.scheduler.After(wait, func() { s.target.RestartGateway(gateway) })
	}
}

func (s *faultScheduler) faultEndpoints(ids []policy.EndpointID) {
	factor := s.fault.Factor
	for i, id := range ids {
		switch s.fault.Kind {
		case emulator.FaultDrainEndpoints:
			s.during(func() { s.target.DrainEndpoint(id) }, func() { s.target.StopEndpoint(id) })
		case emulator.FaultReplace:
			wait := s.fault.Length.Of() * time.Duration(i) / time.Duration(len(ids))
			s.scheduler.After(wait, func() { s.replace(id) })
		case emulator.FaultStopEndpoints:
			s.during(func() { s.target.StopEndpoint(id) }, func() { s.target.StartEndpoint(id) })
		case emulator.FaultSlowEndpoints:
			s.during(func() { s.target.SlowEndpoint(id, factor) }, func() { s.target.SlowEndpoint(id, 1) })
		case emulator.FaultFailEndpoints:
			s.during(func() { s.target.FailEndpoint(id, factor) }, func() { s.target.FailEndpoint(id, 0) })
		case emulator.FaultSilentEndpoints:
			s.during(func() { s.target.SilenceEndpoint(id, true) }, func() { s.target.SilenceEndpoint(id, false) })
		}
	}
}

// replace starts a new endpoint in the place of one, which drains and then stops.
func (s *faultScheduler) replace(id policy.EndpointID) {
	s.target.AddReplacement(id)
	s.target.DrainEndpoint(id)
	s.scheduler.After(replacedDrain, func() { s.target.StopEndpoint(id) })
}

func (s *faultScheduler) partition() {
	if zone := s.fault.Zone - 1; zone >= 0 {
		s.during(func() { s.target.PartitionZone(zone, true) }, func() { s.target.PartitionZone(zone, false) })
		return
	}
	for _, id := range s.selectEndpoints() {
		s.during(func() { s.target.PartitionEndpoint(id, true) }, func() { s.target.PartitionEndpoint(id, false) })
	}
}

// faultService carries out the faults of what all gateways share.
func (s *faultScheduler) faultService() {
	target, factor := s.target, s.fault.Factor
	switch s.fault.Kind {
	case emulator.FaultDiscoveryDown:
		s.during(func() { target.SetDiscoveryDown(true) }, func() { target.SetDiscoveryDown(false) })
	case emulator.FaultWatchSilence:
		target.SilenceWatches()
	case emulator.FaultDiscoveryMoves:
		target.MoveDiscovery()
	case emulator.FaultLateLists:
		s.during(func() { target.SetListDelayFactor(factor) }, func() { target.SetListDelayFactor(1) })
	case emulator.FaultResets:
		s.during(func() { target.ResetAttempts(factor) }, func() { target.ResetAttempts(0) })
	case emulator.FaultSpoiltAnswers:
		s.during(func() { target.CorruptResponses(factor) }, func() { target.CorruptResponses(0) })
	case emulator.FaultMeterSilence:
		s.during(func() { target.SilenceMeter(true) }, func() { target.SilenceMeter(false) })
	}
}

// selectGateways returns the gateways of the fault's zone, or else a random share of all.
func (s *faultScheduler) selectGateways() []int {
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

// selectEndpoints returns the endpoints of the fault's zone, or else a random share of all.
func (s *faultScheduler) selectEndpoints() []policy.EndpointID {
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

// selectShare returns a random share of the items, rounded and at least one of them, in their order.
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
