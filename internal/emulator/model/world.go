package model

import (
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// Stream identifies one of the random number streams of a run.
type Stream uint64

// The random number streams of a run. Virtual runs and loopback runs use the same streams, so that both draw the same
// endpoints and faults from a seed.
const (
	StreamServers Stream = iota + 1
	StreamNetwork
	StreamMeter
	StreamDiscovery
	StreamFaults
	StreamGateways
	StreamAttempts
	StreamCustomers
	StreamArrivals
	StreamRetries
)

// Random returns a random number generator for the stream in a run with the given seed.
func (s Stream) Random(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(s))) }

// cellsPerZone is the number of cells into which the endpoints of a zone are divided.
const cellsPerZone = 4

// CellOf returns the cell, counted from 0, of the endpoint with the given number.
func CellOf(scenario *emulator.Scenario, number int) int {
	return number / Zones(scenario) % cellsPerZone
}

// NewScenarioServer returns the model of an endpoint as the scenario describes it. A startedAt of 0 means that the
// endpoint started long ago and is warm.
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
