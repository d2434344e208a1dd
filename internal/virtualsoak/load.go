package virtualsoak

import (
	"fmt"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/settings"
)

const (
	maxClasses = 4
	maxPlans   = 3

	// minCeilingRequests is the number of requests of the largest size that the burst of a ceiling holds: two at each of
	// the two gateways that a customer uses at least.
	minCeilingRequests = 4

	minObjective = 30 * time.Millisecond
	maxDeadline  = 5 * time.Second
)

func (d drawer) clients() emulator.Clients {
	setMin := d.scaled(0.05, 1)
	clients := emulator.Clients{
		Load:         d.number(0.3, 1.5),
		MaxUnits:     d.integer(1, 6),
		SetMin:       setMin,
		SetMax:       d.number(setMin, 1),
		Skew:         d.number(0, 1.5),
		CalmUse:      d.number(0.2, 0.8),
		FullShare:    d.number(0, 0.3),
		GreedyShare:  d.number(0, 0.15),
		GreedyFactor: d.number(1.5, 4),
		SpikyShare:   d.number(0, 0.2),
		SpikeFactor:  d.number(2, 5),
		SpikeLength:  d.duration(200*time.Millisecond, 2*time.Second),
		SpikeEvery:   d.duration(2500*time.Millisecond, 6*time.Second),
		BurstFactor:  1,
		Retries:      d.integer(0, 4),
		RetryDelay:   d.duration(10*time.Millisecond, 500*time.Millisecond),
		Patience:     d.number(0.2, 1),
	}
	if d.chance(0.5) {
		clients.ShiftEvery = d.duration(500*time.Millisecond, 10*time.Second)
	}
	if d.chance(0.4) {
		clients.BurstAt = d.duration(time.Second, 4*time.Second)
		clients.BurstLength = d.duration(300*time.Millisecond, 3*time.Second)
		clients.BurstFactor = d.number(1.5, 4)
	}
	if d.chance(0.6) {
		clients.Abandon = d.number(0, 0.3)
	}
	return clients
}

// classes draws classes whose work, weighted by their shares, is about unitWork.
func (d drawer) classes(unitWork time.Duration, maxUnits int) []emulator.Class {
	classes := make([]emulator.Class, d.integer(1, maxClasses))
	for i := range classes {
		work := min(max(d.scaled(0.5, 2)*float64(unitWork), float64(time.Millisecond)), float64(2*maxUnitWork))
		objective := work * float64(maxUnits) * d.scaled(1.5, 20)
		objective = min(max(objective, float64(minObjective)), float64(maxDeadline))
		classes[i] = emulator.Class{
			Name:        fmt.Sprintf("class-%d", i+1),
			Share:       d.number(0.2, 1),
			Idempotency: pick(d, settings.RepeatIdempotent, settings.RepeatDeduplicated, settings.RepeatAtMostOnce),
			Scope:       pick(d, settings.GroupAll, settings.GroupZone, settings.GroupCell),
			KeyTTL:      d.duration(50*time.Millisecond, 10*time.Second),
			Objective:   emulator.Duration(objective),
			Deadline:    emulator.Duration(min(objective*d.scaled(1, 6), float64(maxDeadline))),
			Value:       d.number(0.5, 5),
			Work:        emulator.Duration(work),
			WorkSpread:  d.number(0, 1),
		}
	}
	return classes
}

// plans draws plans whose quotas suit the given load, so that each plan has from a few to a few dozen customers.
func (d drawer) plans(scenario *emulator.Scenario, unitRate float64) []emulator.Plan {
	plans := make([]emulator.Plan, d.integer(1, maxPlans))
	for i := range plans {
		customers := float64(d.count(3, 60))
		rate := unitRate / float64(len(plans)) / customers / scenario.Clients.CalmUse
		plan := emulator.Plan{
			Name:           fmt.Sprintf("plan-%d", i+1),
			Share:          d.number(0.3, 1),
			Rate:           rate,
			Burst:          float64(scenario.Clients.MaxUnits) + rate*d.scaled(0.3, 5),
			Price:          d.number(0.3, 2),
			OverQuotaValue: d.number(0, 1),
			OverQuotaCost:  d.number(0, 1),
		}
		if d.chance(0.4) {
			plan.CeilingRate = rate * d.number(1, 2)
			plan.CeilingBurst = max(minCeilingRequests*float64(scenario.Clients.MaxUnits), plan.Burst*d.scaled(0.2, 2))
			plan.CeilingSlack = d.number(0, 1) * float64(scenario.Clients.MaxUnits)
		}
		if d.chance(0.2) {
			plan.MaxConcurrent = float64(d.count(2, 60))
		}
		plans[i] = plan
	}
	return plans
}
