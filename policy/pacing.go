package policy

import "time"

const (
	bandwidthManagerPeriod = 500 * time.Millisecond // within the 0.5 to 1 s of Li and Jamin, section V.B
	maxEvictedUsageShare   = 0.01                   // largest share of its quota that an evicted customer uses
)

// bandwidthManager holds the sums over all customers that pacing needs, as of its last pass. It implements
// the bandwidth manager of Li and Jamin.
type bandwidthManager struct {
	lastRun             time.Duration // time of the last pass
	peakUsage           float64       // peak of total usage and quota, in units per second; B̂ of Li and Jamin
	totalUsage          float64       // sum of the customers' average usages b̂, in units per second
	totalQuota          float64       // sum of the customers' quotas, in units per second; B of Li and Jamin
	anyActiveUnderQuota bool          // at least one active customer is under its quota
}

// pacingDelaySeconds is the delay of a request by eq. 3 of Li and Jamin, (1/d - 1/B̂)·units, and at least 0:
// d is the available rate and B̂ the peak usage. The delay is infinite if no rate is available.
func (e *Engine) pacingDelaySeconds(c *customer, units float64) float64 {
	return max(0, (1/e.bandwidth.availableRate(c)-1/e.bandwidth.peakUsage)*units)
}

// availableRate is the rate that is available to a customer, in units per second: d of Li and Jamin, eq. 4
// to 6.
func (m *bandwidthManager) availableRate(c *customer) float64 {
	quota := c.plan.QuotaRate
	switch {
	case m.anyActiveUnderQuota && c.avgUsage < quota:
		return max(0, 2*quota-c.avgUsage)
	case !m.anyActiveUnderQuota && m.totalQuota > m.totalUsage:
		return max(0, m.totalQuota-(m.totalUsage-c.avgUsage))
	}
	return max(0, quota)
}

// runBandwidthManager runs a pass of the bandwidth manager. It decays the usage of customers without a
// reading, evicts idle customers whose usage is near 0, clears the active flags and raises the peak usage.
func (e *Engine) runBandwidthManager(now time.Duration) {
	m := &e.bandwidth
	elapsed := now - m.lastRun
	m.lastRun = now
	e.updateRates(now)
	e.overuse.decay(elapsed)
	m.totalUsage, m.totalQuota, m.anyActiveUnderQuota = 0, 0, false
	kept := e.customerList[:0]
	for _, c := range e.customerList {
		e.updateCustomer(now, c)
		if !c.hasReading {
			periods := min(1, elapsed.Seconds()/max(e.cfg.MeterPeriod, bandwidthManagerPeriod).Seconds())
			c.avgUsage -= usageSmoothing * c.avgUsage * periods
		}
		isForgotten := c.isIdle() && now-c.lastSeen > e.cfg.WarmUpDuration
		if isForgotten && c.avgUsage <= maxEvictedUsageShare*c.plan.QuotaRate {
			delete(e.customers, c.id)
			continue
		}
		kept = append(kept, c)
		m.totalUsage += c.avgUsage
		m.totalQuota += c.plan.QuotaRate
		m.anyActiveUnderQuota = m.anyActiveUnderQuota || c.active && c.avgUsage < c.plan.QuotaRate
		c.active = false
	}
	clear(e.customerList[len(kept):])
	e.customerList = kept
	m.peakUsage = max(m.peakUsage, m.totalUsage, m.totalQuota)
}
