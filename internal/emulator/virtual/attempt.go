package virtual

import (
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// attempt is one attempt of a gateway to have a request served by an endpoint.
type attempt struct {
	request     *request
	endpoint    *endpoint
	number      int
	forwardedAt time.Duration // when the decider forwarded the request

	connection    *connection // nil until the endpoint has accepted the connection
	newConnection bool        // the attempt opens its own connection
	activeIndex   int         // index in endpoint.active; notActive without a connection

	sent        bool // the gateway has sent the first byte
	received    bool // the endpoint has received the complete attempt
	executed    bool // the endpoint has executed the attempt, or may still execute it
	endObserved bool // the end of the attempt has been observed
	ended       bool // the gateway no longer waits for the attempt
}

// start sends the attempt on an idle connection, or dials a new one.
func (a *attempt) start() {
	g := a.request.gateway
	w := g.world
	if a.endpoint == nil || g.view(a.endpoint.id).state != policy.StateReady {
		w.scheduler.After(0, func() { a.end(policy.StatusNotSent) })
		return
	}
	if c := g.view(a.endpoint.id).acquireIdle(w.scheduler.Now()); c != nil {
		a.useConnection(c)
		a.send()
		return
	}
	a.newConnection = true
	if !w.reachable(g, a.endpoint) {
		w.scheduler.After(w.scenario.Network.DialTimeout.AsDuration(), func() { a.end(policy.StatusConnectFailed) })
		return
	}
	w.scheduler.After(w.network.Delay(), a.handleConnect)
}

// useConnection assigns a connection to the attempt.
func (a *attempt) useConnection(c *connection) {
	a.connection = c
	a.endpoint.addActive(a)
}

// handleConnect handles the arrival of a connection request at the endpoint.
func (a *attempt) handleConnect() {
	w := a.request.gateway.world
	if a.endpoint.stopped() || !a.endpoint.server.Connect() {
		w.scheduler.After(w.network.Delay(), func() { a.end(policy.StatusConnectFailed) })
		return
	}
	c := &connection{endpoint: a.endpoint, incarnation: a.endpoint.incarnation}
	w.connections++
	if a.ended || a.request.orphaned() {
		c.close()
		return
	}
	a.useConnection(c)
	w.scheduler.After(w.network.Delay()+w.scenario.Endpoints.HandshakeDelay.AsDuration(), a.handleConnected)
}

// handleConnected sends the attempt over its established connection, unless the endpoint is no longer ready in the
// gateway's list.
func (a *attempt) handleConnected() {
	if a.ended || a.connection.isLost() {
		return
	}
	if a.request.gateway.view(a.endpoint.id).state != policy.StateReady {
		a.end(policy.StatusNotSent)
		return
	}
	a.send()
}

func (a *attempt) send() {
	g := a.request.gateway
	w := g.world
	w.attempts++
	a.sent, a.executed = true, true
	w.observe(emulator.AttemptForwarded{
		Request:       a.request.arrival.Request,
		Attempt:       a.number,
		Gateway:       g.number,
		Endpoint:      a.endpoint.id,
		NewConnection: a.newConnection,
	})
	connection := a.connection
	w.scheduler.After(w.network.Delay(), func() { a.handleReceived(connection) })
}

// handleReceived handles the arrival of the complete attempt at its endpoint. The gateway may have given the attempt up
// by then.
func (a *attempt) handleReceived(c *connection) {
	g := a.request.gateway
	w := g.world
	if c.isLost() || !w.reachable(g, a.endpoint) {
		return
	}
	a.received = true
	arrival := &a.request.arrival
	w.observe(emulator.AttemptReceived{
		Request:  arrival.Request,
		Attempt:  a.number,
		Gateway:  g.number,
		Endpoint: a.endpoint.id,
		Units:    arrival.TrueUnits,
	})
	w.chargeUnits(a.request)
	if !a.endObserved {
		w.ledger.BeginAttempt(arrival.Customer, arrival.Plan)
	}
	informed := g.view(a.endpoint.id).notifiedStart >= a.endpoint.server.StartedAt()
	a.endpoint.server.Submit(model.Job{Work: arrival.Work, Gateway: g.number, Informed: informed, Done: a.respond})
	if w.resetShare > 0 && w.attemptRandom.Float64() < w.resetShare {
		resetDelay := w.attemptRandom.Float64() * 2 * float64(arrival.Work)
		w.scheduler.After(time.Duration(resetDelay), func() { a.reset(c) })
	}
}

// reset breaks the connection of an attempt in progress.
func (a *attempt) reset(c *connection) {
	if a.ended || a.endObserved || c.isLost() {
		return
	}
	a.endpoint.removeActive(a)
	a.handleConnectionLost()
}

// handleConnectionLost reports the broken connection of an attempt to the gateway, after the network delay. A gateway
// that a partition separates from the endpoint gets no report.
func (a *attempt) handleConnectionLost() {
	w := a.request.gateway.world
	if a.ended || !w.reachable(a.request.gateway, a.endpoint) {
		return
	}
	status := policy.StatusConnectFailed
	if a.sent {
		status = policy.StatusReset
	}
	w.scheduler.After(w.network.Delay(), func() { a.end(status) })
}

// response is a response that an endpoint has written.
type response struct {
	status   policy.Status
	hasUsage bool
	usage    float64
	load     policy.LoadReport
}

// respond handles the end of the endpoint's work on the attempt. It is the Done function of a model.Job.
func (a *attempt) respond(result model.JobResult) {
	g := a.request.gateway
	w := g.world
	a.executed = result != model.JobRejected
	if a.ended || a.activeIndex == notActive || !w.reachable(g, a.endpoint) {
		return
	}
	resp := response{status: jobStatus(result)}
	if resp.status == policy.StatusOK {
		if w.spoiltShare > 0 && w.attemptRandom.Float64() < w.spoiltShare {
			a.handleConnectionLost() // the gateway cannot parse the response and closes the connection
			return
		}
		w.settleUnits(a.request)
	}
	arrival := &a.request.arrival
	resp.usage, resp.hasUsage = w.meter.Reading(w.scheduler.Now(), arrival.Customer, w.scenario.Plans[arrival.Plan].Rate)
	if w.scenario.Endpoints.LoadReports {
		resp.load = a.endpoint.server.Load()
	}
	a.observeEnd(resp.status)
	w.scheduler.After(w.network.Delay(), func() { a.handleResponse(resp) })
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

// handleResponse handles the arrival of the response at the gateway.
func (a *attempt) handleResponse(resp response) {
	if a.ended {
		return
	}
	a.ended = true
	a.endpoint.removeActive(a)
	if !a.request.orphaned() {
		a.request.gateway.releaseConnection(a.connection)
		a.request.attemptFinished(a, resp)
	}
}

// end ends the attempt without a response and closes its connection.
func (a *attempt) end(status policy.Status) {
	if a.ended {
		return
	}
	a.abandon(status)
	if !a.request.orphaned() {
		a.request.attemptFinished(a, response{status: status})
	}
}

// giveUp ends the attempt after a timeout or a cancellation. An attempt that was not sent ends with StatusNotSent.
func (a *attempt) giveUp(status policy.Status) {
	if !a.sent {
		status = policy.StatusNotSent
	}
	a.end(status)
}

// abandon ends the attempt without passing a result to the gateway's decider.
func (a *attempt) abandon(status policy.Status) {
	a.ended = true
	if a.connection != nil {
		a.endpoint.removeActive(a)
		a.connection.close()
	}
	a.observeEnd(status)
}

func (a *attempt) observeEnd(status policy.Status) {
	if a.endObserved || a.endpoint == nil {
		return
	}
	a.endObserved = true
	g, arrival := a.request.gateway, &a.request.arrival
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
