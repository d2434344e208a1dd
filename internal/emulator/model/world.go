package model

import (
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// Stream numbers a stream of the random numbers of a run. Those of the workload are its own.
type Stream uint64

// The streams. Virtual runs and runs over sockets have the same ones, so that both draw the same endpoints and faults
// from a seed.
const (
	StreamServers Stream = iota + 1
	StreamNetwork
	StreamMeter
	StreamDiscovery
	StreamFaults
	StreamGateways
	StreamAttempts
)

// Random returns the random numbers of the stream in a run with the given seed.
func (s Stream) Random(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(s))) }

// cellsPerZone is the number of cells that the endpoints of a zone are divided into.
const cellsPerZone = 4

// CellOf returns the cell of the endpoint with the given number, from 0.
func CellOf(scenario *emulator.Scenario, number int) int {
	return number / Zones(scenario) % cellsPerZone
}

// NewScenarioServer returns the machine of an endpoint as the scenario describes it. startedAt 0 means that it has run
// for long.
func NewScenarioServer(scenario *emulator.Scenario, id policy.EndpointID, zone, cell int, startedAt time.Duration,
	scheduler emulator.Scheduler, random *rand.Rand) *Server {
	spread := scenario.Endpoints.SpeedSpread
	return NewServer(ServerSpec{
		ID:        id,
		Zone:      zone,
		Cell:      cell,
		Endpoints: scenario.Endpoints,
		WarmUp:    scenario.WarmUp,
		Speed:     1 + spread*(2*random.Float64()-1),
		MeanWork:  MeanWork(scenario),
		StartedAt: startedAt,
	}, scheduler, random)
}
