package model

import (
	"time"

	"springfield/internal/emulator"
)

// DefaultScenario returns a small, valid deployment: 3 gateways, 8 endpoints, 3 plans and 2 classes under a moderate
// load for 20 s, without faults. Scenarios of different calls share no memory.
func DefaultScenario() emulator.Scenario {
	return emulator.Scenario{
		Name:        "default",
		Description: "a small deployment under a moderate load, without faults",
		Length:      emulator.Duration(20 * time.Second),
		Gateways:    3,
		Zones:       1,
		Endpoints:   defaultEndpoints(),
		WarmUp: emulator.WarmUp{
			InitialCapacity: 0.2,
			Duration:        emulator.Duration(15 * time.Second),
			OverloadFactor:  2.5,
			OverloadWindow:  emulator.Duration(3 * time.Second),
		},
		Network: emulator.Network{
			Delay:       emulator.Duration(500 * time.Microsecond),
			Jitter:      0.5,
			DialTimeout: emulator.Duration(250 * time.Millisecond),
			FrontDelay:  emulator.Duration(2 * time.Second),
		},
		Discovery: emulator.Discovery{
			DelayMin: emulator.Duration(500 * time.Millisecond),
			DelayMax: emulator.Duration(2 * time.Second),
		},
		Meter: emulator.Meter{
			Period:   emulator.Duration(time.Second),
			DelayMin: emulator.Duration(300 * time.Millisecond),
			DelayMax: emulator.Duration(1200 * time.Millisecond),
			Settled:  true,
			GuessErr: 0.3,
		},
		Limits: emulator.Limits{
			Cancel:          true,
			MaxAttempts:     4,
			MaxOpenRequests: 20_000,
			RetryAfter:      true,
			MaxRetryAfter:   emulator.Duration(time.Second),
		},
		Classes: defaultClasses(),
		Plans:   defaultPlans(),
		Clients: defaultClients(),
	}
}

func defaultEndpoints() emulator.Endpoints {
	return emulator.Endpoints{
		Count:          8,
		Cores:          2,
		Slots:          8,
		WaitingRoom:    40,
		SpeedSpread:    0.2,
		MaxConnections: 200,
		IdleTimeout:    emulator.Duration(30 * time.Second),
		HandshakeDelay: emulator.Duration(2 * time.Millisecond),
		HandshakeWork:  emulator.Duration(time.Millisecond),
		DrainGrace:     emulator.Duration(time.Second),
	}
}

func defaultClasses() []emulator.Class {
	return []emulator.Class{
		{
			Name:        "search",
			Share:       0.7,
			Idempotency: idempotencyRepeatable,
			Scope:       scopeAll,
			Objective:   emulator.Duration(time.Second),
			Deadline:    emulator.Duration(4 * time.Second),
			Value:       3,
			Work:        emulator.Duration(30 * time.Millisecond),
			WorkSpread:  0.3,
		},
		{
			Name:        "order",
			Share:       0.3,
			Idempotency: idempotencyNever,
			Scope:       scopeAll,
			Objective:   emulator.Duration(1500 * time.Millisecond),
			Deadline:    emulator.Duration(5 * time.Second),
			Value:       5,
			Work:        emulator.Duration(50 * time.Millisecond),
			WorkSpread:  0.3,
		},
	}
}

func defaultPlans() []emulator.Plan {
	return []emulator.Plan{
		{Name: "basic", Share: 0.3, Rate: 2, Burst: 10, Price: 0.5, OverQuotaValue: 0.3},
		{Name: "standard", Share: 0.4, Rate: 5, Burst: 20, Price: 1, OverQuotaCost: 1},
		{Name: "premium", Share: 0.3, Rate: 15, Burst: 40, Price: 1.5, OverQuotaCost: 0.5},
	}
}

func defaultClients() emulator.Clients {
	return emulator.Clients{
		Load:         0.6,
		MaxUnits:     4,
		SetMin:       0.6,
		SetMax:       1,
		Skew:         0.8,
		ShiftEvery:   emulator.Duration(15 * time.Second),
		CalmUse:      0.35,
		FullShare:    0.15,
		GreedyShare:  0.1,
		GreedyFactor: 3,
		SpikyShare:   0.15,
		SpikeFactor:  4,
		SpikeLength:  emulator.Duration(2 * time.Second),
		SpikeEvery:   emulator.Duration(12 * time.Second),
		BurstFactor:  1,
		Retries:      2,
		RetryDelay:   emulator.Duration(200 * time.Millisecond),
		Patience:     0.5,
	}
}
