package soak

import (
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
)

// settingsStream is the random stream of a seed that determines the settings of a run.
const settingsStream = 3

// Bounds of the mean work of a request. The work is chosen such that a run has a number of requests that one machine
// can send, and that a request takes far less time than its deadline.
const (
	minRequestRate = 150.0 // requests per second of all clients
	maxRequestRate = 500.0
	minWork        = 3 * time.Millisecond
	maxWork        = 40 * time.Millisecond
)

// settingsSource draws the settings of a run: the deployment, its limits, its classes of requests and its load.
type settingsSource struct{ random *rand.Rand }

func newSettingsSource(seed uint64) settingsSource {
	return settingsSource{random: rand.New(rand.NewPCG(seed, settingsStream))}
}

// between returns a number from minimum to maximum.
func (s settingsSource) between(minimum, maximum float64) float64 {
	return minimum + (maximum-minimum)*s.random.Float64()
}

// count returns an integer from minimum to maximum.
func (s settingsSource) count(minimum, maximum int) int {
	return minimum + s.random.IntN(maximum-minimum+1)
}

// duration returns a duration from minimum to maximum.
func (s settingsSource) duration(minimum, maximum time.Duration) emulator.Duration {
	return emulator.Duration(minimum) + emulator.Duration(s.random.Int64N(int64(maximum-minimum)+1))
}

// oneIn returns true once in n calls on average.
func (s settingsSource) oneIn(n int) bool { return s.random.IntN(n) == 0 }

// scenario returns the scenario of a run without faults.
func (s settingsSource) scenario(gateways int) emulator.Scenario {
	scenario := emulator.Scenario{
		Name:      "soak",
		Gateways:  gateways,
		Zones:     s.count(1, 3),
		Endpoints: s.endpoints(gateways),
		WarmUp:    s.warmUp(),
		Network:   s.network(),
		Discovery: s.discovery(),
		Meter:     s.meter(),
		Limits:    s.limits(),
		Clients:   s.clients(),
		Plans: []emulator.Plan{{Name: "team", Share: 1, Rate: s.between(10, 40), Burst: s.between(20, 80), Price: 1,
			OverQuotaCost: 0.5}},
	}
	capacity := float64(scenario.Endpoints.Count*scenario.Endpoints.Cores) * scenario.Clients.Load // core time per second
	work := time.Duration(capacity / s.between(minRequestRate, maxRequestRate) * float64(time.Second))
	scenario.Classes = s.classes(min(maxWork, max(minWork, work)))
	return scenario
}

func (s settingsSource) endpoints(gateways int) emulator.Endpoints {
	return emulator.Endpoints{
		Count:          s.count(4, 16),
		Cores:          1,
		Slots:          s.count(2, 6),
		WaitingRoom:    s.count(4, 24),
		SpeedSpread:    s.between(0, 0.4),
		MaxConnections: gateways * s.count(4, 20),
		IdleTimeout:    s.duration(500*time.Millisecond, 6*time.Second),
		DrainGrace:     s.duration(300*time.Millisecond, 1500*time.Millisecond),
	}
}

func (s settingsSource) warmUp() emulator.WarmUp {
	return emulator.WarmUp{
		InitialCapacity: s.between(0.1, 0.4),
		Duration:        s.duration(2*time.Second, 8*time.Second),
		OverloadFactor:  s.between(2, 3),
		OverloadWindow:  s.duration(500*time.Millisecond, 2*time.Second),
	}
}

func (s settingsSource) network() emulator.Network {
	return emulator.Network{
		Delay:       s.duration(200*time.Microsecond, 4*time.Millisecond),
		Jitter:      s.between(0, 1),
		DialTimeout: s.duration(150*time.Millisecond, 500*time.Millisecond),
		FrontDelay:  s.duration(200*time.Millisecond, time.Second),
	}
}

func (s settingsSource) discovery() emulator.Discovery {
	const polledOneIn = 4
	return emulator.Discovery{
		Polled:   s.oneIn(polledOneIn),
		DelayMin: s.duration(0, 50*time.Millisecond),
		DelayMax: s.duration(50*time.Millisecond, 500*time.Millisecond),
	}
}

func (s settingsSource) meter() emulator.Meter {
	return emulator.Meter{
		Period:   s.duration(500*time.Millisecond, 2*time.Second),
		DelayMin: s.duration(50*time.Millisecond, 100*time.Millisecond),
		DelayMax: s.duration(100*time.Millisecond, 800*time.Millisecond),
	}
}

func (s settingsSource) limits() emulator.Limits {
	return emulator.Limits{
		Cancel:        s.oneIn(2),
		MaxAttempts:   s.count(1, 5),
		RetryAfter:    !s.oneIn(4),
		MaxRetryAfter: s.duration(200*time.Millisecond, time.Second),
	}
}

func (s settingsSource) clients() emulator.Clients {
	clients := emulator.Clients{
		Load:       s.between(0.3, 1.3),
		MaxUnits:   s.count(1, 3),
		SetMin:     s.between(0.2, 0.6),
		SetMax:     1,
		CalmUse:    s.between(0.3, 0.8),
		Retries:    s.count(0, 3),
		RetryDelay: s.duration(50*time.Millisecond, 300*time.Millisecond),
		Patience:   s.between(0.5, 1),
		Abandon:    s.between(0, 0.2),
	}
	const burstOneIn = 3
	if s.oneIn(burstOneIn) {
		clients.BurstFactor = s.between(1.5, 3)
		clients.BurstAt = s.duration(firstFaultAt, firstFaultAt+2*maxFaultStartGap)
		clients.BurstLength = s.duration(time.Second, 3*time.Second)
	}
	return clients
}

// classes returns a class of each kind of idempotency. work is the mean work of a request.
func (s settingsSource) classes(work time.Duration) []emulator.Class {
	scopes := []string{"all", "zone", "cell"}
	search := s.class("search", "idempotent", work)
	cart := s.class("cart", "deduplicated", work)
	cart.Scope = scopes[s.random.IntN(len(scopes))]
	cart.KeyTTL = s.duration(300*time.Millisecond, 2*time.Second)
	pay := s.class("pay", "at_most_once", work)
	const longDeadlineOneIn = 4
	if s.oneIn(longDeadlineOneIn) { // a shutdown must end before these deadlines
		pay.Deadline = s.duration(3*time.Second, 6*time.Second)
	}
	return []emulator.Class{search, cart, pay}
}

func (s settingsSource) class(name, idempotency string, work time.Duration) emulator.Class {
	deadline := s.duration(300*time.Millisecond, 2500*time.Millisecond)
	return emulator.Class{
		Name:        name,
		Share:       s.between(0.2, 0.6),
		Idempotency: idempotency,
		Deadline:    deadline,
		Objective:   emulator.Duration(s.between(0.3, 0.8) * float64(deadline)),
		Value:       s.between(1, 4),
		Work:        emulator.Duration(s.between(0.75, 1.25) * float64(work)),
		WorkSpread:  s.between(0.2, 0.6),
	}
}
