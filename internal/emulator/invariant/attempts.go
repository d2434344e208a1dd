package invariant

import (
	"math"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// maxTime is later than any time of a run.
const maxTime = time.Duration(math.MaxInt64)

// handleAttemptForwarded records an attempt and checks that the gateway was allowed to start it. An attempt may be
// observed after a later one of its request, so the attempts that were sent after it are checked again.
func (c *Checker) handleAttemptForwarded(at time.Duration, o emulator.AttemptForwarded) {
	c.forwarded++
	sentAt := at
	if o.Sent > 0 {
		sentAt = min(o.Sent, at)
	}
	c.checkDrain(sentAt, o)
	forwarded := c.requests[o.Request]
	if forwarded == nil {
		c.violations.add(RuleFinalAnswer, at, o.Request,
			"gateway %d forwarded request %d, which it does not hold", o.Gateway, o.Request)
		return
	}
	c.checkNotClosed(sentAt, forwarded, o)
	c.checkDeadline(at, forwarded, o)
	first := forwarded.insertAttempt(attempt{number: o.Attempt, endpoint: o.Endpoint, startedAt: sentAt})
	for i := max(1, first); i < len(forwarded.attempts); i++ {
		c.check(at, forwarded, forwarded.attempts[i].number, checkRetry)
	}
}

// checkDrain checks RuleDrain for a new attempt.
func (c *Checker) checkDrain(at time.Duration, o emulator.AttemptForwarded) {
	notifiedAt, unavailable := c.gateway(o.Gateway).unavailable[o.Endpoint]
	if unavailable && at > notifiedAt+c.drainGrace+c.slack {
		c.violations.add(RuleDrain, at, o.Request, "gateway %d forwarded request %d to endpoint %d %v after it was"+
			" notified that it drains or is gone", o.Gateway, o.Request, o.Endpoint, at-notifiedAt)
	}
}

// checkNotClosed checks that a request is neither answered nor abandoned by its client when an attempt of it starts.
func (c *Checker) checkNotClosed(at time.Duration, r *request, o emulator.AttemptForwarded) {
	switch {
	case c.gatewayKilled(r):
		// Data that a killed gateway had already sent may still arrive.
	case r.disconnected:
		if at > r.disconnectedAt+DisconnectGrace+c.slack {
			c.violations.add(RuleDisconnect, at, o.Request, "gateway %d forwarded request %d %v after its client had"+
				" disconnected", o.Gateway, o.Request, at-r.disconnectedAt)
		}
	case r.answered && (c.slack == 0 || at > r.answeredAt+c.slack):
		c.violations.add(RuleFinalAnswer, at, o.Request,
			"gateway %d forwarded request %d after its final answer", o.Gateway, o.Request)
	}
}

// checkDeadline checks RuleDeadline for a new attempt.
func (c *Checker) checkDeadline(at time.Duration, r *request, o emulator.AttemptForwarded) {
	if o.StatedDeadline > r.deadline+c.transit+c.slack && !c.gatewayKilled(r) {
		c.violations.add(RuleDeadline, at, o.Request, "gateway %d forwarded request %d with a deadline %v after that of"+
			" its client", o.Gateway, o.Request, o.StatedDeadline-r.deadline)
	}
}

// checkKind is a kind of deferred check.
type checkKind uint8

// The kinds of deferred check.
const (
	checkRetry checkKind = iota + 1
	checkRejection
)

// deferredCheck is a check of the state of a request's earlier attempts at the time of a retry or a rejection.
type deferredCheck struct {
	due   time.Duration
	key   emulator.RequestKey
	retry int // number of the retry, for checkRetry
	kind  checkKind
}

// deferredChecks is a queue of checks in order of time. Each check waits for the slack of the run, because the end of
// an earlier attempt may be observed late by that much.
type deferredChecks struct {
	queue []deferredCheck
	head  int
}

// run performs the checks that were due before the given time.
func (d *deferredChecks) run(c *Checker, at time.Duration) {
	for d.head < len(d.queue) && d.queue[d.head].due < at {
		next := d.queue[d.head]
		d.head++
		c.runCheck(next)
	}
	if d.head > len(d.queue)/2 {
		d.queue = d.queue[:copy(d.queue, d.queue[d.head:])]
		d.head = 0
	}
}

// check performs a check once the slack has passed, or immediately if there is no slack.
func (c *Checker) check(at time.Duration, r *request, retry int, kind checkKind) {
	check := deferredCheck{due: at + c.slack, key: r.key, retry: retry, kind: kind}
	if c.slack == 0 {
		c.runCheck(check)
		return
	}
	c.deferred.queue = append(c.deferred.queue, check)
}

// runCheck performs a check, unless the request is no longer tracked or its gateway was killed.
func (c *Checker) runCheck(check deferredCheck) {
	tracked := c.requests[check.key]
	if tracked == nil || c.gatewayKilled(tracked) {
		return
	}
	switch check.kind {
	case checkRetry:
		retry := tracked.attemptIndex(check.retry)
		c.checkSingleAttempt(check, tracked, retry)
		c.checkRetry(check, tracked, retry)
	case checkRejection:
		c.checkRejection(check, tracked)
	}
}

// checkSingleAttempt checks RuleSingleAttempt: no earlier attempt is in flight when a retry starts. retry is the index
// of the retry.
func (c *Checker) checkSingleAttempt(check deferredCheck, r *request, retry int) {
	if c.hedging {
		return
	}
	for i := range r.attempts[:retry] {
		if !r.attempts[i].ended {
			c.violations.add(RuleSingleAttempt, check.due, r.key, "gateway %d forwarded request %d to endpoint %d while"+
				" an attempt at endpoint %d was in flight", r.gateway, r.key,
				r.attempts[retry].endpoint, r.attempts[i].endpoint)
			return
		}
	}
}

// checkRetry checks RuleSingleExecution: a retry cannot cause a second execution. retryIndex is the index of the retry.
func (c *Checker) checkRetry(check deferredCheck, r *request, retryIndex int) {
	class := c.classOf(r)
	executed := firstPossiblyExecuted(r.attempts[:retryIndex])
	if executed == nil || class.idempotency == policy.Idempotent {
		return
	}
	retry := &r.attempts[retryIndex]
	if class.idempotency == policy.NonIdempotent {
		c.violations.add(RuleSingleExecution, check.due, r.key, "gateway %d forwarded non-idempotent request %d to"+
			" endpoint %d though endpoint %d may have executed it", r.gateway, r.key, retry.endpoint, executed.endpoint)
		return
	}
	if retry.startedAt > executed.startedAt+class.keyTTL+c.slack {
		c.violations.add(RuleSingleExecution, check.due, r.key, "gateway %d forwarded request %d %v after an attempt that"+
			" may have been executed, when its idempotency key was forgotten",
			r.gateway, r.key, retry.startedAt-executed.startedAt)
		return
	}
	same, known := c.sameScope(class.scope, executed.endpoint, retry.endpoint)
	switch {
	case !known:
		c.unlocated++
	case !same:
		c.violations.add(RuleSingleExecution, check.due, r.key, "gateway %d forwarded request %d to endpoint %d, which"+
			" does not know the idempotency keys of endpoint %d", r.gateway, r.key, retry.endpoint, executed.endpoint)
	}
}

// checkRejection checks RuleSafeRejection: a rejected request cannot have been executed, or is safe to repeat at
// any endpoint.
func (c *Checker) checkRejection(check deferredCheck, r *request) {
	class := c.classOf(r)
	safeToRepeat := class.idempotency == policy.Idempotent ||
		class.idempotency == policy.IdempotentByKey && class.scope == policy.KeyScopeFleet
	executed := firstPossiblyExecuted(r.attemptsUntil(r.answeredAt))
	if executed == nil || safeToRepeat {
		return
	}
	c.violations.add(RuleSafeRejection, check.due, r.key, "gateway %d rejected request %d though endpoint %d may have"+
		" executed it", r.gateway, r.key, executed.endpoint)
}

// firstPossiblyExecuted returns the first attempt that may have been executed, or nil if there is none.
func firstPossiblyExecuted(attempts []attempt) *attempt {
	for i := range attempts {
		if attempts[i].possiblyExecuted() {
			return &attempts[i]
		}
	}
	return nil
}
