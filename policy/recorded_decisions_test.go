package policy

import (
	"testing"
	"time"
)

// TestRecordedDecisions compares all actions of simulated fleets with recorded hashes, so that a refactoring cannot
// change a decision unnoticed. A commit that changes decisions on purpose updates the hashes and says so.
func TestRecordedDecisions(t *testing.T) {
	for _, scenario := range []fleetScenario{
		{
			name: "small fleet", seed: 1, gateways: 3, endpoints: 8, requestRate: 120,
			configure: func(*Config) {},
			wantHash:  "cb3c22cd9d0e25713bf37fb836ac7250866f21f92e53fc78552ee934568ca18a",
		},
		{
			name: "overloaded fleet", seed: 2, gateways: 2, endpoints: 4, requestRate: 160,
			configure: func(cfg *Config) { cfg.MaxOpenRequests, cfg.MaxAttempts = 40, 3 },
			wantHash:  "7e0cc2b4eda4b062103a166e99ac64dc1fe39b3868e1540ee9b70d7fc9a06aa0",
		},
		{
			name: "large fleet", seed: 3, gateways: 40, endpoints: 24, requestRate: 400,
			configure: func(cfg *Config) {
				for i := range cfg.Plans {
					cfg.Plans[i].Burst = 8
				}
			},
			wantHash: "7a6b348ed935acd7ae13ea4e8b7f480f75432b34a4c2cc49e4eb218c8cce2e6a",
		},
		{
			name: "costly overuse", seed: 4, gateways: 24, endpoints: 12, requestRate: 250,
			configure: func(cfg *Config) {
				for i := range cfg.Plans {
					cfg.Plans[i].QuotaRate, cfg.Plans[i].Burst, cfg.Plans[i].OverQuotaCost = 2, 5, 1.2
				}
			},
			wantHash: "73c5b423806391f8db33f3ffd6d07571d442c7692754673638ea10774ea1c5c6",
		},
		{
			name: "no meter, no cancellation, polled endpoints", seed: 5, gateways: 4, endpoints: 8, requestRate: 120,
			configure: func(cfg *Config) {
				cfg.MeterPeriod, cfg.MaxRequestUnits = 0, 0
				cfg.CanCancel, cfg.SendRetryAfter, cfg.PolledEndpoints = false, false, true
			},
			wantHash: "2ebf6617fbcc1f0c7adb2d2142c3bfa57b15ad850410e29e14f5bcddaa3e8c0f",
		},
		{
			name: "concurrency quotas and ceilings", seed: 6, gateways: 3, endpoints: 6, requestRate: 100,
			configure: func(cfg *Config) {
				cfg.Plans[0].MaxConcurrent = 4
				cfg.Plans[1].QuotaRate, cfg.Plans[1].MaxConcurrent = 0, 6
				cfg.Plans[2].CeilingRate, cfg.Plans[2].CeilingBurst = 6, 12
			},
			wantHash: "fc8e1ed675e8a4eeed131c562ea7304192bc0190509ec51a200df6ba7424b929",
		},
		{
			name: "greedy customers alone", seed: 7, gateways: 2, endpoints: 8, requestRate: 150, greedyOnly: true,
			configure: func(*Config) {},
			wantHash:  "a241c4db528ea8cf78e3345fa498c768e61c189eb9f89179889ec629e7b1bdf2",
		},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			fleet := newSimulatedFleet(scenario)
			fleet.run(20 * time.Second)
			if got := fleet.actionsHash(); got != scenario.wantHash {
				t.Errorf("hash of the actions is %s, want the recorded %s (number of actions: %v)",
					got, scenario.wantHash, fleet.actionCounts)
			}
		})
	}
}
