package policy

import "time"

// maxQueueDelayShare is the longest hold, as a share of the class's latency objective.
const maxQueueDelayShare = 0.5

// admit is the ordinary path of a request: quota rule, ceiling, hold, dispatch. Soft plans, whose use beyond
// the quota earns more than it costs, meet the quota rule only under overload.
func (e *Engine) admit(now time.Duration, r *request) {
	e.updateCustomer(now, r.customer)
	e.overuse.recordRequest(r)
	tooManyOpen := e.cfg.MaxOpenRequests > 0 && len(e.requests) > e.cfg.MaxOpenRequests
	overQuotaProfitable := r.customer.plan.OverQuotaValue > r.customer.plan.OverQuotaCost
	refuseReason := ReasonNone
	switch {
	case tooManyOpen:
		refuseReason = RefusedTooManyOpen
	case e.overQuota(now, r) && (e.overloaded || !overQuotaProfitable):
		refuseReason = RefusedOverQuota
	}
	delay, possible := e.admissionDelay(now, r)
	tooLong := !possible || delay > r.maxQueueDelay() || delay+e.expectedLatency(r.Units) > r.TimeLeft
	if refuseReason == ReasonNone && tooLong {
		refuseReason = RefusedHoldTooLong
	}
	if refuseReason != ReasonNone {
		e.finish(r, refuseReason)
		return
	}
	e.takeTokens(r)
	e.admittedUnits += r.Units
	if delay <= 0 {
		e.dispatch(now, r)
		return
	}
	r.customer.lastReleaseAt = now + delay
	e.enqueue(r, delay)
}

// admissionDelay is how long a request is held for the ceiling, of which this gateway must have a share, and
// under overload by the paper's formula.
func (e *Engine) admissionDelay(now time.Duration, r *request) (delay time.Duration, possible bool) {
	c := r.customer
	if c.plan.CeilingRate > 0 {
		if !c.inSet {
			return 0, false
		}
		if missing := r.Units - c.ceilingBucket.tokens; missing > 0 {
			delay = seconds(missing / (c.plan.CeilingRate / c.setSize))
		}
	}
	if e.overloaded && c.plan.QuotaRate > 0 && c.avgUsage >= c.plan.QuotaRate {
		pacingDelay := seconds(e.pacingDelaySeconds(c, r.Units))
		delay = max(delay, max(c.lastReleaseAt, now)+pacingDelay-now)
	}
	return delay, true
}

func (r *request) maxQueueDelay() time.Duration {
	return time.Duration(maxQueueDelayShare * float64(r.class.LatencyObjective))
}

func (e *Engine) enqueue(r *request, delay time.Duration) {
	r.queued = true
	r.customer.queuedRequests++
	e.actions.StartTimer(delay, Timer{Kind: TimerRelease, Request: r.ID})
}

// finish gives the final answer: a rejection while the client may safely retry, else a failure.
func (e *Engine) finish(r *request, reason Reason) {
	e.reasons.record(reason)
	if r.canReject() {
		var retryAfter time.Duration
		if e.cfg.SendRetryAfter && r.customer.plan.QuotaRate > 0 {
			retryAfter = min(e.cfg.MaxRetryAfter, seconds(r.Units/r.customer.plan.QuotaRate))
		}
		e.actions.Reject(r.ID, retryAfter)
	} else {
		e.actions.Fail(r.ID)
	}
	e.removeRequest(r)
}
