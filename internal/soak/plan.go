package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"springfield/internal/emulator"
)

const (
	shortLoadLength  = 8 * time.Second
	longLoadLength   = 14 * time.Second        // longer than gateways may take to notice that a watch is silent
	firstFaultAt     = 1500 * time.Millisecond // time from the start of the load to the first fault
	maxFaultStartGap = 800 * time.Millisecond  // longest time between the starts of two consecutive faults
	minFaultLength   = 1500 * time.Millisecond
	maxFaultLength   = 3 * time.Second
	minGateways      = 10
	maxGateways      = 40
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

	// Variation holds the numbers of the variations that led from the plan of the seed to this plan. See Plan.Vary.
	Variation []uint64
}

// NewPlan returns the plan of a seed. The seed selects a pair of kinds of fault, so that consecutive seeds cover all
// pairs, and further kinds in turn, so that a few consecutive seeds cover all kinds. Each fault starts while the one
// before it is active.
func NewPlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 0))
	pairs := shuffledPairs()
	pair := pairs[int(seed%uint64(len(pairs)))]
	kinds := pair[:]
	for _, extraKind := range kindsInTurn(seed) {
		if !slices.Contains(kinds, extraKind) {
			kinds = append(slices.Clone(kinds), extraKind)
		}
	}
	plan := Plan{Seed: seed, Gateways: minGateways + random.IntN(maxGateways-minGateways+1)}
	at := firstFaultAt
	for _, kind := range kinds {
		length := minFaultLength + time.Duration(random.Int64N(int64(maxFaultLength-minFaultLength)))
		plan.Faults = append(plan.Faults, Fault{Kind: kind, At: at, Length: length})
		at += time.Duration(random.Int64N(int64(min(maxFaultStartGap, length))))
	}
	random.Shuffle(len(plan.Faults), plan.swapKinds) // the order of the kinds is random
	plan.makeAdjacent(pair)
	return plan
}

// makeAdjacent exchanges kinds so that those of a pair belong to consecutive faults, which overlap in time.
func (p *Plan) makeAdjacent(pair Pair) {
	first := slices.IndexFunc(p.Faults, func(fault Fault) bool { return fault.Kind == pair[0] })
	second := slices.IndexFunc(p.Faults, func(fault Fault) bool { return fault.Kind == pair[1] })
	switch {
	case second > first+1:
		p.swapKinds(second, first+1)
	case second < first-1:
		p.swapKinds(second, first-1)
	}
}

func (p *Plan) swapKinds(i, j int) {
	p.Faults[i].Kind, p.Faults[j].Kind = p.Faults[j].Kind, p.Faults[i].Kind
}

// overlapInTime reports whether the plan has faults of both kinds that are active at the same time.
func (p *Plan) overlapInTime(first, second Kind) bool {
	for _, a := range p.Faults {
		for _, b := range p.Faults {
			if a.Kind == first && b.Kind == second && a.At < b.At+b.Length && b.At < a.At+a.Length {
				return true
			}
		}
	}
	return false
}

// randomKindsInTurn is the number of kinds from randomKinds that a run has in addition to its pair.
const randomKindsInTurn = 2

// kindsInTurn returns the kinds of fault that a seed has in addition to its pair, unless they belong to it: one that is
// aimed at a state of a gateway, and others.
func kindsInTurn(seed uint64) []Kind {
	aimed, others := aimedKinds(), randomKinds()
	inTurn := []Kind{aimed[seed%uint64(len(aimed))]}
	for i := range uint64(randomKindsInTurn) {
		inTurn = append(inTurn, others[(seed*randomKindsInTurn+i)%uint64(len(others))])
	}
	return inTurn
}

// shuffledPairs returns all pairs in a random order that is the same for all seeds.
func shuffledPairs() []Pair {
	pairs := Pairs()
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
	return pairs
}

// CoveredPairs returns the pairs of kinds of fault that overlap in time.
func (p *Plan) CoveredPairs() []Pair {
	var covered []Pair
	for _, pair := range Pairs() {
		if p.overlapInTime(pair[0], pair[1]) {
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

// scenario returns the scenario of a run. The seed determines its settings.
func (p *Plan) scenario() emulator.Scenario {
	scenario := newSettingsSource(p.Seed).scenario(p.Gateways)
	scenario.Length = emulator.Duration(p.loadLength())
	p.aimScenario(&scenario)
	for _, fault := range p.Faults {
		switch {
		case fault.Kind == LostDrain:
			scenario.Faults = append(scenario.Faults, p.lostDrain(fault)...)
		case fault.Kind == HangingShutdown:
			scenario.Faults = append(scenario.Faults, hangingShutdown(fault)...)
			lengthenDeadlines(&scenario)
		case fault.Kind.isScheduled():
			scenario.Faults = append(scenario.Faults, scheduledFault(fault))
		}
	}
	return scenario
}

// loadLength returns the length of the load.
func (p *Plan) loadLength() time.Duration {
	if p.has(LostDrain) {
		return longLoadLength
	}
	return shortLoadLength
}

// lostDrain returns the scheduled faults of a fault of kind LostDrain: no watch delivers the drain, which lasts until
// the load ends.
func (p *Plan) lostDrain(fault Fault) []emulator.Fault {
	const drainDelay = 200 * time.Millisecond // time from the silence to the drain
	silence := scheduledFault(Fault{Kind: Kind(emulator.FaultWatchSilence), At: fault.At, Length: fault.Length})
	at := fault.At + drainDelay
	drain := scheduledFault(Fault{Kind: Kind(emulator.FaultDrainEndpoints), At: at, Length: p.loadLength() - at})
	return []emulator.Fault{silence, drain}
}

// hangingShutdown returns the scheduled faults of a fault of kind HangingShutdown: endpoints fall silent, and gateways
// with requests at these endpoints shut down all at once.
func hangingShutdown(fault Fault) []emulator.Fault {
	const shutdownDelay = 300 * time.Millisecond // time from the silence to the shutdown
	silence := scheduledFault(Fault{Kind: Kind(emulator.FaultSilentEndpoints), At: fault.At, Length: fault.Length})
	shutdown := scheduledFault(Fault{Kind: Kind(emulator.FaultRestartGateways), At: fault.At + shutdownDelay})
	return []emulator.Fault{silence, shutdown}
}

// lengthenDeadlines lets the requests of the last class wait for longer than a gateway may take to shut down.
func lengthenDeadlines(scenario *emulator.Scenario) {
	const deadline = 6 * time.Second
	scenario.Classes[len(scenario.Classes)-1].Deadline = emulator.Duration(deadline)
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
