package virtual

import (
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// faultTarget applies the faults of a scenario to the world.
type faultTarget struct{ w *world }

var _ model.FaultTarget = faultTarget{}

// Gateways implements model.FaultTarget.
func (t faultTarget) Gateways() int { return len(t.w.gateways) }

// GatewayZone implements model.FaultTarget.
func (t faultTarget) GatewayZone(gateway int) int { return t.w.gateways[gateway].zone }

// Endpoints implements model.FaultTarget.
func (t faultTarget) Endpoints() []policy.Endpoint { return t.w.discovery.ReadyEndpoints() }

// KillGateway implements model.FaultTarget.
func (t faultTarget) KillGateway(gateway int) { t.w.gateways[gateway].kill() }

// StartGateway implements model.FaultTarget.
func (t faultTarget) StartGateway(gateway int) {
	g := t.w.gateways[gateway]
	if !g.running {
		g.start(g.cachedList())
	}
}

// RestartGateway implements model.FaultTarget.
func (t faultTarget) RestartGateway(gateway int) { t.w.gateways[gateway].restart() }

// DrainEndpoint implements model.FaultTarget.
func (t faultTarget) DrainEndpoint(id policy.EndpointID) {
	e := t.w.endpoint(id)
	if !e.stopped() {
		e.server.Drain()
		t.w.publish(e, policy.StateDraining)
	}
}

// StopEndpoint implements model.FaultTarget.
func (t faultTarget) StopEndpoint(id policy.EndpointID) { t.w.stopEndpoint(t.w.endpoint(id)) }

// StartEndpoint implements model.FaultTarget.
func (t faultTarget) StartEndpoint(id policy.EndpointID) { t.w.startEndpoint(t.w.endpoint(id)) }

// AddReplacement implements model.FaultTarget.
func (t faultTarget) AddReplacement(id policy.EndpointID) {
	replaced := t.w.endpoint(id)
	t.w.addEndpoint(replaced.zone, replaced.cell, t.w.scheduler.Now())
}

// SlowEndpoint implements model.FaultTarget.
func (t faultTarget) SlowEndpoint(id policy.EndpointID, factor float64) {
	t.w.endpoint(id).server.SetSlowdown(factor)
}

// FailEndpoint implements model.FaultTarget.
func (t faultTarget) FailEndpoint(id policy.EndpointID, share float64) {
	t.w.endpoint(id).server.SetErrorShare(share)
}

// SilenceEndpoint implements model.FaultTarget.
func (t faultTarget) SilenceEndpoint(id policy.EndpointID, silent bool) {
	t.w.endpoint(id).server.SetSilent(silent)
}

// PartitionEndpoint implements model.FaultTarget.
func (t faultTarget) PartitionEndpoint(id policy.EndpointID, cut bool) {
	t.w.endpoint(id).partitions += partitionChange(cut)
}

// PartitionZone implements model.FaultTarget.
func (t faultTarget) PartitionZone(zone int, cut bool) {
	if zone < len(t.w.partitionsByZone) {
		t.w.partitionsByZone[zone] += partitionChange(cut)
	}
}

func partitionChange(cut bool) int {
	if cut {
		return 1
	}
	return -1
}

// ResetAttempts implements model.FaultTarget.
func (t faultTarget) ResetAttempts(share float64) { t.w.resetShare = share }

// CorruptResponses implements model.FaultTarget.
func (t faultTarget) CorruptResponses(share float64) { t.w.spoiltShare = share }

// SilenceMeter implements model.FaultTarget.
func (t faultTarget) SilenceMeter(silent bool) { t.w.meter.SetSilent(silent) }

// SetDiscoveryDown implements model.FaultTarget.
func (t faultTarget) SetDiscoveryDown(down bool) { t.w.discovery.SetDown(down) }

// SilenceWatches implements model.FaultTarget. The gateways detect the silence by the missing keep-alive lines and
// reopen their watches after watchTimeout.
func (t faultTarget) SilenceWatches() {
	t.w.discovery.Silence()
	for _, g := range t.w.gateways {
		if g.running {
			g.reopenWatch(watchTimeout)
		}
	}
}

// MoveDiscovery implements model.FaultTarget. The gateways are configured with the new address of discovery and open
// new watches there.
func (t faultTarget) MoveDiscovery() {
	for _, g := range t.w.gateways {
		if g.running {
			g.reopenWatch(0)
		}
	}
}

// SetListDelayFactor implements model.FaultTarget.
func (t faultTarget) SetListDelayFactor(factor float64) { t.w.discovery.SetListDelayFactor(factor) }
