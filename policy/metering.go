package policy

import (
	"math"
	"time"
)

const (
	usageSmoothing     = 0.3  // weight of a new reading in the average usage (Li and Jamin, eq. 2)
	meterLagPeriods    = 1.75 // lag of a reading behind the usage, in metering periods
	shareAveragingLags = 3.0  // averaging time of this gateway's share of the usage, in meter lags

	// A reading is valid for readingValidPeriods metering periods, or for the time in which an even split of
	// the quota earns readingValidUnits, whichever is longer.
	readingValidPeriods = 3
	readingValidUnits   = 4
)

// meterLagSeconds is the time by which a reading lags behind the usage.
func (e *Engine) meterLagSeconds() float64 { return meterLagPeriods * e.cfg.MeterPeriod.Seconds() }

// recordReading handles the reading of the usage that an answer may carry.
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

// recordUsage handles a reading of a customer's usage over all gateways, as a share of its quota. The
// averages advance with time, so it does not matter how many answers carry the same reading.
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
		// The usage exceeded the quota before this first reading: the bucket has run empty, which took as many
		// metering periods as the quota rate needs to earn the burst.
		c.meteredBucket.tokens = 0
		periods = c.plan.Burst / c.plan.QuotaRate / e.cfg.MeterPeriod.Seconds()
	}
	c.updateRejectProbability(periods)
}

// updateRejectProbability applies p = max(0, 1-(1-p)·quota/usage) once for each of the given metering
// periods, with the usage of the last reading.
func (c *customer) updateRejectProbability(periods float64) {
	if c.meteredRate <= 0 {
		c.rejectProbability = 0
		return
	}
	admitProbability := (1 - c.rejectProbability) * math.Pow(c.plan.QuotaRate/c.meteredRate, periods)
	c.rejectProbability = max(0, 1-admitProbability)
}

// updateCustomer brings a customer's reading, averages and buckets up to date.
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

// refreshReading drops a reading that is no longer valid. A valid reading also counts for later metering
// periods for which no answer has carried a reading.
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

// updateShareAverages updates the averages from which usageShare follows. The units forwarded here are
// delayed by the meter lag, so that they cover the same time as the metered usage.
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

// usageShare is this gateway's share of a customer's usage: the units forwarded here, relative to the metered
// usage over all gateways. Without a reading it is an even split among the customer's gateways.
func (e *Engine) usageShare(c *customer) float64 {
	priorUsage := c.plan.QuotaRate * meterLagPeriods * e.cfg.MeterPeriod.Seconds() * shareAveragingLags / 4
	// A reading without usage means that the customer became active after the metered period. All of its known
	// usage is then at this gateway, which would be granted nearly the whole quota, although a sparsely spread
	// customer hardly uses one gateway alone.
	newlyActive := c.meteredRate <= 0 && c.sparselySpread()
	if priorUsage <= 0 || !c.hasReading || newlyActive {
		return 1 / c.setSize
	}
	return min(1, (c.laggedUnits+priorUsage/c.setSize)/(c.laggedUsage+priorUsage))
}
