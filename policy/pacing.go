package policy

import "time"

const (
	managerPeriod = 500 * time.Millisecond // paper, V.B: every half to one second
	forgetBelow   = 0.01                   // share of its quota below which a quiet customer is forgotten
)

// bandwidthManager holds the paper's sums over all customers, as of its last pass.
type bandwidthManager struct {
	lastRun        time.Duration
	peakUsage      float64 // the paper's B̂, units a second
	totalUsage     float64 // sum of the customers' b̂
	totalQuota     float64 // the paper's B
	someUnderQuota bool    // an active customer is under its quota
}

// holdSeconds is the paper's eq. 3, (1/d - 1/B̂) x units, floored at zero; infinite with nothing available.
func (e *Engine) holdSeconds(c *customer, units float64) float64 {
	return max(0, (1/e.manager.availableRate(c)-1/e.manager.peakUsage)*units)
}

// availableRate is the paper's d, the rate that is available to a customer (eq. 4 to 6).
func (m *bandwidthManager) availableRate(c *customer) float64 {
	quota := c.plan.QuotaRate
	switch {
	case m.someUnderQuota && c.avgUsage < quota:
		return max(0, 2*quota-c.avgUsage)
	case !m.someUnderQuota && m.totalQuota > m.totalUsage:
		return max(0, m.totalQuota-(m.totalUsage-c.avgUsage))
	}
	return max(0, quota)
}

// runManager is the paper's bandwidth manager: it decays the usage of quiet customers, forgets those near
// zero, clears the active flags and raises B̂ to the peak.
func (e *Engine) runManager(now time.Duration) {
	m := &e.manager
	elapsed := now - m.lastRun
	m.lastRun = now
	e.updateRates(now, elapsed)
	e.overuse.decay(elapsed)
	m.totalUsage, m.totalQuota, m.someUnderQuota = 0, 0, false
	kept := e.customerList[:0]
	for _, c := range e.customerList {
		e.updateCustomer(now, c)
		if !c.hasReading {
			periods := min(1, elapsed.Seconds()/max(e.cfg.MeterPeriod, managerPeriod).Seconds())
			c.avgUsage -= usageSmoothing * c.avgUsage * periods
		}
		keep := e.cfg.WarmUpDuration
		if c.plan.CeilingRate > 0 { // an empty ceiling takes so long to fill
			keep = max(keep, seconds(c.plan.CeilingBurst/c.plan.CeilingRate))
		}
		idle := c.openRequests == 0 && c.heldRequests == 0 && now-c.lastSeen > keep
		if idle && c.avgUsage <= forgetBelow*c.plan.QuotaRate {
			delete(e.customers, c.id)
			continue
		}
		kept = append(kept, c)
		m.totalUsage += c.avgUsage
		m.totalQuota += c.plan.QuotaRate
		m.someUnderQuota = m.someUnderQuota || c.active && c.avgUsage < c.plan.QuotaRate
		c.active = false
	}
	clear(e.customerList[len(kept):])
	e.customerList = kept
	m.peakUsage = max(m.peakUsage, m.totalUsage, m.totalQuota)
}
