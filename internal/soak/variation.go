package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// variationSeparator separates the seed and the numbers of variations in the name of a plan.
const variationSeparator = "."

// Name returns the text that identifies the plan: its seed, such as "17", or the seed and the numbers of the variations
// that led to the plan, such as "17.3".
func (p *Plan) Name() string {
	name := strconv.FormatUint(p.Seed, 10)
	for _, number := range p.Variation {
		name += variationSeparator + strconv.FormatUint(number, 10)
	}
	return name
}

// NamedPlan returns the plan with a name; see Plan.Name.
func NamedPlan(name string) (Plan, error) {
	parts := strings.Split(name, variationSeparator)
	numbers := make([]uint64, 0, len(parts))
	for _, part := range parts {
		number, err := strconv.ParseUint(part, 10, 64)
		if err != nil {
			return Plan{}, fmt.Errorf("plan %q: want a seed, or a seed and numbers of variations such as 17.3", name)
		}
		numbers = append(numbers, number)
	}
	plan := NewPlan(numbers[0])
	for _, number := range numbers[1:] {
		plan = plan.Vary(number)
	}
	return plan, nil
}

// comparePlans orders plans by their seeds and variations.
func comparePlans(a, b Plan) int {
	return slices.Compare(append([]uint64{a.Seed}, a.Variation...), append([]uint64{b.Seed}, b.Variation...))
}

// planNames returns the names of plans.
func planNames(plans []Plan) []string {
	names := make([]string, 0, len(plans))
	for i := range plans {
		names = append(names, plans[i].Name())
	}
	return names
}

// variationStream separates the random numbers of variations from the other random numbers of a seed.
const variationStream = 1 << 32

// Vary returns a copy of the plan with one drawn change, which the plan and the number determine. The faults still
// overlap and end with the load.
func (p Plan) Vary(number uint64) Plan {
	random := rand.New(rand.NewPCG(p.Seed, variationStream+number))
	for _, earlier := range p.Variation {
		random = rand.New(rand.NewPCG(random.Uint64(), earlier))
	}
	changes := []func(*Plan, *rand.Rand){changeKind, changeStart, changeLength, changeOrder, changeGateways}
	for {
		varied := p
		varied.Faults = slices.Clone(p.Faults)
		varied.Variation = append(slices.Clone(p.Variation), number)
		changes[random.IntN(len(changes))](&varied, random)
		changed := varied.Gateways != p.Gateways || !slices.Equal(varied.Faults, p.Faults)
		if changed && varied.faultsOverlap() {
			return varied
		}
	}
}

// faultsOverlap reports whether each fault starts while the one before it is active, and all end with the load.
func (p *Plan) faultsOverlap() bool {
	for i, fault := range p.Faults {
		if fault.At < 0 || fault.Length <= 0 || fault.At+fault.Length > p.loadLength() {
			return false
		}
		if i == 0 {
			continue
		}
		before := p.Faults[i-1]
		if fault.At < before.At || fault.At >= before.At+before.Length {
			return false
		}
	}
	return true
}

// changeKind replaces the kind of a fault by one that the plan does not have.
func changeKind(p *Plan, random *rand.Rand) {
	kind := Kinds()[random.IntN(len(Kinds()))]
	if !p.has(kind) {
		p.Faults[random.IntN(len(p.Faults))].Kind = kind
	}
}

// changeStart moves a fault by up to maxFaultStartGap in either direction.
func changeStart(p *Plan, random *rand.Rand) {
	shift := time.Duration(random.Int64N(int64(2*maxFaultStartGap))) - maxFaultStartGap
	p.Faults[random.IntN(len(p.Faults))].At += shift
}

// changeLength draws another length of a fault.
func changeLength(p *Plan, random *rand.Rand) {
	length := minFaultLength + time.Duration(random.Int64N(int64(maxFaultLength-minFaultLength)))
	p.Faults[random.IntN(len(p.Faults))].Length = length
}

// changeOrder exchanges the kinds of two faults.
func changeOrder(p *Plan, random *rand.Rand) {
	order := random.Perm(len(p.Faults))
	if len(order) > 1 {
		first, second := &p.Faults[order[0]], &p.Faults[order[1]]
		first.Kind, second.Kind = second.Kind, first.Kind
	}
}

// changeGateways adds or removes a few gateways.
func changeGateways(p *Plan, random *rand.Rand) {
	const maxChange = 3
	change := 1 + random.IntN(maxChange)
	if random.IntN(2) == 0 {
		change = -change
	}
	p.Gateways = min(max(minGateways, p.Gateways+change), maxGateways)
}
