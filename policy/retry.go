package policy

import "time"

const (
	retryTokensPerRequest = 0.2  // retry budget that each submitted request earns, in retries
	maxRetryTokens        = 10.0 // largest retry budget, in retries
	silenceFactor         = 8.0  // multiple of the expected latency after which an attempt is retried elsewhere
	overdueMargin         = 1.01 // factor that puts the check of an attempt just past endpointLateThreshold
)

// endAttempt records that the attempt in flight has ended, and whether it may have been executed.
func (r *request) endAttempt(status Status) {
	if !status.NeverExecuted() && status != StatusOK && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunAt = r.currentEndpoint, r.sentAt
	}
	r.currentEndpoint = nil
}

// NeverExecuted reports whether an attempt with this outcome was certainly not executed.
func (s Status) NeverExecuted() bool {
	switch s {
	case StatusRejected, StatusConnectFailed, StatusNotSent, StatusLocalFailure:
		return true
	default:
		return false
	}
}

// requeueOrFinish continues a request after an attempt that failed on the gateway's own machine. No endpoint
// received the attempt, so that a retry costs nothing of the retry budget. The request is queued for a
// moment, because the next attempt would fail in the same way at once.
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

// retryOrFinish retries a request if its deadline, the retry budget and the attempt limit allow it.
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

// attemptsExhausted reports whether a request has had all of its attempts.
func (e *Engine) attemptsExhausted(r *request) bool {
	return e.cfg.MaxAttempts > 0 && r.attempts >= e.cfg.MaxAttempts
}

// attemptAllowed reports whether idempotency allows an attempt at an endpoint. Any endpoint is allowed while
// no attempt may have been executed. After that, a request that is not idempotent may only be repeated with
// an idempotency key: at endpoints that share the key, and while they remember it.
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

// neverReached reports whether an attempt with this outcome was certainly not received by its endpoint.
func (s Status) neverReached() bool { return s.NeverExecuted() && s != StatusRejected }

// canReject reports whether a request may still be rejected. A rejection promises that nothing has been
// executed; for an idempotent request this does not matter.
func (r *request) canReject() bool {
	return r.currentEndpoint == nil && r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent
}

// silenceTimeout is the time after which an attempt that has not been answered is checked.
func (e *Engine) silenceTimeout(r *request) time.Duration {
	objective := r.class.LatencyObjective.Seconds()
	overdue := overdueMargin * endpointLateThreshold * objective
	return seconds(min(max(silenceFactor*e.latencyPerUnit*r.Units, objective/4), overdue))
}

// checkSilence checks an attempt that has not been answered. An overdue attempt counts as late for the
// concurrency limits. After silenceFactor times its expected latency, which no regular answer takes, the
// attempt is retried elsewhere; an earlier retry would only multiply the load.
func (e *Engine) checkSilence(now time.Duration, r *request) {
	if r.responseStarted { // a streamed answer may last as long as the client accepts
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
			e.recordFailure(now, r.currentEndpoint, EjectedAfterSilence) // nothing else was answered either
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

// mayRetryElsewhere reports whether the attempt in flight may be cancelled and retried at another endpoint.
func (e *Engine) mayRetryElsewhere(now time.Duration, r *request) bool {
	keyRemembered := r.class.Idempotency == IdempotentByKey && now < r.sentAt+r.class.KeyTTL
	timeLeft := r.deadline-now > e.expectedLatency(r.Units)
	affordable := e.retryTokens >= 1 && !e.attemptsExhausted(r)
	return (r.class.Idempotency == Idempotent || keyRemembered) && timeLeft && affordable
}

// laterAttemptAnswered reports whether the endpoint has answered an attempt that was sent later. The answer
// to this one is then probably lost, which is no sign of load.
func (r *request) laterAttemptAnswered() bool {
	return r.currentEndpoint != nil && r.sentAt < r.currentEndpoint.newestAnsweredSentAt
}
