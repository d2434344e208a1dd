package virtual

import (
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// lateAnswerWait is how long after its deadline a client still takes note of an answer. It is longer than an answer may
// be late, so that late ones are told from missing ones.
const lateAnswerWait = model.AnswerGrace + 100*time.Millisecond

// call is one try of a client at a gateway.
type call struct {
	arrival     model.Arrival
	gateway     *gateway
	incarnation int // of the gateway's process
	id          policy.RequestID
	deadline    time.Duration // of the final answer, brought forward by a shutdown
	attempts    int           // so far
	inFlight    []*attempt
	open        bool // the gateway owes a final answer
	settled     bool // the true units have been taken
	taken       bool // the units have been
	clientDone  bool // the client has its answer, or waits for none
}

// orphaned reports whether the gateway's process has ended.
func (c *call) orphaned() bool { return c.incarnation != c.gateway.incarnation || !c.gateway.running }

// submit handles that a client sends a try. The front takes it to a gateway.
func (w *world) submit(arrival model.Arrival) {
	w.scheduler.After(w.network.Delay(), func() { w.receiveRequest(arrival) })
}

// receiveRequest handles that a client's request has reached a gateway's machine.
func (w *world) receiveRequest(arrival model.Arrival) {
	w.requests++
	now := w.scheduler.Now()
	number := w.workload.Redirect(&arrival, func(gateway int) bool { return w.gateways[gateway].admitted })
	g := w.gateways[number]
	arrival.Gateway = number
	c := &call{arrival: arrival, gateway: g, deadline: arrival.Deadline}
	w.observe(emulator.RequestSubmitted{
		Request:  arrival.Request,
		Original: arrival.Original,
		Gateway:  number,
		Customer: arrival.Customer,
		Plan:     arrival.Plan,
		Class:    arrival.Class,
		Units:    arrival.Units,
		Deadline: arrival.Deadline,
	})
	if !g.running {
		c.answerClient(emulator.AnswerMissing, 0) // the connection is refused
		return
	}
	w.scheduler.After(arrival.Deadline+lateAnswerWait-now, c.clientTimedOut)
	if arrival.AbandonAt > 0 {
		w.scheduler.After(arrival.AbandonAt-now, c.clientLeaves)
	}
	g.submit(c)
}

// answerClient handles that the client gets its final answer, and lets it retry.
func (c *call) answerClient(answer emulator.Answer, retryAfter time.Duration) {
	if c.clientDone {
		return
	}
	c.clientDone = true
	w := c.gateway.world
	w.observe(emulator.RequestAnswered{
		Request: c.arrival.Request,
		Gateway: c.gateway.number,
		Answer:  answer,
		Genuine: answer == emulator.AnswerServed,
	})
	retry, ok := w.workload.Retry(c.arrival, answer, retryAfter, w.scheduler.Now())
	if !ok {
		w.unsettled--
		return
	}
	w.scheduler.After(retry.At-w.scheduler.Now(), func() { w.submit(retry) })
}

// clientTimedOut handles that the client waits no longer.
func (c *call) clientTimedOut() {
	if c.clientDone {
		return
	}
	c.answerClient(emulator.AnswerMissing, 0)
	c.disconnected()
}

// clientLeaves handles that the client closes its connection before it has an answer.
func (c *call) clientLeaves() {
	if c.clientDone {
		return
	}
	c.clientDone = true
	w := c.gateway.world
	w.unsettled--
	w.observe(emulator.ClientDisconnected{Request: c.arrival.Request, Gateway: c.gateway.number})
	w.scheduler.After(w.network.Delay(), c.disconnected)
}

// disconnected handles at the gateway that the client has closed its connection. What has not been sent is not sent any
// more; the decider says what becomes of the rest.
func (c *call) disconnected() {
	if !c.open || c.orphaned() {
		return
	}
	g := c.gateway
	g.decider.ClientDisconnected(g.world.scheduler.Now(), c.id)
	for _, a := range slices.Clone(c.inFlight) {
		if !a.sent {
			a.end(policy.StatusNotSent)
		}
	}
	g.closeCall(c)
}

// answer gives the client its final answer.
func (c *call) answer(answer emulator.Answer, retryAfter time.Duration) {
	if !c.open {
		return
	}
	w := c.gateway.world
	c.gateway.closeCall(c)
	w.scheduler.After(w.network.Delay(), func() { c.answerClient(answer, retryAfter) })
}

// attemptFinished passes the result of an attempt on to the decider. A served request is answered before.
func (c *call) attemptFinished(a *attempt, r response) {
	g := c.gateway
	if i := slices.Index(c.inFlight, a); i >= 0 {
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
	}
	if r.status == policy.StatusOK {
		c.answer(emulator.AnswerServed, 0)
	}
	result := policy.AttemptResult{
		Request:     c.id,
		Attempt:     a.number,
		Status:      r.status,
		Latency:     g.world.scheduler.Now() - a.forwardedAt,
		RequestDone: !c.open,
		HasUsage:    r.hasUsage,
		Usage:       r.usage,
		LoadReport:  r.load,
	}
	if a.endpoint != nil {
		result.Endpoint = a.endpoint.id
	}
	g.decider.AttemptFinished(g.world.scheduler.Now(), result)
}

// takeUnits takes the units of a try from its customer's quota, once.
func (w *world) takeUnits(c *call) {
	if c.taken {
		return
	}
	c.taken = true
	now, arrival := w.scheduler.Now(), &c.arrival
	w.ledger.Take(now, arrival.Customer, arrival.Plan, arrival.Units)
	w.meter.Record(now, arrival.Customer, arrival.Units)
	w.truth.recordQuota(arrival.Customer, arrival.Plan)
}

// settleUnits corrects the units of a try that were a guess, once.
func (w *world) settleUnits(c *call) {
	difference := c.arrival.TrueUnits - c.arrival.Units
	if c.settled || !w.scenario.Meter.Settled || difference == 0 {
		return
	}
	c.settled = true
	w.ledger.Settle(c.arrival.Customer, c.arrival.Plan, difference)
	w.meter.Record(w.scheduler.Now(), c.arrival.Customer, difference)
	w.truth.recordQuota(c.arrival.Customer, c.arrival.Plan)
}
