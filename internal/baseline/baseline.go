// Package baseline holds simple deciders that the policy is compared with, behind the same interface. They share how
// they keep the rules on repeats, drains, slow start and final answers (decider.go), and differ in whom they admit and
// which endpoint they choose.
package baseline

import (
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// lateOracleAge is how old the true state is that the late oracle sees.
const lateOracleAge = time.Second

// namedDecider is a decider with the name that experiment files use.
type namedDecider struct {
	name       string
	newDecider emulator.NewDecider
}

var baselines = []namedDecider{
	{"admit-all", AdmitAll},
	{"even-split", EvenSplit},
	{"late-oracle", LateOracle},
	{"instant-oracle", InstantOracle},
}

// Names returns the names of all baselines.
func Names() []string {
	names := make([]string, len(baselines))
	for i, baseline := range baselines {
		names[i] = baseline.name
	}
	return names
}

// ByName returns the baseline of that name.
func ByName(name string) (emulator.NewDecider, bool) {
	i := slices.IndexFunc(baselines, func(baseline namedDecider) bool { return baseline.name == name })
	if i < 0 {
		return nil, false
	}
	return baselines[i].newDecider, true
}

// AdmitAll admits every request and picks an endpoint at random.
func AdmitAll(cfg policy.Config, actions policy.Actions, _ emulator.Truth) emulator.Decider {
	g := newBaseDecider(cfg, actions)
	g.admit = func(time.Duration, *request) bool { return true }
	g.choose = func(_ *request, candidates []*endpoint) *endpoint {
		return candidates[g.random.IntN(len(candidates))]
	}
	return g
}

// EvenSplit grants each gateway an even part of a customer's quota, by a token bucket, and picks the less loaded of two
// endpoints at random.
func EvenSplit(cfg policy.Config, actions policy.Actions, _ emulator.Truth) emulator.Decider {
	g := newBaseDecider(cfg, actions)
	split := newEvenSplit(&g.cfg)
	g.admit = split.admit
	g.choose = g.lessLoadedOfTwo
	return g
}

// LateOracle sees the true quotas and queues as they were a second ago. Of two random endpoints it picks the one that
// was less loaded.
func LateOracle(cfg policy.Config, actions policy.Actions, truth emulator.Truth) emulator.Decider {
	return newOracle(cfg, actions, truth, lateOracleAge)
}

// InstantOracle sees the true quotas and queues. No real gateway can reach what it serves.
func InstantOracle(cfg policy.Config, actions policy.Actions, truth emulator.Truth) emulator.Decider {
	return newOracle(cfg, actions, truth, 0)
}

func newOracle(cfg policy.Config, actions policy.Actions, truth emulator.Truth, age time.Duration) emulator.Decider {
	g := newBaseDecider(cfg, actions)
	g.admit = func(_ time.Duration, r *request) bool {
		if r.Plan < 0 || r.Plan >= len(g.cfg.Plans) || g.cfg.Plans[r.Plan].QuotaRate <= 0 {
			return true
		}
		plan := &g.cfg.Plans[r.Plan]
		earnsOverQuota := plan.OverQuotaValue > plan.OverQuotaCost
		return earnsOverQuota || truth.QuotaLeft(r.Customer, r.Plan, age) >= r.Units
	}
	g.choose = func(_ *request, candidates []*endpoint) *endpoint {
		if age > 0 {
			// All gateways see the same late state: if each took the best, they would overload it together.
			candidates = g.sampleTwo(candidates)
		}
		return leastBacklog(candidates, truth, age)
	}
	return g
}

// leastBacklog returns the endpoint that would begin a request first, of equal ones the one with less in flight.
func leastBacklog(candidates []*endpoint, truth emulator.Truth, age time.Duration) *endpoint {
	var best *endpoint
	var shortest time.Duration
	for _, candidate := range candidates {
		backlog := truth.Backlog(candidate.ID, age)
		if best == nil || backlog < shortest || backlog == shortest && candidate.inFlight < best.inFlight {
			best, shortest = candidate, backlog
		}
	}
	return best
}
