package policy

import (
	"testing"
	"time"
)

// TestRecordedDecisions keeps every decision of these simulated days as it was recorded. A refactoring leaves
// the hashes alone; a change of a decision records them anew and says so in its commit.
func TestRecordedDecisions(t *testing.T) {
	for _, day := range []simulatedDay{
		{
			name: "small fleet", seed: 1, gateways: 3, endpoints: 8, rate: 120,
			configure: func(*Config) {},
			want:      "ffc5651f112dff95e96541580f80b9ac34f6222350aeb40cba8a8ce9cb40f538",
		},
		{
			name: "overloaded fleet", seed: 2, gateways: 2, endpoints: 4, rate: 160,
			configure: func(cfg *Config) { cfg.MaxOpenRequests, cfg.MaxAttempts = 40, 3 },
			want:      "7118efc2d34d22120e94b9c07bbb85a2d49fe6fc773758ec2a2840c0baafc96e",
		},
		{
			name: "large fleet", seed: 3, gateways: 40, endpoints: 24, rate: 400,
			configure: func(cfg *Config) {
				for i := range cfg.Plans {
					cfg.Plans[i].Burst = 8
				}
			},
			want: "4a8e87eda052a0e858bcfe7844f3a6aeeaa06ffd14bdfa9487f0810e4a96b6cc",
		},
		{
			name: "costly overuse", seed: 4, gateways: 24, endpoints: 12, rate: 250,
			configure: func(cfg *Config) {
				for i := range cfg.Plans {
					cfg.Plans[i].QuotaRate, cfg.Plans[i].Burst, cfg.Plans[i].OverQuotaCost = 2, 5, 1.2
				}
			},
			want: "ebd73379633c6d9b3cd14be42185e794eba43e61a8465d22e2d726a63c4356f5",
		},
		{
			name: "no meter, no cancellation, polled endpoints", seed: 5, gateways: 4, endpoints: 8, rate: 120,
			configure: func(cfg *Config) {
				cfg.MeterPeriod, cfg.MaxRequestUnits = 0, 0
				cfg.CanCancel, cfg.SendRetryAfter, cfg.PolledEndpoints = false, false, true
			},
			want: "0191bf5ab48bf9e0b95fe94c9fce1eb6ca334117b93d0da46f09aeeb40af0f28",
		},
		{
			name: "concurrency quotas and ceilings", seed: 6, gateways: 3, endpoints: 6, rate: 100,
			configure: func(cfg *Config) {
				cfg.Plans[0].MaxConcurrent = 4
				cfg.Plans[1].QuotaRate, cfg.Plans[1].MaxConcurrent = 0, 6
				cfg.Plans[2].CeilingRate, cfg.Plans[2].CeilingBurst = 6, 12
			},
			want: "8580ab9d5c75715840bae332ae584d7d6f2c9001c89e8d83330e247c519761f6",
		},
		{
			name: "greedy customers alone", seed: 7, gateways: 2, endpoints: 8, rate: 150, greedy: true,
			configure: func(*Config) {},
			want:      "150c539617957638f05d0163856c2fbdad374a8c84f25f961ab8e19a6d143f1d",
		},
	} {
		t.Run(day.name, func(t *testing.T) {
			fleet := newSimulatedFleet(day)
			fleet.run(20 * time.Second)
			if got := fleet.actionsHash(); got != day.want {
				t.Errorf("actions hash to %s, recorded %s (%v)", got, day.want, fleet.counts)
			}
		})
	}
}
