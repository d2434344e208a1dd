package model

import (
	"errors"
	"math"
	"slices"
	"testing"
	"time"

	"springfield/internal/emulator"
)

// invalidPaths returns the paths of all errors of a scenario.
func invalidPaths(t *testing.T, scenario *emulator.Scenario) []string {
	t.Helper()
	err := Validate(scenario)
	if err == nil {
		return nil
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		t.Fatalf("error of type %T is not a joined error", err)
	}
	var paths []string
	for _, err := range joined.Unwrap() {
		var scenarioErr *ScenarioError
		if !errors.As(err, &scenarioErr) || scenarioErr.Reason == "" {
			t.Fatalf("error %v is not a ScenarioError with a reason", err)
		}
		paths = append(paths, scenarioErr.Path)
	}
	return paths
}

func TestDefaultScenarioIsValid(t *testing.T) {
	scenario := DefaultScenario()
	if err := Validate(&scenario); err != nil {
		t.Error(err)
	}
	scenario.Classes[0].Name = "changed"
	if again := DefaultScenario(); again.Classes[0].Name == "changed" {
		t.Error("two default scenarios share their classes in memory")
	}
}

func TestValidateReportsThePathOfAnInvalidValue(t *testing.T) {
	fault := func(f emulator.Fault) func(*emulator.Scenario) {
		return func(s *emulator.Scenario) { s.Faults = []emulator.Fault{f} }
	}
	second := emulator.Duration(time.Second)
	for path, invalidate := range map[string]func(*emulator.Scenario){
		"length":                   func(s *emulator.Scenario) { s.Length = 0 },
		"gateways":                 func(s *emulator.Scenario) { s.Gateways = 0 },
		"zones":                    func(s *emulator.Scenario) { s.Zones = -1 },
		"endpoints.slots":          func(s *emulator.Scenario) { s.Endpoints.Slots = 1 },
		"endpoints.speed_spread":   func(s *emulator.Scenario) { s.Endpoints.SpeedSpread = 1 },
		"warm_up.initial_capacity": func(s *emulator.Scenario) { s.WarmUp.InitialCapacity = 0 },
		"network.jitter":           func(s *emulator.Scenario) { s.Network.Jitter = math.NaN() },
		"discovery.delay_max":      func(s *emulator.Scenario) { s.Discovery.DelayMax = 0 },
		"meter.guess_err":          func(s *emulator.Scenario) { s.Meter.GuessErr = -1 },
		"limits.max_attempts":      func(s *emulator.Scenario) { s.Limits.MaxAttempts = -1 },
		"classes":                  func(s *emulator.Scenario) { s.Classes = nil },
		"classes[1].name":          func(s *emulator.Scenario) { s.Classes[1].Name = s.Classes[0].Name },
		"classes[0].name":          func(s *emulator.Scenario) { s.Classes[0].Name = "a/b" },
		"classes[0].idempotency":   func(s *emulator.Scenario) { s.Classes[0].Idempotency = "safe" },
		"classes[1].key_ttl":       func(s *emulator.Scenario) { s.Classes[1].Idempotency = "deduplicated" },
		"classes[1].deadline":      func(s *emulator.Scenario) { s.Classes[1].Deadline = s.Classes[1].Objective - 1 },
		"plans":                    func(s *emulator.Scenario) { s.Plans = nil },
		"plans[2].rate":            func(s *emulator.Scenario) { s.Plans[2].Rate = 0 },
		"plans[2].burst":           func(s *emulator.Scenario) { s.Plans[2].Burst = 3 },
		"plans[0].ceiling_burst":   func(s *emulator.Scenario) { s.Plans[0].CeilingRate = 3 },
		"clients.load":             func(s *emulator.Scenario) { s.Clients.Load = math.Inf(1) },
		"clients.set_max":          func(s *emulator.Scenario) { s.Clients.SetMax = 0.5 },
		"clients":                  func(s *emulator.Scenario) { s.Clients.FullShare = 0.9 },
		"clients.greedy_factor":    func(s *emulator.Scenario) { s.Clients.GreedyFactor = 0 },
		"clients.spike_every":      func(s *emulator.Scenario) { s.Clients.SpikeEvery = s.Clients.SpikeLength },
		"clients.patience":         func(s *emulator.Scenario) { s.Clients.Patience = 0 },
		"faults[0].kind":           fault(emulator.Fault{Kind: "earthquake"}),
		"faults[0].at":             fault(emulator.Fault{Kind: emulator.FaultDiscoveryMoves, At: 21 * second}),
		"faults[0].zone":           fault(emulator.Fault{Kind: emulator.FaultPartition, Length: second, Zone: 2}),
		"faults[0].share":          fault(emulator.Fault{Kind: emulator.FaultKillGateways, Length: second}),
		"faults[0].length":         fault(emulator.Fault{Kind: emulator.FaultDiscoveryDown}),
		"faults[0].factor":         fault(emulator.Fault{Kind: emulator.FaultResets, Length: second, Factor: 2}),
	} {
		scenario := DefaultScenario()
		invalidate(&scenario)
		if got := invalidPaths(t, &scenario); !slices.Equal(got, []string{path}) {
			t.Errorf("path %q is invalid, but Validate reported %q", path, got)
		}
	}
}

func TestValidateAcceptsEveryKindOfFault(t *testing.T) {
	scenario := DefaultScenario()
	for _, kind := range []emulator.FaultKind{
		emulator.FaultKillGateways, emulator.FaultRestartGateways, emulator.FaultDrainEndpoints, emulator.FaultReplace,
		emulator.FaultStopEndpoints, emulator.FaultSlowEndpoints, emulator.FaultFailEndpoints,
		emulator.FaultSilentEndpoints, emulator.FaultPartition, emulator.FaultDiscoveryDown,
		emulator.FaultWatchSilence, emulator.FaultDiscoveryMoves, emulator.FaultLateLists, emulator.FaultResets,
		emulator.FaultSpoiltAnswers, emulator.FaultMeterSilence,
	} {
		length := emulator.Duration(time.Second)
		scenario.Faults = append(scenario.Faults, emulator.Fault{Kind: kind, Length: length, Share: 0.3, Factor: 0.5})
	}
	if err := Validate(&scenario); err != nil {
		t.Error(err)
	}
}

func TestValidateReturnsAllErrors(t *testing.T) {
	scenario := DefaultScenario()
	scenario.Gateways, scenario.Plans[1].Price, scenario.Clients.Retries = 0, -1, -1
	want := []string{"gateways", "plans[1].price", "clients.retries"}
	if got := invalidPaths(t, &scenario); !slices.Equal(got, want) {
		t.Errorf("paths %q, want %q", got, want)
	}
}

func TestValidateLimitsTheNumberOfCustomers(t *testing.T) {
	scenario := DefaultScenario()
	scenario.Endpoints.Count, scenario.Plans[0].Rate = 100_000, 0.01
	if got := invalidPaths(t, &scenario); !slices.Equal(got, []string{"clients.load"}) {
		t.Errorf("paths %q, want clients.load", got)
	}
}
