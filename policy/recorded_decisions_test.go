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
			wantHash:  "c5e7da4cefece7a49240f4f595dd8ae8e4b7773ceef13d088965c88a28a3f8ed",
		},
		{
			name: "overloaded fleet", seed: 2, gateways: 2, endpoints: 4, requestRate: 160,
			configure: func(cfg *Config) { cfg.MaxOpenRequests, cfg.MaxAttempts = 40, 3 },
			wantHash:  "9ad541c463fb2e8781948bb7275780269c817bbebf16d9005e9672c10db76b5e",
		},
		{
			name: "large fleet", seed: 3, gateways: 40, endpoints: 24, requestRate: 400,
			configure: func(cfg *Config) {
				for i := range cfg.Plans {
					cfg.Plans[i].Burst = 8
				}
			},
			wantHash: "8a99b6d622efc9570680d7b9df9cd50a621e707869437e15068d3c08bc8eccd6",
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
			wantHash: "2ba8b9c8d01f2fcc6599087d5dd4f410f29fb6860b5bcc8bf36e750b880ee289",
		},
		{
			name: "concurrency quotas and ceilings", seed: 6, gateways: 3, endpoints: 6, requestRate: 100,
			configure: func(cfg *Config) {
				cfg.Plans[0].MaxConcurrent = 4
				cfg.Plans[1].QuotaRate, cfg.Plans[1].MaxConcurrent = 0, 6
				cfg.Plans[2].CeilingRate, cfg.Plans[2].CeilingBurst = 6, 12
			},
			wantHash: "b4d172ea084fd8b3e8752d1f09d664a367279f1bbb1f6d74b2a7a549d9aa37e1",
		},
		{
			name: "greedy customers alone", seed: 7, gateways: 2, endpoints: 8, requestRate: 150, greedyOnly: true,
			configure: func(*Config) {},
			wantHash:  "6be8b97c529f3cb1bc23d8492f0410571d8ae3c73b167f69e4d14ed854045fc4",
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
