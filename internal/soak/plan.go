package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"springfield/internal/emulator"
)

const (
	loadLength       = 8 * time.Second
	firstFaultAt     = 1500 * time.Millisecond // time from the start of the load to the first fault
	maxFaultStartGap = time.Second             // longest time between the starts of two consecutive faults
	minFaultLength   = 1500 * time.Millisecond
	maxFaultLength   = 3 * time.Second
	minGateways      = 10
	maxExtraGateways = 4 // largest number of gateways beyond minGateways
	endpointCount    = 8
	zoneCount        = 2
)

// Fault is one fault of a run.
type Fault struct {
	Kind   Kind
	At     time.Duration // time from the start of the load to the fault
	Length time.Duration
}

// Plan describes a run, which its seed determines.
type Plan struct {
	Seed     uint64
	Gateways int
	Faults   []Fault
}

// NewPlan returns the plan of a seed. The seed selects a pair of kinds of fault, so that consecutive seeds cover all
// pairs; most runs have a third kind. Each fault starts while the one before it is active.
func NewPlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 0))
	pairs := shuffledPairs()
	pair := pairs[int(seed%uint64(len(pairs)))]
	kinds := pair[:]
	if random.IntN(4) > 0 {
		for {
			extraKind := Kinds()[random.IntN(len(Kinds()))]
			if !slices.Contains(kinds, extraKind) {
				kinds = append(slices.Clone(kinds), extraKind)
				break
			}
		}
	}
	plan := Plan{Seed: seed, Gateways: minGateways + random.IntN(maxExtraGateways+1)}
	at := firstFaultAt
	for _, kind := range kinds {
		length := minFaultLength + time.Duration(random.Int64N(int64(maxFaultLength-minFaultLength)))
		plan.Faults = append(plan.Faults, Fault{Kind: kind, At: at, Length: length})
		at += time.Duration(random.Int64N(int64(min(maxFaultStartGap, length))))
	}
	random.Shuffle(len(plan.Faults), func(i, j int) { // the order of the kinds is random
		plan.Faults[i].Kind, plan.Faults[j].Kind = plan.Faults[j].Kind, plan.Faults[i].Kind
	})
	return plan
}

// shuffledPairs returns all pairs in a random order that is the same for all seeds.
func shuffledPairs() []Pair {
	pairs := Pairs()
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
	return pairs
}

// CoveredPairs returns the pairs of kinds of fault that the plan contains.
func (p *Plan) CoveredPairs() []Pair {
	var covered []Pair
	for _, pair := range Pairs() {
		if p.has(pair[0]) && p.has(pair[1]) {
			covered = append(covered, pair)
		}
	}
	return covered
}

func (p *Plan) has(kind Kind) bool {
	return slices.ContainsFunc(p.Faults, func(fault Fault) bool { return fault.Kind == kind })
}

// without returns a copy of the plan without one of its faults.
func (p *Plan) without(index int) Plan {
	reduced := *p
	reduced.Faults = slices.Delete(slices.Clone(p.Faults), index, index+1)
	return reduced
}

// scenario returns the scenario of a run. Deadlines are no longer than the shortest fault, so that requests expire
// while a fault is active.
func (p *Plan) scenario() emulator.Scenario {
	ms := func(value int) emulator.Duration { return emulator.Duration(time.Duration(value) * time.Millisecond) }
	scenario := emulator.Scenario{
		Name: "soak", Length: emulator.Duration(loadLength), Gateways: p.Gateways, Zones: zoneCount,
		Endpoints: emulator.Endpoints{Count: endpointCount, Cores: 1, Slots: 4, WaitingRoom: 16, SpeedSpread: 0.2,
			MaxConnections: 400, IdleTimeout: ms(5000), DrainGrace: ms(1000)},
		WarmUp:    emulator.WarmUp{InitialCapacity: 0.2, Duration: ms(6500), OverloadFactor: 2.5, OverloadWindow: ms(1000)},
		Network:   emulator.Network{Delay: ms(1), Jitter: 0.5, DialTimeout: ms(250), FrontDelay: ms(500)},
		Discovery: emulator.Discovery{DelayMin: ms(20), DelayMax: ms(200)},
		Meter:     emulator.Meter{Period: ms(1000), DelayMin: ms(100), DelayMax: ms(400)},
		Limits:    emulator.Limits{Cancel: p.Seed%2 == 0, MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: ms(500)},
		Classes: []emulator.Class{
			{Name: "search", Share: 0.5, Idempotency: "idempotent", Objective: ms(400), Deadline: ms(1000), Value: 1,
				Work: ms(12), WorkSpread: 0.5},
			{Name: "cart", Share: 0.25, Idempotency: "deduplicated", Scope: "zone", KeyTTL: ms(900), Objective: ms(400),
				Deadline: ms(1200), Value: 2, Work: ms(12), WorkSpread: 0.5},
			{Name: "pay", Share: 0.25, Idempotency: "at_most_once", Objective: ms(500), Deadline: ms(1500), Value: 4,
				Work: ms(16), WorkSpread: 0.5},
		},
		Plans: []emulator.Plan{{Name: "team", Share: 1, Rate: 20, Burst: 40, Price: 1, OverQuotaCost: 0.5}},
		Clients: emulator.Clients{Load: 0.7, MaxUnits: 2, SetMin: 0.5, SetMax: 1, CalmUse: 0.5, Retries: 1,
			RetryDelay: ms(100), Patience: 0.8, Abandon: 0.05},
	}
	p.aimScenario(&scenario)
	for _, fault := range p.Faults {
		if fault.Kind.isScheduled() {
			scenario.Faults = append(scenario.Faults, scheduledFault(fault))
		}
	}
	return scenario
}

// Parameters of scheduled faults.
const (
	affectedShare  = 0.3 // share of the gateways or endpoints that are affected
	slowdownFactor = 6   // factor by which slow endpoints and late lists are slowed down
	failureShare   = 0.3 // share of the requests or attempts that are affected
)

func scheduledFault(fault Fault) emulator.Fault {
	scheduled := emulator.Fault{
		Kind:   emulator.FaultKind(fault.Kind),
		At:     emulator.Duration(fault.At),
		Length: emulator.Duration(fault.Length),
		Share:  affectedShare,
		Factor: failureShare,
	}
	switch scheduled.Kind {
	case emulator.FaultSlowEndpoints, emulator.FaultLateLists:
		scheduled.Factor = slowdownFactor
	}
	return scheduled
}
