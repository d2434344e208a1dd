package virtual

import (
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// lateAnswerWait is how long after its deadline a client still accepts an answer. It exceeds model.AnswerGrace, so that
// late answers are distinguished from missing ones.
const lateAnswerWait = model.AnswerGrace + 100*time.Millisecond

// request is one try of a client at a gateway. A client's retry is another request.
type request struct {
	arrival      model.Arrival
	gateway      *gateway
	incarnation  int // incarnation of the gateway's process that received the request
	id           policy.RequestID
	deadline     time.Duration // when the final answer is due; a shutdown may bring it forward
	attempts     int           // number of attempts so far
	inFlight     []*attempt
	open         bool // the gateway has not given the final answer, and the client is connected
	unitsSettled bool // the charged units have been corrected to the true units
	unitsCharged bool // the units have been charged to the quota
	clientDone   bool // the client has its answer or no longer waits for one
}

// orphaned reports whether the gateway process that received the request has ended.
func (r *request) orphaned() bool {
	return r.incarnation != r.gateway.incarnation || !r.gateway.running
}

// submit sends a try of a client to the gateways, which receive it after the network delay.
func (w *world) submit(arrival model.Arrival) {
	w.scheduler.After(w.network.Delay(), func() { w.receiveRequest(arrival) })
}

// receiveRequest handles the arrival of a client's request at the gateway that the load balancer in front of the
// gateways selects.
func (w *world) receiveRequest(arrival model.Arrival) {
	now := w.scheduler.Now()
	if arrival.AbandonAt > 0 && arrival.AbandonAt <= now {
		w.pendingRequests--
		return
	}
	w.requests++
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

// answerClient handles the arrival of the final answer at the client, and submits the client's retry if there is one.
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

// clientTimedOut handles a client that has no answer lateAnswerWait after its deadline.
func (r *request) clientTimedOut() {
	if r.clientDone {
		return
	}
	r.answerClient(emulator.AnswerMissing, 0)
	r.handleDisconnect()
}

// clientDisconnects handles a client that closes its connection before it has an answer.
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

// handleDisconnect handles the closed connection of a client at the gateway. Attempts that have not been sent are
// dropped, and the decider may cancel the others.
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

// answer closes the request and sends the final answer to the client.
func (r *request) answer(answer emulator.Answer, retryAfter time.Duration) {
	if !r.open {
		return
	}
	w := r.gateway.world
	r.gateway.closeRequest(r)
	w.scheduler.After(w.network.Delay(), func() { r.answerClient(answer, retryAfter) })
}

// attemptFinished passes the result of an attempt to the decider. If the attempt was successful, the client is answered
// first.
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

// chargeUnits charges the units of a request to the customer's quota. Only the first attempt of a request is charged.
func (w *world) chargeUnits(r *request) {
	if r.unitsCharged {
		return
	}
	r.unitsCharged = true
	now, arrival := w.scheduler.Now(), &r.arrival
	w.ledger.Take(now, arrival.Customer, arrival.Plan, arrival.Units)
	w.meter.Record(now, arrival.Customer, arrival.Units)
	w.groundTruth.recordQuota(arrival.Customer, arrival.Plan)
}

// settleUnits corrects the charged units of a request, which were an estimate, to the true units. Only the first call
// for a request has an effect.
func (w *world) settleUnits(r *request) {
	difference := r.arrival.TrueUnits - r.arrival.Units
	if r.unitsSettled || !w.scenario.Meter.Settled || difference == 0 {
		return
	}
	r.unitsSettled = true
	w.ledger.Settle(r.arrival.Customer, r.arrival.Plan, difference)
	w.meter.Record(w.scheduler.Now(), r.arrival.Customer, difference)
	w.groundTruth.recordQuota(r.arrival.Customer, r.arrival.Plan)
}
