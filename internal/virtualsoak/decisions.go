package virtualsoak

import (
	"time"

	"springfield/policy"
)

// decisionRule is a rule for the decisions of a gateway. The rules follow the documentation of package policy. They
// apply to decisions that the rules of package invariant do not see, because a gateway's network code withholds the
// attempt or because only the gateway itself knows the reason of the decision.
type decisionRule string

const (
	ruleAnswer        decisionRule = "answer"         // one final answer, by the deadline
	ruleSingleAttempt decisionRule = "single-attempt" // one attempt at a time, of an open request, before its deadline
	ruleReady         decisionRule = "ready"          // attempts at endpoints that the list shows as ready
	ruleAttemptLimit  decisionRule = "attempt-limit"  // no attempts of a request beyond policy.Config.MaxAttempts
	ruleOpenRequests  decisionRule = "open-requests"  // no open requests beyond policy.Config.MaxOpenRequests
	ruleRetryBudget   decisionRule = "retry-budget"   // retries in proportion to requests
	ruleEjection      decisionRule = "ejection"       // single trials, at intervals, at an ejected endpoint
	ruleCancel        decisionRule = "cancel"         // cancelled attempts only where policy.Config.CanCancel allows it
	ruleRetryAfter    decisionRule = "retry-after"    // Retry-After as policy.Config allows it
	ruleWatch         decisionRule = "watch"          // polled endpoint lists are requested
	ruleStarvation    decisionRule = "starvation"     // not all requests are rejected while endpoints are idle
)

// Forward implements policy.Actions.
func (m *monitor) Forward(id policy.RequestID, endpoint policy.EndpointID, giveUpAt time.Duration) {
	m.starvation.reset()
	if r := m.requests[id]; r == nil {
		m.report(ruleSingleAttempt, "request %d is forwarded, but is not open", id)
	} else {
		m.checkForward(r, endpoint, giveUpAt)
		r.attempts++
		r.inFlight, r.endpoint = true, endpoint
	}
	m.actions.Forward(id, endpoint, giveUpAt)
}

// checkForward checks the rules on attempts.
func (m *monitor) checkForward(r *openRequest, endpoint policy.EndpointID, giveUpAt time.Duration) {
	switch {
	case r.inFlight:
		m.report(ruleSingleAttempt, "request %d is forwarded while an attempt is in flight", r.ID)
	case m.now >= r.deadline:
		m.report(ruleSingleAttempt, "request %d is forwarded %v after its deadline", r.ID, m.now-r.deadline)
	case giveUpAt > r.deadline:
		m.report(ruleSingleAttempt, "an attempt of request %d may last %v beyond its deadline", r.ID, giveUpAt-r.deadline)
	}
	if limit := m.config.MaxAttempts; limit > 0 && r.attempts >= limit {
		m.report(ruleAttemptLimit, "request %d is forwarded after %d attempts of at most %d", r.ID, r.attempts, limit)
	}
	if r.attempts > 0 && !m.retryBudget.spend() {
		m.report(ruleRetryBudget, "request %d is retried without a retry token", r.ID)
	}
	nonIdempotent := m.config.Classes[r.Class].Idempotency == policy.NonIdempotent
	switch earliest := m.endpoints.forward(m.now, endpoint, nonIdempotent); {
	case !m.endpoints.isReady(endpoint):
		m.report(ruleReady, "request %d is forwarded to endpoint %d, which is not ready", r.ID, endpoint)
	case m.now < earliest:
		m.report(ruleEjection, "request %d is forwarded to endpoint %d %v before its next trial", r.ID, endpoint,
			earliest-m.now)
	}
}

// answer records a final answer of the decider. It returns the answered request, or nil if it must not be answered.
func (m *monitor) answer(id policy.RequestID) *openRequest {
	r := m.requests[id]
	delete(m.requests, id)
	switch {
	case r == nil:
		m.report(ruleAnswer, "request %d is answered, but is not open", id)
	case m.now > r.deadline:
		m.report(ruleAnswer, "request %d is answered %v after its deadline", id, m.now-r.deadline)
	}
	return r
}

// Reject implements policy.Actions.
func (m *monitor) Reject(id policy.RequestID, retryAfter time.Duration) {
	if r := m.answer(id); r != nil {
		m.checkStarvation(r)
	}
	if retryAfter < 0 || retryAfter > m.config.MaxRetryAfter || retryAfter > 0 && !m.config.SendRetryAfter {
		m.report(ruleRetryAfter, "request %d is rejected with a Retry-After of %v", id, retryAfter)
	}
	m.actions.Reject(id, retryAfter)
}

// Fail implements policy.Actions.
func (m *monitor) Fail(id policy.RequestID) {
	m.answer(id)
	m.actions.Fail(id)
}

// CancelAttempt implements policy.Actions.
func (m *monitor) CancelAttempt(id policy.RequestID, attempt int) {
	if !m.config.CanCancel {
		m.report(ruleCancel, "attempt %d of request %d is cancelled, but cancelling is not allowed", attempt, id)
	}
	if r := m.requests[id]; r != nil && r.inFlight {
		m.endpoints.recordCancellation(r.endpoint)
	}
	m.actions.CancelAttempt(id, attempt)
}

// StartTimer implements policy.Actions.
func (m *monitor) StartTimer(after time.Duration, timer policy.Timer) {
	m.actions.StartTimer(after, timer)
}

// WatchEndpoints implements policy.Actions.
func (m *monitor) WatchEndpoints(on bool) {
	m.watching = on
	m.actions.WatchEndpoints(on)
}
