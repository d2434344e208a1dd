package policy

import "time"

const (
	warmUpMargin       = 0.8  // share of the warm-up budget that is used
	minInitialCapacity = 0.01 // share of its capacity at which an endpoint starts at least
	rateManagerPeriods = 10   // least averaging time of forwardRate, in passes of the manager
)

// warmth is the least share of its capacity that an endpoint has by now.
func (e *Engine) warmth(now time.Duration, ep *endpoint) float64 {
	age := now - ep.StartedAt
	if ep.StartedAt <= 0 || e.cfg.WarmUpDuration <= 0 || age >= e.cfg.WarmUpDuration {
		return 1
	}
	initial := min(1, max(minInitialCapacity, e.cfg.WarmUpInitialCapacity))
	return initial + (1-initial)*max(0, age.Seconds())/e.cfg.WarmUpDuration.Seconds()
}

// warmUpRate is what this gateway may forward to an endpoint in slow start, in units a second: its present
// share of what an equal warm one got, on an average that remembers the time before a fault.
func (e *Engine) warmUpRate(now time.Duration, ep *endpoint) float64 {
	budget := warmUpMargin * max(1, e.cfg.WarmUpOverloadFactor) * e.warmth(now, ep)
	return budget * e.forwardRate * ep.Weight / e.readyWeight
}

// warmUpBudgetAllows keeps the rule on slow start by a bucket that a request may take below zero. It starts
// below zero at random, to spread the first requests of many gateways that learn of a start at once.
func (e *Engine) warmUpBudgetAllows(now time.Duration, ep *endpoint, units float64) bool {
	if e.warmth(now, ep) >= 1 {
		return true
	}
	if ep.warmUpUpdatedAt <= ep.StartedAt {
		ep.warmUpUpdatedAt = max(ep.StartedAt, now)
		ep.warmUpBucket.tokens = -units * e.rng.Float64()
	}
	rate := e.warmUpRate(now, ep)
	capacity := rate * e.cfg.WarmUpOverloadWindow.Seconds() / 2
	ep.warmUpBucket.refill(rate*(now-ep.warmUpUpdatedAt).Seconds(), capacity)
	ep.warmUpUpdatedAt = now
	return ep.warmUpBucket.tokens > 0
}

// updateForwardRate averages the units forwarded since the manager's last pass.
func (e *Engine) updateForwardRate(now, elapsed time.Duration) {
	s := elapsed.Seconds()
	if s <= 0 {
		return
	}
	averaging := max(rateManagerPeriods*managerPeriod, min(now-e.startedAt, 2*e.cfg.WarmUpDuration)).Seconds()
	e.forwardRate += min(1, s/averaging) * (e.forwardedUnits/s - e.forwardRate)
	e.forwardedUnits = 0
}
