package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/loopback"
	"springfield/internal/faultinjection"
)

// Parameters of aimed faults. A delayed connect takes longer than the limit that the gateway has to keep meanwhile, and
// less than the dial timeout of the run.
const (
	drainConnectDelay   = 700 * time.Millisecond
	drainDialTimeout    = 900 * time.Millisecond
	shortDrainGrace     = 300 * time.Millisecond // shorter than drainConnectDelay
	drainInterval       = 700 * time.Millisecond // time between the drains of two endpoints
	drainAfterClose     = 100 * time.Millisecond // from the close of idle connections to a drain
	drainedStopDelay    = 900 * time.Millisecond // from the drain of an endpoint to its stop
	drainedRestartDelay = 200 * time.Millisecond // from the stop of an endpoint to its restart

	leaveConnectDelay = 350 * time.Millisecond // longer than the grace after a disconnect
	leaveDialTimeout  = 600 * time.Millisecond
	leaveShare        = 0.5 // share of the clients that leave early

	pausedConnectDelay = 150 * time.Millisecond
	leavePause         = 250 * time.Millisecond // longer than the delay of a connect and the grace after a disconnect
	leavePauseInterval = 500 * time.Millisecond // time between the pauses of two groups of gateways
	leavePauseCount    = 3                      // number of groups

	shortDeadlineConnectDelay = 60 * time.Millisecond
	hurriedShare              = 0.5 // share of the requests that have little time left

	evictedConnectDelay = 150 * time.Millisecond // at the gateway that evicts connections

	closeIdleInterval = 250 * time.Millisecond // time between two closes of all idle connections to endpoints
	rejectedShare     = 0.25                   // share of the attempts that endpoints reject
	failedShare       = 0.5                    // share of the attempts that fail after their execution

	damagedListShare   = 0.6                     // share of the lists and changes that are damaged
	listChangeInterval = 600 * time.Millisecond  // time between two drains while lists are damaged
	changedStopDelay   = 2500 * time.Millisecond // from such a drain to the stop of the endpoint

	configMoves        = 3                      // number of moves of discovery, and of SIGHUP
	configMoveInterval = 150 * time.Millisecond // time between two moves

	variedShare = 0.7 // share of the requests in unusual forms

	surgeFactor   = 2 // factor by which the load grows in a surge
	surgeDowntime = 300 * time.Millisecond

	// surgeInitialCapacity is the share of its capacity with which an endpoint starts in a surge. With a larger share,
	// the limits of the gateways on attempts in flight keep the bound of slow start by themselves.
	surgeInitialCapacity = 0.05
)

// aimScenario adapts the scenario of a run to its aimed faults.
func (p *Plan) aimScenario(scenario *emulator.Scenario) {
	for _, fault := range p.Faults {
		switch fault.Kind {
		case DrainDuringDial:
			scenario.Endpoints.DrainGrace = emulator.Duration(shortDrainGrace)
			scenario.Network.DialTimeout = emulator.Duration(drainDialTimeout)
		case LeavingClients, LeaveDuringPause:
			scenario.Network.DialTimeout = max(scenario.Network.DialTimeout, emulator.Duration(leaveDialTimeout))
		case RestartSurge:
			scenario.Clients.BurstAt = emulator.Duration(fault.At)
			scenario.Clients.BurstLength = emulator.Duration(fault.Length)
			scenario.Clients.BurstFactor = surgeFactor
			scenario.WarmUp.InitialCapacity = surgeInitialCapacity
		}
	}
}

// injectEarly carries out a fault that needs preparation from the start of the load on. It reports false for other
// kinds.
func (r *runner) injectEarly(fault Fault) bool {
	if fault.Kind != EvictedRequests && fault.Kind != ConfigReads {
		return false
	}
	if !r.pause(startDelay) {
		return true
	}
	if fault.Kind == ConfigReads {
		r.failConfigReads(fault)
	} else {
		r.evictRequests(fault)
	}
	return true
}

// failConfigReads makes reads of the configuration fail at some gateways while discovery moves to new addresses, with
// SIGHUP each time. Then an endpoint drains for the rest of the run, which gateways learn only at the last address.
func (r *runner) failConfigReads(fault Fault) {
	gateways := r.pickGateways(fault)
	for position, gateway := range gateways {
		failure := readFailures[r.errorIndex(position, len(readFailures))]
		r.world.FailSystemCalls(gateway, faultinjection.Read+" "+failure, min(fault.Length, configRereadTime))
	}
	for range configMoves {
		for _, gateway := range gateways {
			r.world.MoveDiscovery(gateway)
		}
		if !r.pause(configMoveInterval) {
			return
		}
	}
	r.world.DrainRandomEndpoint(r.plan.loadLength(), 0)
}

// readFailures lists the failures of reads of a configuration. Each affected gateway gets one of them.
var readFailures = []string{"EIO", faultinjection.Short, "EINTR", "EMFILE", "ENOENT"}

// evictRequests makes a gateway evict connections while requests arrive on them.
func (r *runner) evictRequests(fault Fault) {
	gateway := r.pickGateways(fault)[0]
	// Requests at this gateway spend most of their time before the first byte of their attempts.
	r.world.FailSystemCalls(gateway, faultinjection.LateConnect(evictedConnectDelay), r.plan.loadLength())
	r.faultyClients.goroutines.Go(func() { r.closeIdleRepeatedly(gateway, r.plan.loadLength()) })
	keepConnection := func() { _ = r.world.KeepConnection(gateway) } // a failure leaves one connection less
	address := r.world.Addresses().Gateways[gateway].Listen
	r.probes.evictRequests(address, r.faultRandom(fault, gateway), keepConnection, r.pause)
}

