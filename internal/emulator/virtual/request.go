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

// request is one try of a client at a gateway.
type request struct {
	arrival      model.Arrival
	gateway      *gateway
	incarnation  int // of the gateway's process
	id           policy.RequestID
	deadline     time.Duration // of the final answer, brought forward by a shutdown
	attempts     int           // so far
	inFlight     []*attempt
	open         bool // the gateway owes a final answer
	unitsSettled bool // the true units have been taken
	unitsTaken   bool // the units have been
	clientDone   bool // the client has its answer, or waits for none
}

// orphaned reports whether the gateway's process has ended.
func (r *request) orphaned() bool {
	return r.incarnation != r.gateway.incarnation || !r.gateway.running
}

// submit handles that a client sends a try. The front takes it to a gateway.
func (w *world) submit(arrival model.Arrival) {
	w.scheduler.After(w.network.Delay(), func() { w.receiveRequest(arrival) })
}

// receiveRequest handles that a client's request has reached a gateway's machine.
func (w *world) receiveRequest(arrival model.Arrival) {
	w.requests++
	now := w.scheduler.Now()
	number := w.workload.Redirect(&arrival, func(gateway int) bool { return w.gateways[gateway].inRotation })
	g := w.gateways[number]
	arrival.Gateway = number
	r := &request{arrival: arrival, gateway: g, deadline: arrival.Deadline}
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
		r.answerClient(emulator.AnswerMissing, 0) // the connection is refused
		return
	}
	w.scheduler.After(arrival.Deadline+lateAnswerWait-now, r.clientTimedOut)
	if arrival.AbandonAt > 0 {
		w.scheduler.After(arrival.AbandonAt-now, r.clientDisconnects)
	}
	g.submit(r)
}

// answerClient handles that the client gets its final answer, and lets it retry.
func (r *request) answerClient(answer emulator.Answer, retryAfter time.Duration) {
	if r.clientDone {
		return
	}
	r.clientDone = true
	w := r.gateway.world
	w.observe(emulator.RequestAnswered{
		Request: r.arrival.Request,
		Gateway: r.gateway.number,
		Answer:  answer,
		Genuine: answer == emulator.AnswerServed,
	})
	retry, ok := w.workload.Retry(r.arrival, answer, retryAfter, w.scheduler.Now())
	if !ok {
		w.pendingRequests--
		return
	}
	w.scheduler.After(retry.At-w.scheduler.Now(), func() { w.submit(retry) })
}

// clientTimedOut handles that the client waits no longer.
func (r *request) clientTimedOut() {
	if r.clientDone {
		return
	}
	r.answerClient(emulator.AnswerMissing, 0)
	r.handleDisconnect()
}

// clientDisconnects handles that the client closes its connection before it has an answer.
func (r *request) clientDisconnects() {
	if r.clientDone {
		return
	}
	r.clientDone = true
	w := r.gateway.world
	w.pendingRequests--
	w.observe(emulator.ClientDisconnected{Request: r.arrival.Request, Gateway: r.gateway.number})
	w.scheduler.After(w.network.Delay(), r.handleDisconnect)
}

// handleDisconnect handles at the gateway that the client has closed its connection. What has not been sent is not sent
// any more; the decider says what becomes of the rest.
func (r *request) handleDisconnect() {
	if !r.open || r.orphaned() {
		return
	}
	g := r.gateway
	g.decider.ClientDisconnected(g.world.scheduler.Now(), r.id)
	for _, a := range slices.Clone(r.inFlight) {
		if !a.sent {
			a.end(policy.StatusNotSent)
		}
	}
	g.closeRequest(r)
}

// answer gives the client its final answer.
func (r *request) answer(answer emulator.Answer, retryAfter time.Duration) {
	if !r.open {
		return
	}
	w := r.gateway.world
	r.gateway.closeRequest(r)
	w.scheduler.After(w.network.Delay(), func() { r.answerClient(answer, retryAfter) })
}

// attemptFinished passes the result of an attempt on to the decider. A served request is answered before.
func (r *request) attemptFinished(a *attempt, resp response) {
	g := r.gateway
	if i := slices.Index(r.inFlight, a); i >= 0 {
		r.inFlight = slices.Delete(r.inFlight, i, i+1)
	}
	if resp.status == policy.StatusOK {
		r.answer(emulator.AnswerServed, 0)
	}
	result := policy.AttemptResult{
		Request:     r.id,
		Attempt:     a.number,
		Status:      resp.status,
		Latency:     g.world.scheduler.Now() - a.forwardedAt,
		RequestDone: !r.open,
		HasUsage:    resp.hasUsage,
		Usage:       resp.usage,
		LoadReport:  resp.load,
	}
	if a.endpoint != nil {
		result.Endpoint = a.endpoint.id
	}
	g.decider.AttemptFinished(g.world.scheduler.Now(), result)
}

// chargeUnits takes the units of a try from its customer's quota, once.
func (w *world) chargeUnits(r *request) {
	if r.unitsTaken {
		return
	}
	r.unitsTaken = true
	now, arrival := w.scheduler.Now(), &r.arrival
	w.ledger.Take(now, arrival.Customer, arrival.Plan, arrival.Units)
	w.meter.Record(now, arrival.Customer, arrival.Units)
	w.truth.recordQuota(arrival.Customer, arrival.Plan)
}

// settleUnits corrects the units of a try that were a guess, once.
func (w *world) settleUnits(r *request) {
	difference := r.arrival.TrueUnits - r.arrival.Units
	if r.unitsSettled || !w.scenario.Meter.Settled || difference == 0 {
		return
	}
	r.unitsSettled = true
	w.ledger.Settle(r.arrival.Customer, r.arrival.Plan, difference)
	w.meter.Record(w.scheduler.Now(), r.arrival.Customer, difference)
	w.truth.recordQuota(r.arrival.Customer, r.arrival.Plan)
}
