// Package baseline provides simple deciders to compare the policy with, behind the same interface. All of them share
// the code that keeps the rules on retries, drains, slow start and final answers. They differ in admission and in the
// choice of an endpoint.
package baseline

import (
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// lateOracleAge is the age of the true state that LateOracle sees.
const lateOracleAge = time.Second

// namedDecider is a baseline with its name in experiment files.
type namedDecider struct {
	name       string
	newDecider emulator.NewDecider
}

// baselines lists all baselines in the order of Names.
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

// ByName returns the constructor of the baseline with the given name, and whether there is one.
func ByName(name string) (emulator.NewDecider, bool) {
	i := slices.IndexFunc(baselines, func(baseline namedDecider) bool { return baseline.name == name })
	if i < 0 {
		return nil, false
	}
	return baselines[i].newDecider, true
}

// AdmitAll returns a decider that admits every request and picks an endpoint at random.
func AdmitAll(cfg policy.Config, actions policy.Actions, _ emulator.GroundTruth) emulator.Decider {
	g := newBaseDecider(cfg, actions)
	g.admit = func(time.Duration, *request) bool { return true }
	g.choose = func(_ *request, candidates []*endpoint) *endpoint {
		return candidates[g.random.IntN(len(candidates))]
	}
	return g
}

// EvenSplit returns a decider that gives each gateway of a customer an equal part of the customer's quota, as a token
// bucket. It picks the less loaded of two random endpoints.
func EvenSplit(cfg policy.Config, actions policy.Actions, _ emulator.GroundTruth) emulator.Decider {
	g := newBaseDecider(cfg, actions)
	split := newEvenSplit(&g.cfg)
	g.admit = split.admit
	g.choose = g.lessLoadedOfTwo
	return g
}

// LateOracle returns a decider that sees the true quotas and backlogs as they were a second ago. Of two random
// endpoints it picks the one that had the shorter backlog.
func LateOracle(cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
	return newOracle(cfg, actions, groundTruth, lateOracleAge)
}

// InstantOracle returns a decider that sees the present true quotas and backlogs. Its service is an upper bound that no
// real gateway can reach.
func InstantOracle(cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
	return newOracle(cfg, actions, groundTruth, 0)
}

func newOracle(
	cfg policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth, age time.Duration,
) emulator.Decider {
	g := newBaseDecider(cfg, actions)
	g.admit = func(_ time.Duration, r *request) bool {
		if r.Plan < 0 || r.Plan >= len(g.cfg.Plans) || g.cfg.Plans[r.Plan].QuotaRate <= 0 {
			return true
		}
		plan := &g.cfg.Plans[r.Plan]
		earnsOverQuota := plan.OverQuotaValue > plan.OverQuotaCost
		return earnsOverQuota || groundTruth.QuotaLeft(r.Customer, r.Plan, age) >= r.Units
	}
	g.choose = func(_ *request, candidates []*endpoint) *endpoint {
		if age > 0 {
			// All gateways see the same outdated state. If each of them picked the best endpoint, their combined
			// load would overload it.
			candidates = g.sampleTwo(candidates)
		}
		return leastBacklog(candidates, groundTruth, age)
	}
	return g
}

// leastBacklog returns the endpoint with the shortest backlog. Of equal ones it returns the one with fewer attempts of
// this gateway in flight.
func leastBacklog(candidates []*endpoint, groundTruth emulator.GroundTruth, age time.Duration) *endpoint {
	var best *endpoint
	var shortest time.Duration
	for _, candidate := range candidates {
		backlog := groundTruth.Backlog(candidate.ID, age)
		if best == nil || backlog < shortest || backlog == shortest && candidate.inFlight < best.inFlight {
			best, shortest = candidate, backlog
		}
	}
	return best
}
