package policy

import (
	"math"
	"time"
)

const (
	maxOveruseCost         = 0.1              // the most that overuse may cost (FLEET page, over_quota)
	assumedOverQuotaShare  = 0.4              // share of the requested value over quota: 0.21 to 0.41 measured
	assumedOverQuotaFactor = 4.0              // what a customer over its quota requests, over that quota
	overuseDecay           = 20 * time.Second // time constant of what readings tell
	overusePriorWeight     = 10.0             // readings that weigh as much as the prior
	overuseCostTarget      = 0.4              // share of maxOveruseCost above which readings lower admission
	allowanceExponent      = 4                // how fast the allowance grows with the admit probability
	minRejectProbability   = 1e-3             // keeps the allowance finite where next to nothing is rejected
)

// overuseModel estimates what requests of customers of unknown usage cost if they turn out to be over quota,
// and so how many of them may be admitted. All sums are of this gateway alone.
type overuseModel struct {
	typicalUnits          float64        // of a request
	meterPeriodSeconds    float64        // the metering period
	requestedValue        float64        // value of all requests
	potentialCost         float64        // what it would cost if it were all over quota
	weightedPotentialCost float64        // that cost weighted by itself
	plans                 []overuseStats // by plan; the last one is of plans that are not known
	meteredValue          float64        // value forwarded for sparsely spread customers with a reading, decaying;
	meteredCost           float64        // what overuse has cost of it by these readings;
	meteredRequests       float64        // and how many requests these are
}

// overuseStats is what readings tell of a plan's forwarded units, sums that decay.
type overuseStats struct{ units, overQuotaUnits float64 }

func newOveruseModel(cfg *Config) overuseModel {
	return overuseModel{typicalUnits: max(1, cfg.MaxRequestUnits) / 2,
		meterPeriodSeconds: cfg.MeterPeriod.Seconds(),
		plans:              make([]overuseStats, len(cfg.Plans)+1)}
}

// inQuotaValue is what a request earns inside its customer's quota.
func (r *request) inQuotaValue() float64 {
	return r.Units * r.class.PriorityWeight * r.customer.plan.PriceFactor
}

// recordRequest counts a request that has arrived, client retries included.
func (m *overuseModel) recordRequest(r *request) {
	value, cost := r.inQuotaValue(), r.customer.plan.OverQuotaCost
	m.requestedValue += value
	m.potentialCost += value * cost
	m.weightedPotentialCost += value * cost * cost
}

// recordMetered enters a forwarded request whose customer has a reading. A typical request is added to usage
// and quota: where the quota of a period holds one or two, every other one would seem to be over it.
func (m *overuseModel) recordMetered(r *request) {
	c := r.customer
	typicalRate := m.typicalUnits / m.meterPeriodSeconds
	usage := (c.meteredRate + typicalRate) / (c.plan.QuotaRate + typicalRate)
	overQuotaShare := max(0, 1-1/usage)
	m.meteredValue += r.inQuotaValue()
	m.meteredCost += r.inQuotaValue() * overQuotaShare * c.plan.OverQuotaCost
	m.meteredRequests++
	c.planOveruse.units += r.Units
	c.planOveruse.overQuotaUnits += r.Units * overQuotaShare
}

func (m *overuseModel) decay(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / overuseDecay.Seconds())
	m.meteredValue *= factor
	m.meteredCost *= factor
	m.meteredRequests *= factor
	for i, stats := range m.plans {
		m.plans[i] = overuseStats{stats.units * factor, stats.overQuotaUnits * factor}
	}
}

// admitProbability is for a typical request of unknown usage. At it overuse costs maxOveruseCost, if
// assumedOveruse of the value is over quota and its customers use one part in assumedExcess inside theirs.
func (m *overuseModel) admitProbability() float64 {
	if m.potentialCost <= maxOveruseCost/assumedOverQuotaShare*m.requestedValue {
		return 1
	}
	return 1/assumedOverQuotaFactor +
		(1-1/assumedOverQuotaFactor)*maxOveruseCost/assumedOverQuotaShare*m.requestedValue/m.potentialCost
}

// planOveruseRatio is the share of a plan's units over quota, relative to that of all plans.
func (m *overuseModel) planOveruseRatio(plan *overuseStats) float64 {
	var all overuseStats
	for _, stats := range m.plans {
		all.units += stats.units
		all.overQuotaUnits += stats.overQuotaUnits
	}
	if all.overQuotaUnits <= 0 {
		return 1
	}
	mean, prior := all.overQuotaUnits/all.units, overusePriorWeight*m.typicalUnits
	return (plan.overQuotaUnits + prior*mean) / (plan.units + prior) / mean
}

// correction lowers admission where readings tell that overuse costs too much: no setting tells how often
// clients retry elsewhere. It never raises it, for a few answers would then admit far too much.
func (m *overuseModel) correction() float64 {
	if m.meteredValue <= 0 {
		return 1
	}
	// The limit is a share of what is requested; what is forwarded of it grows with the probability.
	relativeCost := m.meteredCost / m.meteredValue * m.admitProbability() / (overuseCostTarget * maxOveruseCost)
	return min(1, (m.meteredRequests+overusePriorWeight)/(m.meteredRequests*relativeCost+overusePriorWeight))
}

// allowance is by how much more than an even share may be admitted: next to nothing while much is rejected.
func (m *overuseModel) allowance() float64 {
	return 1 / max(minRejectProbability, 1-math.Pow(m.admitProbability(), allowanceExponent))
}

// overcommitFactor is how many times over the split of a sparsely spread customer is granted: it holds no
// request, and would lock the customer out for minutes, also where overuse costs little.
func (e *Engine) overcommitFactor(c *customer) float64 {
	if c.hasReading || !c.sparselySpread() || c.plan.OverQuotaCost <= 0 {
		return 1
	}
	return 1 / max(minRejectProbability, 1-e.overuse.admitProbability())
}

// rejectsUnknownUsage rejects a part of the requests of sparsely spread customers of unknown usage: the first at
// each gateway would be all that a greedy customer needs. Large requests and dear overuse weigh more. A draw
// stays until an even split of the quota has earned a request, or retries would get through everywhere.
func (e *Engine) rejectsUnknownUsage(now time.Duration, r *request) bool {
	c, m := r.customer, &e.overuse
	if !c.sparselySpread() || c.plan.OverQuotaCost <= 0 {
		return false
	}
	if c.admissionDraw == 0 || now-c.admissionDrawAt > seconds(r.Units*c.setSize/c.plan.QuotaRate) {
		c.admissionDraw, c.admissionDrawAt = 1-e.rng.Float64(), now
	}
	meanCost := m.weightedPotentialCost / m.potentialCost
	relativeRisk := r.Units / m.typicalUnits * c.plan.OverQuotaCost / meanCost *
		m.planOveruseRatio(c.planOveruse)
	return relativeRisk*c.admissionDraw > m.admitProbability()*m.allowance()*m.correction()
}
