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
)

// starvationDetector detects that a gateway starves.
type starvationDetector struct {
	since    time.Duration // time of the first rejection of the series
	rejected int           // number of rejections since the last attempt
}

// reset ends a series of rejections.
func (s *starvationDetector) reset() { s.rejected = 0 }

// recordRejection records a rejection and reports whether it shows that the gateway starves.
func (s *starvationDetector) recordRejection(now time.Duration) bool {
	if s.rejected == 0 {
		s.since = now
	}
	s.rejected++
	return s.rejected >= starvationRequests && now-s.since >= starvationTime
}

// checkStarvation checks whether a rejection shows that the gateway starves. A rejection for which the quota may be the
// reason does not count, and one without an idle endpoint ends the series.
func (m *monitor) checkStarvation(r *openRequest) {
	switch {
	case m.draining || !m.hasIdleEndpoint():
		m.starvation.reset()
	case m.certainlyWithinQuota(r) && m.starvation.recordRejection(m.now):
		m.report(ruleStarvation, "all of %d requests within quota were rejected for %v while endpoints were idle",
			m.starvation.rejected, m.now-m.starvation.since)
		m.starvation.reset()
	}
}

// certainlyWithinQuota reports whether the customer has units left over all gateways, and an even share of its burst at
// this gateway would cover the request. A gateway may reject larger requests, because it cannot know whether the other
// gateways have used the burst.
func (m *monitor) certainlyWithinQuota(r *openRequest) bool {
	plan := &m.config.Plans[r.Plan]
	return plan.CeilingRate == 0 && plan.MaxConcurrent == 0 && plan.Burst/float64(max(1, r.SetSize)) >= r.Units &&
		m.groundTruth.QuotaLeft(r.Customer, r.Plan, 0) >= r.Units
}

// hasIdleEndpoint reports whether the gateway knows a warm, idle endpoint that has not failed.
func (m *monitor) hasIdleEndpoint() bool {
	for _, entry := range m.endpoints.entries {
		if entry.State == policy.StateReady && !entry.ejected && !entry.maybeEjected &&
			m.endpoints.isWarm(m.now, entry) && m.groundTruth.Backlog(entry.ID, 0) == 0 {
			return true
		}
	}
	return false
}
