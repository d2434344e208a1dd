package soak

import (
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
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

	shortDeadlineConnectDelay = 60 * time.Millisecond
	hurriedShare              = 0.5 // share of the requests that have little time left

	closeIdleInterval = 250 * time.Millisecond // time between two closes of all idle connections to endpoints
	rejectedShare     = 0.25                   // share of the attempts that endpoints reject
	failedShare       = 0.5                    // share of the attempts that fail after their execution

	surgeFactor   = 2 // factor by which the load grows in a surge
	surgeDowntime = 300 * time.Millisecond
)

// aimScenario adapts the scenario of a run to its aimed faults.
func (p *Plan) aimScenario(scenario *emulator.Scenario) {
	for _, fault := range p.Faults {
		switch fault.Kind {
		case DrainDuringDial:
			scenario.Endpoints.DrainGrace = emulator.Duration(shortDrainGrace)
			scenario.Network.DialTimeout = emulator.Duration(drainDialTimeout)
		case LeavingClients:
			scenario.Network.DialTimeout = max(scenario.Network.DialTimeout, emulator.Duration(leaveDialTimeout))
		case RestartSurge:
			scenario.Clients.BurstAt = emulator.Duration(fault.At)
			scenario.Clients.BurstLength = emulator.Duration(fault.Length)
			scenario.Clients.BurstFactor = surgeFactor
		}
	}
}

// injectEarly carries out a fault that needs preparation from the start of the load on. It reports false for other
// kinds.
func (r *runner) injectEarly(fault Fault) bool {
	if fault.Kind != EvictedRequests {
		return false
	}
	if !r.pause(startDelay) {
		return true
	}
	gateway := r.pickGateways(fault)[0]
	r.probes.evictRequests(r.world.Addresses().Gateways[gateway].Listen, r.faultRandom(fault, gateway), r.pause)
	return true
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

// injectAimed carries out a fault that is aimed at a state of the gateways. It reports false for other kinds.
func (r *runner) injectAimed(fault Fault) bool {
	switch fault.Kind {
	case DrainDuringDial:
		r.drainDuringDials(fault.Length)
	case LeavingClients:
		r.world.DisconnectClients(leaveShare, fault.Length)
		r.world.RejectAttempts(rejectedShare, fault.Length)
		r.world.DelayConnects(leaveConnectDelay, fault.Length)
		r.closeIdleRepeatedly(fault.Length)
	case RestartSurge:
		r.world.RestartEndpoints(surgeDowntime)
	case FailAfterExecution:
		r.world.FailAfterExecution(failedShare, fault.Length)
	case ShortDeadlines:
		r.world.HurryClients(hurriedShare, fault.Length)
		r.world.RejectAttempts(rejectedShare, fault.Length)
		r.world.DelayConnects(shortDeadlineConnectDelay, fault.Length)
		r.closeIdleRepeatedly(fault.Length)
	case RequestsAtShutdown:
		for _, gateway := range r.pickGateways(fault) {
			address := r.world.Addresses().Gateways[gateway].Listen
			r.faultyClients.goroutines.Go(func() {
				r.probes.crossShutdown(address, r.faultRandom(fault, gateway), func() { r.world.RestartGateway(gateway) })
			})
		}
	default:
		return false
	}
	return true
}

// drainDuringDials drains endpoints one after another. Connects are delayed and idle connections are closed before each
// drain, so that dials to the endpoint are pending when the gateways are notified.
func (r *runner) drainDuringDials(length time.Duration) {
	r.world.DelayConnects(drainConnectDelay, length)
	for remaining := length; remaining > 0; remaining -= drainInterval {
		r.world.CloseIdleUpstream()
		if !r.pause(drainAfterClose) {
			return
		}
		r.world.DrainRandomEndpoint(drainedStopDelay, drainedRestartDelay)
		if !r.pause(drainInterval - drainAfterClose) {
			return
		}
	}
}

// closeIdleRepeatedly closes the idle connections to endpoints for a time, so that many attempts have to open new ones.
func (r *runner) closeIdleRepeatedly(length time.Duration) {
	for remaining := length; remaining > 0; remaining -= closeIdleInterval {
		r.world.CloseIdleUpstream()
		if !r.pause(closeIdleInterval) {
			return
		}
	}
}
