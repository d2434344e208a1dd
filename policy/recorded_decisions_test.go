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
			wantHash:  "60d7f0d30f425bfa806cb660933556e72e5a95ca5081fabee1c6e5da7c43c12c",
		},
		{
			name: "overloaded fleet", seed: 2, gateways: 2, endpoints: 4, requestRate: 160,
			configure: func(cfg *Config) { cfg.MaxOpenRequests, cfg.MaxAttempts = 40, 3 },
			wantHash:  "ded0d55a3b73fd7d3d605336a0be4bc7d20b932383d3309905057ff2ab6dc11a",
		},
		{
			name: "large fleet", seed: 3, gateways: 40, endpoints: 24, requestRate: 400,
			configure: func(cfg *Config) {
				for i := range cfg.Plans {
					cfg.Plans[i].Burst = 8
				}
			},
			wantHash: "09dc97351ac80f95452ca4dbd5a25c0f9d1c3e10d49392e178cb2551134e476b",
		},
		{
			name: "costly overuse", seed: 4, gateways: 24, endpoints: 12, requestRate: 250,
			configure: func(cfg *Config) {
				for i := range cfg.Plans {
					cfg.Plans[i].QuotaRate, cfg.Plans[i].Burst, cfg.Plans[i].OverQuotaCost = 2, 5, 1.2
				}
			},
			wantHash: "736ed17512f8a36eae505d4510ff5fdc834b52e7758a8b99189705d2bcb45bf0",
		},
		{
			name: "no meter, no cancellation, polled endpoints", seed: 5, gateways: 4, endpoints: 8, requestRate: 120,
			configure: func(cfg *Config) {
				cfg.MeterPeriod, cfg.MaxRequestUnits = 0, 0
				cfg.CanCancel, cfg.SendRetryAfter, cfg.PolledEndpoints = false, false, true
			},
			wantHash: "8a7b77a90d4ebb8d6479cc2e6d1a90248401739a167e036871b3fdba922d70bf",
		},
		{
			name: "concurrency quotas and ceilings", seed: 6, gateways: 3, endpoints: 6, requestRate: 100,
			configure: func(cfg *Config) {
				cfg.Plans[0].MaxConcurrent = 4
				cfg.Plans[1].QuotaRate, cfg.Plans[1].MaxConcurrent = 0, 6
				cfg.Plans[2].CeilingRate, cfg.Plans[2].CeilingBurst = 6, 12
			},
			wantHash: "65cd82dc815442321e172815d8b48be8c01c4c289649803041054a4cee54416a",
		},
		{
			name: "greedy customers alone", seed: 7, gateways: 2, endpoints: 8, requestRate: 150, greedyOnly: true,
			configure: func(*Config) {},
			wantHash:  "328eee01c071b00a7d8e9c291c41e691554eba25b5d028371845e0bb772b0765",
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
