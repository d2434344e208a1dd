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
			wantHash:  "a9c1590a15ebc3f02ec02627243e185e1411f0c716c787e37fce166899107a30",
		},
		{
			name: "overloaded fleet", seed: 2, gateways: 2, endpoints: 4, requestRate: 160,
			configure: func(cfg *Config) { cfg.MaxOpenRequests, cfg.MaxAttempts = 40, 3 },
			wantHash:  "f695de80b45571b61b023f8b86f1e57de41c8986d63930f1b3f13cd5db1b8b08",
		},
		{
			name: "large fleet", seed: 3, gateways: 40, endpoints: 24, requestRate: 400,
			configure: func(cfg *Config) {
				for i := range cfg.Plans {
					cfg.Plans[i].Burst = 8
				}
			},
			wantHash: "c2a15b577a08b4e3ad7f28e01c51907c12491182806afc73ca5377d56748bca8",
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
			wantHash: "b31ae45b801b6cf9e7cf49c327efe080305180af47d1477608ba26dbf80d6620",
		},
		{
			name: "concurrency quotas and ceilings", seed: 6, gateways: 3, endpoints: 6, requestRate: 100,
			configure: func(cfg *Config) {
				cfg.Plans[0].MaxConcurrent = 4
				cfg.Plans[1].QuotaRate, cfg.Plans[1].MaxConcurrent = 0, 6
				cfg.Plans[2].CeilingRate, cfg.Plans[2].CeilingBurst = 6, 12
			},
			wantHash: "a2edc4c582d8e48fcc10d05f20c38482698b8c4007fe67ba5a02b193c609a672",
		},
		{
			name: "greedy customers alone", seed: 7, gateways: 2, endpoints: 8, requestRate: 150, greedyOnly: true,
			configure: func(*Config) {},
			wantHash:  "ea183e03c750bbbaf3c120926caf07ce0fc3a441ba01d07eb089de35f95e644a",
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