// startDelay is the time from the start of a run until its load has begun.
const startDelay = 300 * time.Millisecond

// faultRandom returns the random numbers of a fault at a gateway.
func (r *runner) faultRandom(fault Fault, gateway int) *rand.Rand {
	return rand.New(rand.NewPCG(r.plan.Seed, uint64(fault.At)+uint64(gateway)))
}

// lostProbeRequests returns the number of requests of probes that gateways have lost. A killed gateway may lose
// requests, and a fault that starts gateways without a list kills them.
func (r *runner) lostProbeRequests() int {
	if r.gatewaysAreKilled() || r.plan.has(SlowLists) {
		return 0
	}
	return int(r.probes.lost.Load())
}

// endpointAge returns how long ago the endpoints of a run started. A restart must be noticed both with and without a
// known start time before. The age is longer than any plausible offset of a clock.
func (p *Plan) endpointAge() time.Duration {
	const age = 3 * time.Hour
	if p.has(RestartSurge) || p.Seed%2 == 1 {
		return age
	}
	return 0
}

// injectAimed carries out a fault that is aimed at a state of the gateways. It reports false for other kinds.
func (r *runner) injectAimed(fault Fault) bool {
	switch fault.Kind {
	case DrainDuringDial:
		r.drainDuringDials(fault.Length)
	case LeavingClients:
		r.world.DisconnectClients(leaveShare, fault.Length)
		r.world.RejectAttempts(rejectedShare, fault.Length)
		r.world.DelayConnects(leaveConnectDelay, fault.Length)
		r.closeIdleRepeatedly(loopback.AllGateways, fault.Length)
	case LeaveDuringPause:
		r.leaveDuringPauses(fault)
	case RestartSurge:
		r.world.RestartEndpoints(surgeDowntime)
	case FailAfterExecution:
		r.world.FailAfterExecution(failedShare, fault.Length)
	case ShortDeadlines:
		r.world.HurryClients(hurriedShare, fault.Length)
		r.world.RejectAttempts(rejectedShare, fault.Length)
		r.world.DelayConnects(shortDeadlineConnectDelay, fault.Length)
		r.closeIdleRepeatedly(loopback.AllGateways, fault.Length)
	case RequestsAtShutdown:
		for _, gateway := range r.pickGateways(fault) {
			address := r.world.Addresses().Gateways[gateway].Listen
			r.faultyClients.goroutines.Go(func() {
				r.probes.crossShutdown(address, r.faultRandom(fault, gateway), func() { r.world.RestartGateway(gateway) })
			})
		}
	case DiscoveryBytes:
		r.world.DamageLists(damagedListShare, fault.Length)
		for remaining := fault.Length; remaining > 0 && r.pause(listChangeInterval); remaining -= listChangeInterval {
			r.world.DrainRandomEndpoint(changedStopDelay, drainedRestartDelay)
		}
	case ClientBytes:
		r.world.VaryRequests(variedShare, fault.Length)
	default:
		return false
	}
	return true
}

// leaveDuringPauses suspends groups of gateways one after another while dials are pending, and lets their clients
// disconnect meanwhile. It suspends each gateway once: a request that arrives during a pause is read late, and a second
// pause could delay its answer beyond the grace after its deadline.
func (r *runner) leaveDuringPauses(fault Fault) {
	gateways := r.faultRandom(fault, 0).Perm(r.plan.Gateways)
	groupSize := r.plan.affectedGateways()
	r.world.DelayConnects(pausedConnectDelay, fault.Length)
	for group := range slices.Chunk(gateways[:leavePauseCount*groupSize], groupSize) {
		r.world.CloseIdleUpstream(loopback.AllGateways)
		if !r.pause(pausedConnectDelay / 2) {
			return
		}
		for _, gateway := range group {
			r.world.LeaveDuringPause(gateway, leavePause)
		}
		if !r.pause(leavePauseInterval - pausedConnectDelay/2) {
			return
		}
	}
}

// drainDuringDials drains endpoints one after another. Connects are delayed and idle connections are closed before each
// drain, so that dials to the endpoint are pending when the gateways are notified.
func (r *runner) drainDuringDials(length time.Duration) {
	r.world.DelayConnects(drainConnectDelay, length)
	for remaining := length; remaining > 0; remaining -= drainInterval {
		r.world.CloseIdleUpstream(loopback.AllGateways)
		if !r.pause(drainAfterClose) {
			return
		}
		r.world.DrainRandomEndpoint(drainedStopDelay, drainedRestartDelay)
		if !r.pause(drainInterval - drainAfterClose) {
			return
		}
	}
}

// closeIdleRepeatedly closes the idle connections of a gateway, or of all gateways, to endpoints for a time, so that
// many attempts have to open new ones.
func (r *runner) closeIdleRepeatedly(gateway int, length time.Duration) {
	for remaining := length; remaining > 0; remaining -= closeIdleInterval {
		r.world.CloseIdleUpstream(gateway)
		if !r.pause(closeIdleInterval) {
			return
		}
	}
}
