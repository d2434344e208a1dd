package policy

import "time"

const (
	bandwidthManagerPeriod = 500 * time.Millisecond // paper, V.B: every half to one second
	maxEvictedUsageShare   = 0.01                   // share of its quota below which a quiet customer is forgotten
)

// bandwidthManager holds the paper's sums over all customers, as of its last pass.
type bandwidthManager struct {
	lastRun             time.Duration
	peakUsage           float64 // the paper's B̂, units a second
	totalUsage          float64 // sum of the customers' b̂
	totalQuota          float64 // the paper's B
	anyActiveUnderQuota bool    // an active customer is under its quota
}

// pacingDelaySeconds is the paper's eq. 3, (1/d - 1/B̂) x units, floored at zero; infinite with nothing available.
func (e *Engine) pacingDelaySeconds(c *customer, units float64) float64 {
	return max(0, (1/e.bandwidth.availableRate(c)-1/e.bandwidth.peakUsage)*units)
}

// availableRate is the paper's d, the rate that is available to a customer (eq. 4 to 6).
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

// runBandwidthManager is the paper's bandwidth manager: it decays the usage of quiet customers, forgets those near
// zero, clears the active flags and raises B̂ to the peak.
func (e *Engine) runBandwidthManager(now time.Duration) {
	m := &e.bandwidth
	elapsed := now - m.lastRun
	m.lastRun = now
	e.updateRates(now, elapsed)
	e.overuse.decay(elapsed)
	m.totalUsage, m.totalQuota, m.anyActiveUnderQuota = 0, 0, false
	kept := e.customerList[:0]
	for _, c := range e.customerList {
		e.updateCustomer(now, c)
		if !c.hasReading {
			periods := min(1, elapsed.Seconds()/max(e.cfg.MeterPeriod, bandwidthManagerPeriod).Seconds())
			c.avgUsage -= usageSmoothing * c.avgUsage * periods
		}
		retention := e.cfg.WarmUpDuration
		if c.plan.CeilingRate > 0 { // an empty ceiling takes so long to fill
			retention = max(retention, seconds(c.plan.CeilingBurst/c.plan.CeilingRate))
		}
		idle := c.openRequests == 0 && c.queuedRequests == 0 && now-c.lastSeen > retention
		if idle && c.avgUsage <= maxEvictedUsageShare*c.plan.QuotaRate {
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
