package baseline_test

import (
	"context"
	"testing"
	"time"

	"springfield/internal/baseline"
	"springfield/internal/emulator"
	"springfield/internal/emulator/invariant"
	"springfield/internal/emulator/model"
	"springfield/internal/emulator/virtual"
)

// faults returns a fault schedule that causes retries, drains, restarts of endpoints and shutdowns of gateways.
func faults() []emulator.Fault {
	at := func(kind emulator.FaultKind, at, length time.Duration, share, factor float64) emulator.Fault {
		return emulator.Fault{Kind: kind, At: emulator.Duration(at), Length: emulator.Duration(length), Share: share,
			Factor: factor}
	}
	return []emulator.Fault{
		at(emulator.FaultDrainEndpoints, 2*time.Second, 3*time.Second, 0.25, 0),
		at(emulator.FaultFailEndpoints, 3*time.Second, 3*time.Second, 0.25, 0.5),
		at(emulator.FaultResets, 4*time.Second, 3*time.Second, 0, 0.1),
		at(emulator.FaultStopEndpoints, 6*time.Second, 2*time.Second, 0.125, 0),
		at(emulator.FaultRestartGateways, 7*time.Second, 3*time.Second, 1, 0),
	}
}

// Every baseline must keep the rules in a run with faults. The scenario has no ceilings, because some of the baselines
// ignore quotas.
func TestBaselinesKeepTheRules(t *testing.T) {
	for _, name := range baseline.Names() {
		t.Run(name, func(t *testing.T) {
			newDecider, _ := baseline.ByName(name)
			scenario := model.DefaultScenario()
			scenario.Length = emulator.Duration(12 * time.Second)
			scenario.Clients.Abandon = 0.02
			scenario.Faults = faults()
			for i := range scenario.Plans {
				scenario.Plans[i].CeilingRate, scenario.Plans[i].CeilingBurst = 0, 0
			}
			checker := invariant.NewChecker(&scenario)
			summary, err := virtual.Run(context.Background(), virtual.Options{
				Scenario: scenario, Seed: 3, NewDecider: checker.ObserveLists(newDecider), Observer: checker})
			if err != nil {
				t.Fatal(err)
			}
			report := checker.Finish(virtual.StartTime + summary.VirtualTime)
			if !report.Passed() || report.Unlocated != 0 || report.Undecided != 0 {
				t.Errorf("rules were violated, or could not be checked: %+v", report)
			}
			if summary.Attempts <= summary.Requests/2 || report.Requests != summary.Requests {
				t.Errorf("too few attempts, or requests unchecked: %+v, %d checked", summary, report.Requests)
			}
		})
	}
}
