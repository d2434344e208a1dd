package loopback

import (
	"syscall"

	"springfield/internal/emulator/model"
	"springfield/policy"
)

// faultTarget applies the scenario's fault schedule to the world. It skips faults of gateways that are started by hand.
type faultTarget struct{ w *World }

var _ model.FaultTarget = faultTarget{}

// Gateways implements model.FaultTarget.
func (t faultTarget) Gateways() int { return len(t.w.gateways) }

// GatewayZone implements model.FaultTarget.
func (t faultTarget) GatewayZone(gateway int) int { return t.w.gateways[gateway].zone }

// Endpoints implements model.FaultTarget.
func (t faultTarget) Endpoints() []policy.Endpoint { return t.w.discovery.ReadyEndpoints() }

// KillGateway implements model.FaultTarget.
func (t faultTarget) KillGateway(gateway int) { t.w.gateways[gateway].killByFault() }

// StartGateway implements model.FaultTarget.
func (t faultTarget) StartGateway(gateway int) {
	if t.w.startsGateways() {
		t.w.gateways[gateway].start()
	}
}

// RestartGateway implements model.FaultTarget.
func (t faultTarget) RestartGateway(gateway int) { t.w.gateways[gateway].shutDownAndRestart() }

// DrainEndpoint implements model.FaultTarget.
func (t faultTarget) DrainEndpoint(id policy.EndpointID) { t.w.endpoint(id).drain() }

// StopEndpoint implements model.FaultTarget.
func (t faultTarget) StopEndpoint(id policy.EndpointID) { t.w.endpoint(id).stop() }

// StartEndpoint implements model.FaultTarget.
func (t faultTarget) StartEndpoint(id policy.EndpointID) { t.w.endpoint(id).restart() }

// AddReplacement implements model.FaultTarget.
func (t faultTarget) AddReplacement(id policy.EndpointID) {
	replaced := t.w.endpoint(id)
	if err := t.w.addEndpoint(replaced.zone, replaced.cell, t.w.scheduler.Now()); err != nil {
		t.w.logger.Error("adding an endpoint failed", "err", err)
	}
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
	t.w.resetAfterPartition()
}

// PartitionZone implements model.FaultTarget.
func (t faultTarget) PartitionZone(zone int, cut bool) {
	if zone < len(t.w.zonePartitions) {
		t.w.zonePartitions[zone] += partitionChange(cut)
		t.w.resetAfterPartition()
	}
}

func partitionChange(cut bool) int {
	if cut {
		return 1
	}
	return -1
}

// resetAfterPartition resets the connections on which data was lost in a partition that no longer separates their
// endpoints from their gateways.
func (w *World) resetAfterPartition() {
	for _, e := range w.endpoints {
		for _, c := range e.connections {
			if c.lostByPartition && w.reachable(c.gateway, e) {
				c.closeWithReset()
			}
		}
	}
}

// ResetAttempts implements model.FaultTarget.
func (t faultTarget) ResetAttempts(share float64) { t.w.resetShare = share }

// CorruptResponses implements model.FaultTarget.
func (t faultTarget) CorruptResponses(share float64) { t.w.spoiltShare = share }

// SilenceMeter implements model.FaultTarget.
func (t faultTarget) SilenceMeter(silent bool) { t.w.meter.SetSilent(silent) }

// SetDiscoveryDown implements model.FaultTarget.
func (t faultTarget) SetDiscoveryDown(down bool) {
	t.w.discoveryDown = down
	t.w.discovery.SetDown(down)
	for _, g := range t.w.gateways {
		g.agent.wakeCalls()
	}
}

// SilenceWatches implements model.FaultTarget. With pushed discovery, the agents still receive changes: only their
// watches to the gateways fall silent.
func (t faultTarget) SilenceWatches() {
	if t.w.scenario.Discovery.Polled {
		t.w.discovery.Silence()
	}
	for _, g := range t.w.gateways {
		g.agent.silence()
	}
}

// MoveDiscovery implements model.FaultTarget. It moves each agent to a new address, writes that address to the
// gateway's configuration and sends SIGHUP.
func (t faultTarget) MoveDiscovery() {
	if !t.w.startsGateways() {
		return
	}
	for _, g := range t.w.gateways {
		g.moveDiscovery()
	}
}

// moveDiscovery moves the agent of the gateway to a new address, writes that address to the configuration and sends
// SIGHUP.
func (g *gateway) moveDiscovery() {
	err := g.agent.moveToNewAddress()
	if err == nil {
		err = g.writeConfig()
	}
	if err != nil {
		g.world.logger.Error("moving discovery failed", "gateway", g.index, "err", err)
		return
	}
	if g.process != nil {
		g.signal(syscall.SIGHUP)
	}
}

// SetListDelayFactor implements model.FaultTarget.
func (t faultTarget) SetListDelayFactor(factor float64) { t.w.discovery.SetListDelayFactor(factor) }
