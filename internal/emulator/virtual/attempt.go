package virtual

import (
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// attempt is one attempt of a gateway to have a request served by an endpoint.
type attempt struct {
	call        *call
	endpoint    *endpoint
	number      int
	forwardedAt time.Duration // when the decider asked for it

	connection    *connection // nil while it is being opened
	newConnection bool
	activeIndex   int // in endpoint.active, or notActive

	sent     bool // its first byte is on its way
	received bool // it has reached the endpoint complete
	executed bool // the endpoint has executed it, or will, or the gateway can't exclude it
	observed bool // its end has been
	ended    bool // the gateway waits for it no longer
}

// begin sends the attempt on an idle connection, or opens one.
func (a *attempt) begin() {
	g := a.call.gateway
	w := g.world
	if a.endpoint == nil || g.view(a.endpoint.id).state != policy.StateReady {
		w.scheduler.After(0, func() { a.end(policy.StatusNotSent) })
		return
	}
	if c := g.view(a.endpoint.id).acquireIdle(w.scheduler.Now()); c != nil {
		a.use(c)
		a.send()
		return
	}
	a.newConnection = true
	if !w.reachable(g, a.endpoint) {
		w.scheduler.After(w.scenario.Network.DialTimeout.AsDuration(), func() { a.end(policy.StatusConnectFailed) })
		return
	}
	w.scheduler.After(w.network.Delay(), a.connect)
}

// use takes a connection for the attempt.
func (a *attempt) use(c *connection) {
	a.connection = c
	a.endpoint.addActive(a)
}

// connect handles that a new connection is asked for at the endpoint.
func (a *attempt) connect() {
	w := a.call.gateway.world
	if a.endpoint.stopped() || !a.endpoint.server.Connect() {
		w.scheduler.After(w.network.Delay(), func() { a.end(policy.StatusConnectFailed) })
		return
	}
	c := &connection{endpoint: a.endpoint, incarnation: a.endpoint.incarnation}
	w.connections++
	if a.ended || a.call.orphaned() {
		c.close()
		return
	}
	a.use(c)
	w.scheduler.After(w.network.Delay()+w.scenario.Endpoints.HandshakeDelay.AsDuration(), a.connected)
}

// connected handles that a new connection is up. Its endpoint may have left the list meanwhile.
func (a *attempt) connected() {
	if a.ended || a.connection.isLost() {
		return
	}
	if a.call.gateway.view(a.endpoint.id).state != policy.StateReady {
		a.end(policy.StatusNotSent)
		return
	}
	a.send()
}

func (a *attempt) send() {
	g := a.call.gateway
	w := g.world
	w.attempts++
	a.sent, a.executed = true, true
	w.observe(emulator.AttemptForwarded{
		Request:       a.call.arrival.Request,
		Attempt:       a.number,
		Gateway:       g.number,
		Endpoint:      a.endpoint.id,
		NewConnection: a.newConnection,
	})
	connection := a.connection
	w.scheduler.After(w.network.Delay(), func() { a.receive(connection) })
}

// receive handles that the attempt has reached its endpoint complete, perhaps after the gateway has given it up.
func (a *attempt) receive(c *connection) {
	g := a.call.gateway
	w := g.world
	if c.isLost() || !w.reachable(g, a.endpoint) {
		return
	}
	a.received = true
	arrival := &a.call.arrival
	w.observe(emulator.AttemptReceived{
		Request:  arrival.Request,
		Attempt:  a.number,
		Gateway:  g.number,
		Endpoint: a.endpoint.id,
		Units:    arrival.TrueUnits,
	})
	w.takeUnits(a.call)
	if !a.observed {
		w.ledger.BeginAttempt(arrival.Customer, arrival.Plan)
	}
	informed := g.view(a.endpoint.id).notified >= a.endpoint.server.StartedAt()
	a.endpoint.server.Submit(model.Job{Work: arrival.Work, Gateway: g.number, Informed: informed, Done: a.respond})
	if w.resetShare > 0 && w.attemptRandom.Float64() < w.resetShare {
		wait := w.attemptRandom.Float64() * 2 * float64(arrival.Work)
		w.scheduler.After(time.Duration(wait), func() { a.reset(c) })
	}
}

// reset breaks the connection of an attempt under it.
func (a *attempt) reset(c *connection) {
	if a.ended || a.observed || c.isLost() {
		return
	}
	a.endpoint.removeActive(a)
	a.connectionLost()
}

// connectionLost handles at the endpoint that the attempt's connection is broken. The gateway learns of it a little
// later, unless it is cut off.
func (a *attempt) connectionLost() {
	w := a.call.gateway.world
	if a.ended || !w.reachable(a.call.gateway, a.endpoint) {
		return
	}
	status := policy.StatusConnectFailed
	if a.sent {
		status = policy.StatusReset
	}
	w.scheduler.After(w.network.Delay(), func() { a.end(status) })
}

// response is what an endpoint has written.
type response struct {
	status   policy.Status
	hasUsage bool
	usage    float64
	load     policy.LoadReport
}

// respond handles that the endpoint is done with the attempt. It is a model.Job's Done.
func (a *attempt) respond(result model.JobResult) {
	g := a.call.gateway
	w := g.world
	a.executed = result != model.JobRejected
	if a.ended || a.activeIndex == notActive || !w.reachable(g, a.endpoint) {
		return
	}
	r := response{status: jobStatus(result)}
	if r.status == policy.StatusOK {
		if w.spoiltShare > 0 && w.attemptRandom.Float64() < w.spoiltShare {
			a.connectionLost() // the gateway can't read the answer and closes the connection
			return
		}
		w.settleUnits(a.call)
	}
	arrival := &a.call.arrival
	r.usage, r.hasUsage = w.meter.Reading(w.scheduler.Now(), arrival.Customer, w.scenario.Plans[arrival.Plan].Rate)
	if w.scenario.Endpoints.LoadReports {
		r.load = a.endpoint.server.Load()
	}
	a.observeEnd(r.status)
	w.scheduler.After(w.network.Delay(), func() { a.finish(r) })
}

func jobStatus(result model.JobResult) policy.Status {
	switch result {
	case model.JobServed:
		return policy.StatusOK
	case model.JobRejected:
		return policy.StatusRejected
	default: // model.JobError
		return policy.StatusServerError
	}
}

// finish handles that the response has reached the gateway.
func (a *attempt) finish(r response) {
	if a.ended {
		return
	}
	a.ended = true
	a.endpoint.removeActive(a)
	if !a.call.orphaned() {
		a.call.gateway.releaseConnection(a.connection)
		a.call.attemptFinished(a, r)
	}
}

// end ends the attempt without a response. Its connection is closed.
func (a *attempt) end(status policy.Status) {
	if a.ended {
		return
	}
	a.abandon(status)
	if !a.call.orphaned() {
		a.call.attemptFinished(a, response{status: status})
	}
}

// giveUp ends the attempt because the gateway waits for it no longer.
func (a *attempt) giveUp(status policy.Status) {
	if !a.sent {
		status = policy.StatusNotSent
	}
	a.end(status)
}

// abandon ends the attempt and tells the gateway's decider nothing.
func (a *attempt) abandon(status policy.Status) {
	a.ended = true
	if a.connection != nil {
		a.endpoint.removeActive(a)
		a.connection.close()
	}
	a.observeEnd(status)
}

func (a *attempt) observeEnd(status policy.Status) {
	if a.observed || a.endpoint == nil {
		return
	}
	a.observed = true
	g, arrival := a.call.gateway, &a.call.arrival
	if a.received {
		g.world.ledger.EndAttempt(arrival.Customer, arrival.Plan)
	}
	g.world.observe(emulator.AttemptEnded{
		Request:  arrival.Request,
		Attempt:  a.number,
		Gateway:  g.number,
		Endpoint: a.endpoint.id,
		Status:   status,
		Executed: a.executed,
	})
}
