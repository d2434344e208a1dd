package policy

import "time"

const (
	retryTokensPerRequest = 0.2  // retry budget earned by each request
	maxRetryTokens        = 10.0 // and the most saved up
	silenceFactor         = 8.0  // an attempt is moved after this multiple of its expected latency
	overdueMargin         = 1.01 // an attempt is late just past endpointLateThreshold
)

// endAttempt notes that the attempt in flight has ended, and whether it may have been executed.
func (r *request) endAttempt(status Status) {
	if !status.neverExecuted() && status != StatusOK && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunAt = r.currentEndpoint, r.sentAt
	}
	r.currentEndpoint = nil
}

// neverExecuted reports whether an attempt that ended so was certainly not executed.
func (s Status) neverExecuted() bool {
	switch s {
	case StatusRejected, StatusConnectFailed, StatusNotSent, StatusLocalFailure:
		return true
	default:
		return false
	}
}

// requeueOrFinish goes on after an attempt that failed on this machine. No endpoint was asked, so that it costs
// nothing of the retry budget; but the next attempt would fail at once in the same way, so it waits for a
// moment first.
func (e *Engine) requeueOrFinish(now time.Duration, r *request) {
	delay := r.class.LatencyObjective / queueRetriesPerObjective
	switch {
	case e.attemptsExhausted(r):
		e.finish(r, RefusedAttemptsUsed)
	case now+delay+e.expectedLatency(r.Units) >= r.deadline:
		e.finish(r, RefusedNoTimeForRetry)
	default:
		e.reasons.record(RetriedAfterLocal)
		e.enqueue(r, delay)
	}
}

// retryOrFinish retries where rules, time and the retry budget allow it.
func (e *Engine) retryOrFinish(now time.Duration, r *request) {
	switch {
	case r.deadline-now <= e.expectedLatency(r.Units):
		e.finish(r, RefusedNoTimeForRetry)
	case e.retryTokens < 1:
		e.finish(r, RefusedNoRetryBudget)
	case e.attemptsExhausted(r):
		e.finish(r, RefusedAttemptsUsed)
	default:
		e.reasons.record(RetriedAfterFailure)
		e.retryTokens--
		e.dispatch(now, r)
	}
}

func (e *Engine) attemptsExhausted(r *request) bool {
	return e.cfg.MaxAttempts > 0 && r.attempts >= e.cfg.MaxAttempts
}

// attemptAllowed keeps the rule on repeats: anywhere while no attempt may have been executed; then only where
// repeats are deduplicated, and only while the idempotency key is remembered.
func (e *Engine) attemptAllowed(now time.Duration, r *request, ep *endpoint) bool {
	if r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency != IdempotentByKey || now >= r.mayHaveRunAt+r.class.KeyTTL {
		return false
	}
	zoneAllowed := r.class.KeyScope != KeyScopeZone || ep.Zone == r.mayHaveRunOn.Zone
	cellAllowed := r.class.KeyScope != KeyScopeCell || ep.Cell == r.mayHaveRunOn.Cell
	return zoneAllowed && cellAllowed
}

// canReject reports whether a rejection may still be given, which promises that nothing has run.
func (r *request) canReject() bool {
	return r.currentEndpoint == nil && r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent
}

// silenceTimeout is when an attempt is looked at that has not been answered.
func (e *Engine) silenceTimeout(r *request) time.Duration {
	objective := r.class.LatencyObjective.Seconds()
	overdue := overdueMargin * endpointLateThreshold * objective
	return seconds(min(max(silenceFactor*e.latencyPerUnit*r.Units, objective/4), overdue))
}

// checkSilence looks at an attempt that has not been answered. Overdue, it counts as late for the limits.
// Past what an answer takes at most it is retried elsewhere; earlier that would only multiply the work.
func (e *Engine) checkSilence(now time.Duration, r *request) {
	if r.responseStarted { // a stream belongs to the client and may last
		return
	}
	age := now - r.sentAt
	if !r.laterAttemptAnswered() {
		late := age.Seconds() > endpointLateThreshold*r.class.LatencyObjective.Seconds()
		e.adjustLimits(now, r.currentEndpoint, r, late, age)
	}
	if !e.cfg.CanCancel || now >= r.deadline {
		return
	}
	due := seconds(silenceFactor * e.latencyPerUnit * r.Units)
	if age >= due && e.mayRetryElsewhere(now, r) {
		if r.currentEndpoint.lastResponseAt <= r.sentAt {
			e.recordFailure(now, r.currentEndpoint, EjectedAfterSilence) // it has answered nothing else either
		}
		e.reasons.record(RetriedAfterSilence)
		e.actions.CancelAttempt(r.ID, r.currentAttempt)
		return
	}
	next := e.silenceTimeout(r)
	if age < due {
		next = due - age
	}
	e.actions.StartTimer(next, Timer{TimerSilence, r.ID, r.currentAttempt})
}

// mayRetryElsewhere reports whether the attempt in flight may be cancelled and retried elsewhere.
func (e *Engine) mayRetryElsewhere(now time.Duration, r *request) bool {
	keyRemembered := r.class.Idempotency == IdempotentByKey && now < r.sentAt+r.class.KeyTTL
	timeLeft := r.deadline-now > e.expectedLatency(r.Units)
	affordable := e.retryTokens >= 1 && !e.attemptsExhausted(r)
	return (r.class.Idempotency == Idempotent || keyRemembered) && timeLeft && affordable
}

// laterAttemptAnswered reports whether the answer seems lost, which is no sign of load: later attempts were answered.
func (r *request) laterAttemptAnswered() bool {
	return r.currentEndpoint != nil && r.sentAt < r.currentEndpoint.newestAnsweredSentAt
}
