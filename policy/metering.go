package policy

import (
	"math"
	"time"
)

const (
	usageSmoothing      = 0.3  // paper, eq. 2: weight of a new reading in the average usage
	meterLagPeriods     = 1.75 // a reading trails the usage by about this many metering periods
	shareAveragingLags  = 3.0  // this gateway's share of the usage is averaged over this many lags
	readingValidPeriods = 3    // a reading is valid for this many metering periods,
	readingValidUnits   = 4    // and while the quota over one gateway's even split earns this many units
)

func (e *Engine) meterLagSeconds() float64 { return meterLagPeriods * e.cfg.MeterPeriod.Seconds() }

// recordReading takes the usage that an answer carries.
func (e *Engine) recordReading(now time.Duration, r *request, result AttemptResult, current bool) {
	c := r.customer
	if !result.HasUsage || c.plan.QuotaRate <= 0 || e.cfg.MeterPeriod <= 0 {
		return
	}
	e.recordUsage(now, c, result.Usage)
	if current && result.Status == StatusOK && c.sparselySpread() {
		e.overuse.recordMetered(r)
	}
}

// recordUsage takes a reading of a customer's usage over all gateways, as a share of its quota. It goes by
// time: it does not matter how many answers carry the same reading.
func (e *Engine) recordUsage(now time.Duration, c *customer, quotaShare float64) {
	e.updateCustomer(now, c)
	rate := quotaShare * c.plan.QuotaRate
	firstOverQuota := !c.hasReading && c.sparselySpread() && e.readingConclusive(c) && rate > c.plan.QuotaRate
	isNew := !c.hasReading || rate != c.meteredRate || now-c.avgUsageAt >= e.cfg.MeterPeriod
	c.hasReading, c.meteredRate, c.meteredAt = true, rate, now
	if !isNew || now-c.avgUsageAt < e.cfg.MeterPeriod/2 {
		return
	}
	c.avgUsageAt = now
	c.avgUsage += usageSmoothing * (rate - c.avgUsage)
	periods := 1.0
	if firstOverQuota {
		// Its bucket has emptied unseen, and that took as many periods as the burst lasts.
		c.meteredBucket.tokens = 0
		periods = c.plan.Burst / c.plan.QuotaRate / e.cfg.MeterPeriod.Seconds()
	}
	c.updateRejectProbability(periods)
}

// updateRejectProbability sets the design's p = max(0, 1-(1-p)·quota/usage) for periods at the last reading.
func (c *customer) updateRejectProbability(periods float64) {
	if c.meteredRate <= 0 {
		c.rejectProbability = 0
		return
	}
	admitProbability := (1 - c.rejectProbability) * math.Pow(c.plan.QuotaRate/c.meteredRate, periods)
	c.rejectProbability = max(0, 1-admitProbability)
}

// updateCustomer brings a customer's readings, averages and buckets up to now.
func (e *Engine) updateCustomer(now time.Duration, c *customer) {
	elapsed := (now - c.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	c.updatedAt = now
	e.refreshReading(now, c)
	e.updateShareAverages(c, elapsed)
	e.refillBuckets(c, elapsed)
}

// refreshReading lets the last reading stand for periods of which no answer tells, and drops it in the end.
func (e *Engine) refreshReading(now time.Duration, c *customer) {
	validFor := max(readingValidPeriods*e.cfg.MeterPeriod, seconds(readingValidUnits*c.setSize/c.plan.QuotaRate))
	if c.hasReading && now-c.meteredAt > validFor {
		c.hasReading, c.rejectProbability, c.meteredRate = false, 0, 0
		c.meteredBucket.tokens = c.plan.Burst
	}
	if period := e.cfg.MeterPeriod; c.hasReading && now-c.avgUsageAt >= 2*period {
		missedPeriods := (now - c.avgUsageAt) / period
		c.avgUsageAt += missedPeriods * period
		c.updateRejectProbability(float64(missedPeriods))
	}
}

// updateShareAverages averages the units forwarded from here and the metered usage over the meter's lag.
func (e *Engine) updateShareAverages(c *customer, elapsed float64) {
	lag := e.meterLagSeconds()
	if lag <= 0 {
		return
	}
	decay := math.Exp(-elapsed / lag / shareAveragingLags)
	c.laggedUnits = c.laggedUnits*decay + c.recentUnits/lag*elapsed
	c.recentUnits *= math.Exp(-elapsed / lag)
	c.laggedUsage = c.laggedUsage*decay + c.meteredRate*elapsed
}

// usageShare is this gateway's observed share of a customer's usage, first an even split.
func (e *Engine) usageShare(c *customer) float64 {
	priorUsage := c.plan.QuotaRate * meterLagPeriods * e.cfg.MeterPeriod.Seconds() * shareAveragingLags / 4
	// Without usage in the metered period the customer has begun since. Spread over many gateways it hardly uses
	// this one alone, which would be granted nearly the whole quota.
	newlyActive := c.meteredRate <= 0 && c.sparselySpread()
	if priorUsage <= 0 || !c.hasReading || newlyActive {
		return 1 / c.setSize
	}
	return min(1, (c.laggedUnits+priorUsage/c.setSize)/(c.laggedUsage+priorUsage))
}
