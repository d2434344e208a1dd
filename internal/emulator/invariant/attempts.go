package invariant

import (
	"math"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// never is later than any time of a run.
const never = time.Duration(math.MaxInt64)

// forward checks the begin of an attempt.
func (c *Checker) forward(at time.Duration, o emulator.AttemptForwarded) {
	c.forwarded++
	c.checkDrain(at, o)
	forwarded := c.requests[o.Request]
	if forwarded == nil {
		c.violations.add(RuleFinalAnswer, at, o.Request,
			"gateway %d forwarded request %d, which it does not hold", o.Gateway, o.Request)
		return
	}
	c.checkOpen(at, forwarded, o)
	forwarded.attempts = append(forwarded.attempts, attempt{number: o.Attempt, endpoint: o.Endpoint, begunAt: at})
	if len(forwarded.attempts) > 1 {
		c.check(at, forwarded, len(forwarded.attempts)-1, checkRetry)
	}
}

// checkDrain checks RuleDrain.
func (c *Checker) checkDrain(at time.Duration, o emulator.AttemptForwarded) {
	notifiedAt, closing := c.gateway(o.Gateway).closing[o.Endpoint]
	if closing && at > notifiedAt+c.drainGrace+c.slack {
		c.violations.add(RuleDrain, at, o.Request, "gateway %d forwarded request %d to endpoint %d %v after it was"+
			" notified that it drains or is gone", o.Gateway, o.Request, o.Endpoint, at-notifiedAt)
	}
}

// checkOpen checks that a request which is forwarded has neither been answered nor given up by its client.
func (c *Checker) checkOpen(at time.Duration, r *request, o emulator.AttemptForwarded) {
	switch {
	case c.excused(r):
		// What a killed gateway sent may still arrive.
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

// checkKind names a check that is deferred.
type checkKind uint8

const (
	checkRetry checkKind = iota + 1
	checkRejection
)

// deferredCheck is a check of what had happened to the first attempts of a request at the time of a retry or a
// rejection.
type deferredCheck struct {
	due      time.Duration
	key      emulator.RequestKey
	attempts int // how many attempts there were before
	kind     checkKind
}

// deferredChecks holds checks in the order of time. Checks wait for the slack of the run, in which the end of an
// earlier attempt may still be observed.
type deferredChecks struct {
	queue []deferredCheck
	head  int
}

// run carries out the checks that were due before the given time.
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

// check carries out a check once the slack has passed; at once if there is none.
func (c *Checker) check(at time.Duration, r *request, attempts int, kind checkKind) {
	check := deferredCheck{due: at + c.slack, key: r.key, attempts: attempts, kind: kind}
	if c.slack == 0 {
		c.runCheck(check)
		return
	}
	c.deferred.queue = append(c.deferred.queue, check)
}

// runCheck carries out a check.
func (c *Checker) runCheck(check deferredCheck) {
	checked := c.requests[check.key]
	if checked == nil || c.excused(checked) {
		return
	}
	switch check.kind {
	case checkRetry:
		c.checkSingleAttempt(check, checked)
		c.checkRetry(check, checked)
	case checkRejection:
		c.checkRejection(check, checked)
	}
}

// checkSingleAttempt checks RuleSingleAttempt for a retry.
func (c *Checker) checkSingleAttempt(check deferredCheck, r *request) {
	if c.hedging {
		return
	}
	for i := range r.attempts[:check.attempts] {
		if !r.attempts[i].ended {
			c.violations.add(RuleSingleAttempt, check.due, r.key, "gateway %d forwarded request %d to endpoint %d while"+
				" an attempt at endpoint %d was in flight", r.gateway, r.key,
				r.attempts[check.attempts].endpoint, r.attempts[i].endpoint)
			return
		}
	}
}

// checkRetry checks RuleSingleExecution for a retry.
func (c *Checker) checkRetry(check deferredCheck, r *request) {
	class := c.classOf(r)
	executed := firstThatMayHaveRun(r.attempts[:check.attempts])
	if executed == nil || class.idempotency == policy.Idempotent {
		return
	}
	retry := &r.attempts[check.attempts]
	if class.idempotency == policy.NonIdempotent {
		c.violations.add(RuleSingleExecution, check.due, r.key, "gateway %d forwarded non-idempotent request %d to"+
			" endpoint %d though endpoint %d may have executed it", r.gateway, r.key, retry.endpoint, executed.endpoint)
		return
	}
	if retry.begunAt > executed.begunAt+class.keyTTL+c.slack {
		c.violations.add(RuleSingleExecution, check.due, r.key, "gateway %d forwarded request %d %v after an attempt that"+
			" may have been executed, when its idempotency key was forgotten",
			r.gateway, r.key, retry.begunAt-executed.begunAt)
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

// checkRejection checks RuleSafeRejection.
func (c *Checker) checkRejection(check deferredCheck, r *request) {
	class := c.classOf(r)
	harmless := class.idempotency == policy.Idempotent ||
		class.idempotency == policy.IdempotentByKey && class.scope == policy.KeyScopeFleet
	executed := firstThatMayHaveRun(r.attempts[:check.attempts])
	if executed == nil || harmless {
		return
	}
	c.violations.add(RuleSafeRejection, check.due, r.key, "gateway %d rejected request %d though endpoint %d may have"+
		" executed it", r.gateway, r.key, executed.endpoint)
}

// firstThatMayHaveRun returns the first of the attempts that may have been executed, nil if there is none.
func firstThatMayHaveRun(attempts []attempt) *attempt {
	for i := range attempts {
		if attempts[i].mayHaveRun() {
			return &attempts[i]
		}
	}
	return nil
}
