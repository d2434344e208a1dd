package experiment

import (
	"math"
	"slices"

	"springfield/internal/emulator"
)

// Sweep repeats an experiment for several values of one key of the scenario.
type Sweep struct {
	Key    string    `toml:"key"`
	Values []float64 `toml:"values"`
}

// sweepKey is a key of the scenario that can be swept.
type sweepKey struct {
	whole bool // takes whole numbers alone
	apply func(scenario *emulator.Scenario, value float64)
}

var sweepKeys = map[string]sweepKey{
	"gateways":        {whole: true, apply: setGateways},
	"endpoints.count": {whole: true, apply: func(s *emulator.Scenario, v float64) { s.Endpoints.Count = int(v) }},
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

// setGateways scales the endpoints along, so that their ratio to the gateways stays the same. Load follows by itself:
// it is a share of what the endpoints can do.
func setGateways(scenario *emulator.Scenario, value float64) {
	perGateway := float64(scenario.Endpoints.Count) / float64(scenario.Gateways)
	scenario.Gateways = int(value)
	scenario.Endpoints.Count = max(1, int(math.Round(perGateway*value)))
}
