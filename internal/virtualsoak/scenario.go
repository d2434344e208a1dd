package virtualsoak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
)

const (
	minLoadLength = 6 * time.Second
	maxLoadLength = 12 * time.Second

	// streamScenario is the second word of the random generator of scenarios. It differs from the streams of package
	// model, from which the run of the scenario is drawn.
	streamScenario = 1 << 32
)

// Bounds of the load that an endpoint withstands in slow start.
const (
	minOverloadRequests = 8.0
	maxOverloadWindow   = 5 * time.Second
)

// Bounds of the mean work of a unit on one core.
const (
	minUnitWork = 4 * time.Millisecond
	maxUnitWork = 150 * time.Millisecond
)

// NewScenario returns the scenario of a seed.
func NewScenario(seed uint64) emulator.Scenario {
	d := drawer{rand.New(rand.NewPCG(seed, streamScenario))}
	scenario := emulator.Scenario{
		Name:     fmt.Sprintf("seed-%d", seed),
		Length:   d.duration(minLoadLength, maxLoadLength),
		Gateways: d.count(3, 120),
		Zones:    d.integer(1, 4),
		Network:  d.network(),
		Meter:    d.meter(),
		Limits:   d.limits(),
		Clients:  d.clients(),
	}
	scenario.Discovery = d.discovery(scenario.Gateways)
	scenario.Endpoints = d.endpoints(scenario.Gateways)
	requestRate := d.scaled(150, 700) // requests a second, retries of clients not included
	unitRate := requestRate * float64(1+scenario.Clients.MaxUnits) / 2
	unitWork := d.unitWork(&scenario, unitRate)
	scenario.Classes = d.classes(unitWork, scenario.Clients.MaxUnits)
	scenario.WarmUp = d.warmUp(&scenario)
	scenario.Plans = d.plans(&scenario, unitRate)
	scenario.Faults = d.faults(&scenario, seed)
	return scenario
}

// unitWork returns the mean work of a unit with which the drawn load amounts to unitRate units a second. It lowers the
// number of endpoints if the work would be too long otherwise.
func (d drawer) unitWork(scenario *emulator.Scenario, unitRate float64) time.Duration {
	endpoints, load := &scenario.Endpoints, scenario.Clients.Load
	perEndpoint := float64(endpoints.Cores) * load / unitRate
	if float64(endpoints.Count)*perEndpoint > maxUnitWork.Seconds() {
		endpoints.Count = max(3, int(maxUnitWork.Seconds()/perEndpoint))
	}
	work := time.Duration(float64(endpoints.Count) * perEndpoint * float64(time.Second))
	return min(max(work, minUnitWork), maxUnitWork)
}

func (d drawer) endpoints(gateways int) emulator.Endpoints {
	cores := d.integer(1, 4)
	return emulator.Endpoints{
		Count:          d.count(3, 48),
		Cores:          cores,
		Slots:          cores * d.integer(1, 6),
		WaitingRoom:    d.integer(0, 60),
		SpeedSpread:    d.number(0, 0.5),
		MaxConnections: max(8, int(float64(gateways)*d.scaled(0.5, 8))),
		IdleTimeout:    d.duration(300*time.Millisecond, 30*time.Second),
		HandshakeDelay: d.duration(100*time.Microsecond, 20*time.Millisecond),
		HandshakeWork:  d.duration(50*time.Microsecond, 5*time.Millisecond),
		DrainGrace:     d.duration(100*time.Millisecond, 3*time.Second),
		LoadReports:    d.chance(0.5),
	}
}

// warmUp draws a slow start in which an endpoint withstands at least minOverloadRequests requests of mean work in an
// overload window.
func (d drawer) warmUp(scenario *emulator.Scenario) emulator.WarmUp {
	if d.chance(0.1) {
		return emulator.WarmUp{}
	}
	warmUp := emulator.WarmUp{
		InitialCapacity: d.scaled(0.05, 0.5),
		Duration:        d.duration(2*time.Second, 30*time.Second),
		OverloadFactor:  d.number(1.5, 4),
		OverloadWindow:  d.duration(500*time.Millisecond, 4*time.Second),
	}
	windowWork := float64(scenario.Endpoints.Cores) * warmUp.OverloadWindow.AsDuration().Seconds()
	requests := warmUp.OverloadFactor * warmUp.InitialCapacity * windowWork / model.MeanWork(scenario).Seconds()
	if missing := minOverloadRequests / requests; missing > 1 {
		window := min(float64(maxOverloadWindow), missing*float64(warmUp.OverloadWindow))
		missing /= window / float64(warmUp.OverloadWindow)
		warmUp.OverloadWindow = emulator.Duration(window)
		warmUp.InitialCapacity = min(1, max(1, missing)*warmUp.InitialCapacity)
	}
	return warmUp
}

func (d drawer) network() emulator.Network {
	return emulator.Network{
		Delay:       d.duration(50*time.Microsecond, 5*time.Millisecond),
		Jitter:      d.number(0, 1),
		DialTimeout: d.duration(100*time.Millisecond, time.Second),
		FrontDelay:  d.duration(100*time.Millisecond, 3*time.Second),
	}
}

func (d drawer) discovery(gateways int) emulator.Discovery {
	shortest := d.duration(time.Millisecond, time.Second)
	discovery := emulator.Discovery{
		Polled:   d.chance(0.4),
		DelayMin: shortest,
		DelayMax: shortest + d.duration(time.Millisecond, 2*time.Second),
	}
	if d.chance(0.5) {
		discovery.CallsPerSecond = float64(gateways) * d.number(0.5, 3)
	}
	return discovery
}

func (d drawer) meter() emulator.Meter {
	if d.chance(0.2) {
		return emulator.Meter{}
	}
	shortest := d.duration(10*time.Millisecond, time.Second)
	return emulator.Meter{
		Period:   d.duration(200*time.Millisecond, 2*time.Second),
		DelayMin: shortest,
		DelayMax: shortest + d.duration(10*time.Millisecond, time.Second),
		Settled:  d.chance(0.5),
		GuessErr: d.number(0, 0.6),
	}
}

func (d drawer) limits() emulator.Limits {
	limits := emulator.Limits{
		Cancel:        d.chance(0.6),
		MaxAttempts:   d.integer(1, 6),
		RetryAfter:    d.chance(0.7),
		MaxRetryAfter: d.duration(50*time.Millisecond, 2*time.Second),
	}
	if d.chance(0.3) {
		limits.MaxOpenRequests = d.count(4, 400)
	}
	return limits
}
