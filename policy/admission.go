package policy

import "time"

// maxQueueDelayShare is the longest time in the queue, as a share of the class's latency objective.
const maxQueueDelayShare = 0.5

// admit decides on a new request by the limit on open requests, the quota, the ceiling and the pacing delay.
// An admitted request is dispatched, now or after its delay. The quota of a plan whose usage over quota earns
// more than it costs is enforced only under overload.
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
	late := delay+e.expectedLatency(r.Units) > r.TimeLeft && !e.latencyIsStale(now, r)
	tooLong := !possible || delay > r.maxQueueDelay() || delay >= r.TimeLeft || late
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

// admissionDelay is how long a request must be queued: until this gateway's share of the ceiling covers it,
// and under overload, for a customer over its quota, for the pacing delay. Where the plan has a ceiling,
// admission is possible only at the gateways that serve the customer, since only they have a share of the
// ceiling.
func (e *Engine) admissionDelay(now time.Duration, r *request) (delay time.Duration, possible bool) {
	c := r.customer
	if c.plan.CeilingRate > 0 {
		if !c.inSet {
			return 0, false
		}
		delay = c.ceilingAdmissionDelay(r.Units)
	}
	if e.overloaded && c.plan.QuotaRate > 0 && c.avgUsage >= c.plan.QuotaRate {
		pacingDelay := seconds(e.pacingDelaySeconds(c, r.Units))
		delay = max(delay, max(c.lastReleaseAt, now)+pacingDelay-now)
	}
	return delay, true
}

// maxQueueDelay is the longest time that a request may spend in the queue.
func (r *request) maxQueueDelay() time.Duration {
	return time.Duration(maxQueueDelayShare * float64(r.class.LatencyObjective))
}

// enqueue queues a request, which is dispatched after the delay.
func (e *Engine) enqueue(r *request, delay time.Duration) {
	r.queued = true
	r.customer.queuedRequests++
	e.actions.StartTimer(delay, Timer{Kind: TimerRelease, Request: r.ID})
}

// finish gives a request its final answer: a rejection while a retry by the client is safe, otherwise a
// failure. The Retry-After of a rejection is the time in which the quota earns the units of the request.
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
