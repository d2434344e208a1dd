package invariant

import (
	"container/heap"
	"time"

	"springfield/internal/emulator"
)

// handleRequestSubmitted starts to track a request.
func (c *Checker) handleRequestSubmitted(o emulator.RequestSubmitted) {
	c.submitted++
	if _, known := c.requests[o.Request]; known {
		return
	}
	tracked := c.newRequest()
	tracked.key = o.Request
	tracked.gateway = o.Gateway
	tracked.class = o.Class
	tracked.plan = o.Plan
	tracked.customer = o.Customer
	tracked.units = o.Units
	tracked.deadline = o.Deadline
	tracked.submissionSequence = c.sequence
	tracked.due = o.Deadline + AnswerGrace + c.slack
	if c.gateway(o.Gateway).down {
		tracked.lossChecked = true // no process was running, so no answer is required
	}
	c.requests[o.Request] = tracked
	heap.Push(&c.queue, tracked)
}

// newRequest returns an empty request and reuses a removed one if possible.
func (c *Checker) newRequest() *request {
	if len(c.freeRequests) == 0 {
		return &request{}
	}
	last := len(c.freeRequests) - 1
	reused := c.freeRequests[last]
	c.freeRequests = c.freeRequests[:last]
	*reused = request{attempts: reused.attempts[:0]}
	return reused
}

// handleRequestAnswered records and checks a final answer.
func (c *Checker) handleRequestAnswered(at time.Duration, o emulator.RequestAnswered) {
	answered := c.requests[o.Request]
	if answered == nil {
		return // overdue for so long that the request was counted as lost and removed
	}
	if answered.answered {
		c.violations.add(RuleFinalAnswer, at, o.Request, "gateway %d answered request %d again", o.Gateway, o.Request)
		return
	}
	answered.answered = true
	answered.answeredAt = at
	switch {
	case o.Answer == emulator.AnswerMissing:
		answered.missing = true
	case o.Answer == emulator.AnswerServed && !o.Genuine:
		c.violations.add(RuleFinalAnswer, at, o.Request,
			"gateway %d served request %d with an answer that no endpoint made for it", o.Gateway, o.Request)
	case o.Answer == emulator.AnswerRejected:
		c.check(at, answered, 0, checkRejection)
	}
	c.scheduleRemoval(at, answered)
}

// handleClientDisconnected records that a client no longer needs an answer. A client that disconnects only at its
// deadline should have received one, so its request can still count as lost.
func (c *Checker) handleClientDisconnected(at time.Duration, o emulator.ClientDisconnected) {
	tracked := c.requests[o.Request]
	if tracked == nil || tracked.disconnected || at >= tracked.deadline {
		return
	}
	tracked.disconnected = true
	tracked.disconnectedAt = at
}

// scheduleRemoval schedules the removal of a request that is closed. A request whose client has disconnected is tracked
// until its deadline, because a gateway that has missed the disconnect may continue with it until then.
func (c *Checker) scheduleRemoval(at time.Duration, r *request) {
	if r.closed() && !r.disconnected {
		r.due = at + c.retention()
		heap.Fix(&c.queue, r.index)
	}
}

// retention returns the time for which a closed request is tracked. It is longer than any deferral of a check.
func (c *Checker) retention() time.Duration { return retention + c.slack }

// advance checks and removes the requests that were due before the given time. An observation exactly at the due time
// still counts as in time.
func (c *Checker) advance(at time.Duration) {
	c.deferred.run(c, at)
	for len(c.queue) > 0 && c.queue[0].due < at {
		due := c.queue[0]
		c.checkLoss(at, due)
		if due.closed() || due.due >= due.deadline+AnswerGrace+c.slack+c.retention() {
			c.remove(due)
			continue
		}
		due.due += c.retention()
		heap.Fix(&c.queue, due.index)
	}
}

// remove stops tracking a request.
func (c *Checker) remove(r *request) {
	heap.Remove(&c.queue, r.index)
	delete(c.requests, r.key)
	c.freeRequests = append(c.freeRequests, r)
}

// checkLoss checks once whether a request was lost: it required an answer, but its client got no complete one in time.
func (c *Checker) checkLoss(at time.Duration, r *request) {
	if r.lossChecked {
		return
	}
	r.lossChecked = true
	switch {
	case r.disconnected || c.gatewayKilled(r): // no answer is required
	case r.missing:
		c.violations.add(RuleFinalAnswer, at, r.key,
			"gateway %d ended the connection of request %d without a complete answer", r.gateway, r.key)
	case !r.answered:
		c.violations.add(RuleFinalAnswer, at, r.key,
			"gateway %d had not answered request %d %v after its deadline", r.gateway, r.key, AnswerGrace+c.slack)
	}
}

// gatewayKilled reports whether the gateway of a request was killed after the request was submitted.
func (c *Checker) gatewayKilled(r *request) bool {
	return c.gateway(r.gateway).killSequence > r.submissionSequence
}

// handleAttemptReceived checks RuleCeiling when the first attempt of a request reaches an endpoint.
func (c *Checker) handleAttemptReceived(at time.Duration, o emulator.AttemptReceived) {
	received := c.requests[o.Request]
	if received == nil || received.received {
		return
	}
	received.received = true
	unitsLeft, respected := c.ceilings.take(at, received.customer, received.plan, received.units)
	if !respected {
		c.violations.add(RuleCeiling, at, o.Request, "request %d through gateway %d left customer %d with %.2f units"+
			" under its ceiling", o.Request, o.Gateway, received.customer, unitsLeft)
	}
}

// handleAttemptEnded records the end of an attempt.
func (c *Checker) handleAttemptEnded(at time.Duration, o emulator.AttemptEnded) {
	tracked := c.requests[o.Request]
	if tracked == nil {
		return // the request was answered or lost long ago
	}
	tracked.handleAttemptEnded(o.Attempt, o.Status)
	c.scheduleRemoval(at, tracked)
}
