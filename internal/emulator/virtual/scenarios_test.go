package virtual

import (
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
)

// fleetScenario returns a deployment of many gateways. Each customer uses 1% to 5% of the gateways, and the connection
// limit of an endpoint grows with the number of gateways.
func fleetScenario(gateways, endpoints int) emulator.Scenario {
	scenario := model.DefaultScenario()
	scenario.Name = "fleet"
	scenario.Length = emulator.Duration(30 * time.Second)
	scenario.Gateways, scenario.Zones = gateways, 3
	scenario.Endpoints.Count = endpoints
	scenario.Endpoints.MaxConnections = 4 * gateways
	scenario.Clients.SetMin, scenario.Clients.SetMax = 0.01, 0.05
	return scenario
}

// faultyScenario returns a small deployment in which each kind of fault occurs.
func faultyScenario() emulator.Scenario {
	scenario := model.DefaultScenario()
	scenario.Name = "faulty"
	scenario.Length = emulator.Duration(30 * time.Second)
	scenario.Gateways, scenario.Zones, scenario.Endpoints.Count = 10, 2, 16
	scenario.Clients.Abandon = 0.02
	fault := func(kind emulator.FaultKind, at, length time.Duration, share, factor float64) {
		scenario.Faults = append(scenario.Faults, emulator.Fault{
			Kind: kind, At: emulator.Duration(at), Length: emulator.Duration(length), Share: share, Factor: factor,
		})
	}
	fault(emulator.FaultKillGateways, 2*time.Second, 2*time.Second, 0.2, 0)
	fault(emulator.FaultRestartGateways, 5*time.Second, 4*time.Second, 1, 0)
	fault(emulator.FaultDrainEndpoints, 6*time.Second, 4*time.Second, 0.1, 0)
	fault(emulator.FaultReplace, 8*time.Second, 5*time.Second, 0.25, 0)
	fault(emulator.FaultStopEndpoints, 10*time.Second, 3*time.Second, 0.1, 0)
	fault(emulator.FaultSlowEndpoints, 12*time.Second, 5*time.Second, 0.1, 3)
	fault(emulator.FaultFailEndpoints, 12*time.Second, 5*time.Second, 0.1, 0.5)
	fault(emulator.FaultSilentEndpoints, 14*time.Second, 5*time.Second, 0.1, 0)
	fault(emulator.FaultPartition, 16*time.Second, 3*time.Second, 0.1, 0)
	fault(emulator.FaultDiscoveryDown, 9*time.Second, 2*time.Second, 0, 0)
	fault(emulator.FaultWatchSilence, 7*time.Second, 0, 0, 0)
	fault(emulator.FaultDiscoveryMoves, 15*time.Second, 0, 0, 0)
	fault(emulator.FaultLateLists, 20*time.Second, 4*time.Second, 0, 2)
	fault(emulator.FaultResets, 20*time.Second, 4*time.Second, 0, 0.1)
	fault(emulator.FaultSpoiltAnswers, 22*time.Second, 4*time.Second, 0, 0.1)
	fault(emulator.FaultMeterSilence, 22*time.Second, 4*time.Second, 0, 0)
	scenario.Faults = append(scenario.Faults, emulator.Fault{
		Kind: emulator.FaultPartition, At: emulator.Duration(24 * time.Second), Length: emulator.Duration(2 * time.Second),
		Zone: 1,
	})
	return scenario
}
