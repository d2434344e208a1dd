package virtualsoak

import (
	"time"

	"springfield/policy"
)

// Limits of starvation. A gateway starves if it rejects all of its requests for at least starvationTime, at least
// starvationRequests of them, although it could have forwarded each of them. In a deployment, a gateway may not reject
// all of its requests for 4 s.
const (
	starvationTime     = 4 * time.Second
	starvationRequests = 15

	// starvationCustomers is the number of customers whose requests are rejected at least, so that a wrong estimate of the
	// usage of one customer is not taken for starvation.
	starvationCustomers = 2

	// quotaMemory is how long after a customer was over its quota the quota may explain a rejection, because readings
	// of the meter are late.
	quotaMemory = 4 * time.Second
)

// starvationDetector detects that a gateway starves.
type starvationDetector struct {
	overQuotaAt map[policy.CustomerID]time.Duration // latest rejection at which the customer was over its quota
	since       time.Duration                       // time of the first rejection of the series
	rejected    int                                 // number of rejections since the last attempt
	customers   map[policy.CustomerID]bool          // customers whose requests were rejected in the series
}

func newStarvationDetector() starvationDetector {
	return starvationDetector{
		overQuotaAt: map[policy.CustomerID]time.Duration{},
		customers:   map[policy.CustomerID]bool{},
	}
}

// reset ends a series of rejections.
func (s *starvationDetector) reset() {
	s.rejected = 0
	clear(s.customers)
}

// recordRejection records a rejection and reports whether it shows that the gateway starves.
func (s *starvationDetector) recordRejection(now time.Duration, customer policy.CustomerID) bool {
	if s.rejected == 0 {
		s.since = now
	}
	s.rejected++
	s.customers[customer] = true
	return s.rejected >= starvationRequests && len(s.customers) >= starvationCustomers && now-s.since >= starvationTime
}

// checkStarvation checks whether a rejection shows that the gateway starves. A rejection that a quota may explain does
// not count. One without an idle endpoint, or at the limit on open requests, ends the series.
func (m *monitor) checkStarvation(r *openRequest) {
	atOpenLimit := m.config.MaxOpenRequests > 0 && len(m.requests) >= m.config.MaxOpenRequests
	switch {
	case m.draining || atOpenLimit || !m.hasIdleEndpoint():
		m.starvation.reset()
	case m.certainlyWithinQuota(r) && m.starvation.recordRejection(m.now, r.Customer):
		m.report(ruleStarvation, "all of %d requests within quota were rejected for %v while endpoints were idle",
			m.starvation.rejected, m.now-m.starvation.since)
		m.starvation.reset()
	}
}

// certainlyWithinQuota reports whether the quota cannot be the reason of a rejection: the plan has no other quota, the
// meter can show the customer's usage, the customer has had units left over all gateways for quotaMemory, and an even
// share of its burst at this gateway covers the request. A gateway may reject other requests, because it has to
// estimate what the other gateways have forwarded.
func (m *monitor) certainlyWithinQuota(r *openRequest) bool {
	plan := &m.config.Plans[r.Plan]
	metered := plan.QuotaRate*m.config.MeterPeriod.Seconds() >= max(1, m.config.MaxRequestUnits)
	onlyRate := plan.CeilingRate == 0 && plan.MaxConcurrent == 0
	shareCovers := plan.Burst/float64(max(1, r.SetSize)) >= r.Units
	if m.groundTruth.QuotaLeft(r.Customer, r.Plan, 0) < r.Units {
		m.starvation.overQuotaAt[r.Customer] = m.now
	}
	overQuotaAt, wasOver := m.starvation.overQuotaAt[r.Customer]
	recentlyOver := wasOver && m.now < overQuotaAt+quotaMemory
	return metered && onlyRate && shareCovers && !recentlyOver
}

// hasIdleEndpoint reports whether the gateway knows a warm, idle endpoint that it cannot have ejected: one that has not
// failed, or any of the idle ones if they are more than may be ejected.
func (m *monitor) hasIdleEndpoint() bool {
	ready, idle := 0, 0
	for _, entry := range m.endpoints.entries {
		if entry.State != policy.StateReady {
			continue
		}
		ready++
		if !m.endpoints.isWarm(m.now, entry) || m.groundTruth.Backlog(entry.ID, 0) > 0 {
			continue
		}
		idle++
		if !entry.ejected && !entry.maybeEjected {
			return true
		}
	}
	return float64(idle) > maxEjectedShare*float64(ready)
}
