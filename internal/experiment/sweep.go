package experiment

import (
	"math"
	"slices"

	"springfield/internal/emulator"
)

// Sweep repeats an experiment for several values of one scenario key.
type Sweep struct {
	Key    string    `toml:"key"`
	Values []float64 `toml:"values"`
}

// sweepKey describes a scenario key that can be swept.
type sweepKey struct {
	integer bool // accepts only whole numbers
	apply   func(scenario *emulator.Scenario, value float64)
}

// sweepKeys holds the scenario keys that can be swept.
var sweepKeys = map[string]sweepKey{
	"gateways":        {integer: true, apply: setGateways},
	"endpoints.count": {integer: true, apply: func(s *emulator.Scenario, v float64) { s.Endpoints.Count = int(v) }},
	"clients.load":    {apply: func(s *emulator.Scenario, v float64) { s.Clients.Load = v }},
	"clients.skew":    {apply: func(s *emulator.Scenario, v float64) { s.Clients.Skew = v }},
	"meter.guess_err": {apply: func(s *emulator.Scenario, v float64) { s.Meter.GuessErr = v }},
}

// SweepKeys returns the keys that can be swept, in alphabetical order.
func SweepKeys() []string {
	keys := make([]string, 0, len(sweepKeys))
	for key := range sweepKeys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// setGateways sets the number of gateways and scales the number of endpoints to keep their ratio. The load grows in
// proportion, because a scenario states it as a share of the capacity of the endpoints.
func setGateways(scenario *emulator.Scenario, value float64) {
	perGateway := float64(scenario.Endpoints.Count) / float64(scenario.Gateways)
	scenario.Gateways = int(value)
	scenario.Endpoints.Count = max(1, int(math.Round(perGateway*value)))
}
