package invariant

import (
	"container/heap"
	"time"

	"springfield/internal/emulator"
)

// submit begins to follow a request.
func (c *Checker) submit(o emulator.RequestSubmitted) {
	c.submitted++
	if _, known := c.requests[o.Request]; known {
		return
	}
	added := c.newRequest()
	added.key = o.Request
	added.gateway = o.Gateway
	added.class = o.Class
	added.plan = o.Plan
	added.customer = o.Customer
	added.units = o.Units
	added.deadline = o.Deadline
	added.submission = c.position
	added.due = o.Deadline + AnswerGrace + c.slack
	if c.gateway(o.Gateway).down {
		added.judged = true // no process was there to take it
	}
	c.requests[o.Request] = added
	heap.Push(&c.queue, added)
}

// newRequest returns an empty request, if possible one that is not used any more.
func (c *Checker) newRequest() *request {
	if len(c.free) == 0 {
		return &request{}
	}
	last := len(c.free) - 1
	reused := c.free[last]
	c.free = c.free[:last]
	*reused = request{attempts: reused.attempts[:0]}
	return reused
}

// answer checks a final answer.
func (c *Checker) answer(at time.Duration, o emulator.RequestAnswered) {
	answered := c.requests[o.Request]
	if answered == nil {
		return // long overdue, and counted as lost then
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
		c.check(at, answered, len(answered.attempts), checkRejection)
	}
	c.retire(at, answered)
}

// disconnect records that nothing is owed to a client any more. A client that waits until its deadline is still owed
// the answer that it did not get.
func (c *Checker) disconnect(at time.Duration, o emulator.ClientDisconnected) {
	gone := c.requests[o.Request]
	if gone == nil || gone.disconnected || at >= gone.deadline {
		return
	}
	gone.disconnected = true
	gone.disconnectedAt = at
}

// retire lets a request be forgotten soon once it is closed. One whose client has disconnected is remembered until its
// deadline: a gateway that has missed the disconnect may go on with it until then.
func (c *Checker) retire(at time.Duration, r *request) {
	if r.closed() && !r.disconnected {
		r.due = at + c.retention()
		heap.Fix(&c.queue, r.index)
	}
}

// retention is how long a closed request is remembered: longer than any check of it is deferred.
func (c *Checker) retention() time.Duration { return retention + c.slack }

// advance judges and forgets the requests that are due. An observation at the very time is still in time.
func (c *Checker) advance(at time.Duration) {
	c.deferred.run(c, at)
	for len(c.queue) > 0 && c.queue[0].due < at {
		due := c.queue[0]
		c.judge(at, due)
		if due.closed() || due.due >= due.deadline+AnswerGrace+c.slack+c.retention() {
			c.forget(due)
			continue
		}
		due.due += c.retention()
		heap.Fix(&c.queue, due.index)
	}
}

// forget ends to follow a request.
func (c *Checker) forget(r *request) {
	heap.Remove(&c.queue, r.index)
	delete(c.requests, r.key)
	c.free = append(c.free, r)
}

// judge decides whether a request is lost: no complete answer came in time, though one was owed.
func (c *Checker) judge(at time.Duration, r *request) {
	if r.judged {
		return
	}
	r.judged = true
	switch {
	case r.disconnected || c.excused(r):
	case r.missing:
		c.violations.add(RuleFinalAnswer, at, r.key,
			"gateway %d ended the connection of request %d without a complete answer", r.gateway, r.key)
	case !r.answered:
		c.violations.add(RuleFinalAnswer, at, r.key,
			"gateway %d had not answered request %d %v after its deadline", r.gateway, r.key, AnswerGrace+c.slack)
	}
}

// excused tells whether the gateway of a request has been killed since it took it.
func (c *Checker) excused(r *request) bool {
	return c.gateway(r.gateway).killed > r.submission
}

// receive checks RuleCeiling.
func (c *Checker) receive(at time.Duration, o emulator.AttemptReceived) {
	received := c.requests[o.Request]
	if received == nil || received.received {
		return
	}
	received.received = true
	left, kept := c.ceilings.take(at, received.customer, received.plan, received.units)
	if !kept {
		c.violations.add(RuleCeiling, at, o.Request, "request %d through gateway %d left customer %d with %.2f units"+
			" under its ceiling", o.Request, o.Gateway, received.customer, left)
	}
}

// endAttempt records the end of an attempt.
func (c *Checker) endAttempt(at time.Duration, o emulator.AttemptEnded) {
	ended := c.requests[o.Request]
	if ended == nil {
		return // of a request that was answered or lost long ago
	}
	ended.endAttempt(o.Attempt, o.Status)
	c.retire(at, ended)
}
