package policy

import (
	"math"
	"time"
)

const (
	maxOveruseCost         = 0.1              // acceptable cost of usage over quota, per requested value
	assumedOverQuotaShare  = 0.4              // share of the requested value that the model puts over quota
	assumedOverQuotaFactor = 4.0              // demand of a customer over quota in the model, in quotas
	overuseDecay           = 20 * time.Second // time constant with which the sums over readings decay
	overusePriorWeight     = 10.0             // weight of the prior, as a number of readings
	overuseCostTarget      = 0.4              // share of maxOveruseCost above which readings lower admission
	allowanceExponent      = 4                // power of the admit probability in the allowance
	minRejectProbability   = 1e-3             // keeps admission factors finite where next to nothing is rejected
)

// overuseModel estimates what requests of customers of unknown usage cost if the customers turn out to be
// over quota, and hence how many of these requests may be admitted. All sums cover this gateway alone.
type overuseModel struct {
	typicalUnits          float64        // units of a typical request
	meterPeriodSeconds    float64        // metering period, in seconds
	requestedValue        float64        // value of all requests
	potentialCost         float64        // cost of all requests if all of them were over quota
	weightedPotentialCost float64        // sum of potential costs, each weighted by its OverQuotaCost
	plans                 []overuseStats // statistics by plan; the last element is for unknown plans
	meteredValue          float64        // value forwarded for sparsely spread customers with a reading; decays
	meteredCost           float64        // cost of usage over quota in meteredValue, by these readings; decays
	meteredRequests       float64        // number of requests in meteredValue; decays
}

// overuseStats holds how many units of a plan were forwarded for customers with a reading, and how many of
// them were over quota. Both sums decay.
type overuseStats struct{ units, overQuotaUnits float64 }

// newOveruseModel returns a model without observations.
func newOveruseModel(cfg *Config) overuseModel {
	return overuseModel{typicalUnits: max(1, cfg.MaxRequestUnits) / 2,
		meterPeriodSeconds: cfg.MeterPeriod.Seconds(),
		plans:              make([]overuseStats, len(cfg.Plans)+1)}
}

// inQuotaValue is what a request earns within its customer's quota.
func (r *request) inQuotaValue() float64 {
	return r.Units * r.class.PriorityWeight * r.customer.plan.PriceFactor
}

// recordRequest counts a request that has arrived. Retries by clients count too.
func (m *overuseModel) recordRequest(r *request) {
	value, cost := r.inQuotaValue(), r.customer.plan.OverQuotaCost
	m.requestedValue += value
	m.potentialCost += value * cost
	m.weightedPotentialCost += value * cost * cost
}

// recordMetered counts a forwarded request whose customer has a reading. It adds a typical request to both
// usage and quota: where the quota of a metering period holds only one or two requests, every other request
// would otherwise seem to be over quota.
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

// decay reduces the sums over readings exponentially with the elapsed time.
func (m *overuseModel) decay(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / overuseDecay.Seconds())
	m.meteredValue *= factor
	m.meteredCost *= factor
	m.meteredRequests *= factor
	for i, stats := range m.plans {
		m.plans[i] = overuseStats{stats.units * factor, stats.overQuotaUnits * factor}
	}
}

// admitProbability is the probability with which a typical request of unknown usage is admitted. With it,
// usage over quota costs maxOveruseCost if assumedOverQuotaShare of the value is requested over quota, by
// customers whose demand is assumedOverQuotaFactor times their quota.
func (m *overuseModel) admitProbability() float64 {
	if m.potentialCost <= maxOveruseCost/assumedOverQuotaShare*m.requestedValue {
		return 1
	}
	return 1/assumedOverQuotaFactor +
		(1-1/assumedOverQuotaFactor)*maxOveruseCost/assumedOverQuotaShare*m.requestedValue/m.potentialCost
}

// planOveruseRatio is the share of a plan's units over quota, relative to that share over all plans.
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

// costCorrection is a factor of at most 1 that lowers admission where readings show that usage over quota
// costs too much. The model cannot predict that cost, since no setting states how often clients retry at
// other gateways. The factor never raises admission, because a few answers would then admit far too much.
func (m *overuseModel) costCorrection() float64 {
	if m.meteredValue <= 0 {
		return 1
	}
	// The cost limit is a share of the requested value. The readings cover the forwarded part of it, which grows
	// with the admit probability.
	relativeCost := m.meteredCost / m.meteredValue * m.admitProbability() / (overuseCostTarget * maxOveruseCost)
	return min(1, (m.meteredRequests+overusePriorWeight)/(m.meteredRequests*relativeCost+overusePriorWeight))
}

// allowance is the factor by which more than an even share may be admitted. It is close to 1 while a large
// part of the requests is rejected.
func (m *overuseModel) allowance() float64 {
	return 1 / max(minRejectProbability, 1-math.Pow(m.admitProbability(), allowanceExponent))
}

// overcommitFactor is the factor on the quota that is granted to a sparsely spread customer of unknown usage.
// An even split of the quota holds less than a request, so without the factor the customer would be rejected
// for minutes, even where usage over quota costs little.
func (e *Engine) overcommitFactor(c *customer) float64 {
	if c.hasReading || !c.sparselySpread() || c.plan.OverQuotaCost <= 0 {
		return 1
	}
	return 1 / max(minRejectProbability, 1-e.overuse.admitProbability())
}

// rejectsUnknownUsage decides by a random draw whether a request of a sparsely spread customer of unknown
// usage is rejected. Without it the first request at each gateway would be admitted, and a customer far over
// its quota reaches so many gateways that it would hardly ever be rejected. Rejection is more likely for
// large requests and for plans whose usage over quota is costly or frequent. A draw is kept until an even
// split of the quota has earned the request, or retries would eventually be admitted everywhere.
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
	return relativeRisk*c.admissionDraw > m.admitProbability()*m.allowance()*m.costCorrection()
}
