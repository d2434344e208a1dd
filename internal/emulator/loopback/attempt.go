package loopback

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// attempt is one attempt of a gateway that has reached an endpoint's machine. Its fields are accessed only in the
// scheduler.
type attempt struct {
	request  *request
	number   int
	conn     *upstreamConnection
	answered chan<- struct{} // closed when the response has been written and the connection remains open
	deadline time.Duration   // when the gateway gives the attempt up, according to the Req-Deadline header

	submitted bool // the attempt was complete and was passed to the endpoint's model as a job
	rejected  bool // the endpoint does not execute the attempt
	ended     bool
}

// identifyRequest returns the client's request that an attempt carries. If the attempt carries none, the returned
// status is that of the error response.
func (w *World) identifyRequest(received receivedRequest) (*request, int) {
	id := received.head.Header.Get(requestIDHeader)
	if id == "" {
		return nil, http.StatusNotFound
	}
	key, err := strconv.ParseUint(id, 16, 64)
	clientRequest := w.requests[emulator.RequestKey(key)]
	if err != nil || clientRequest == nil || !clientRequest.message.matches(received) {
		w.summary.UnknownRequests++
		w.logger.Error("an attempt carries no request of a client", "id", id, "path", received.head.URL.Path)
		return nil, http.StatusBadRequest
	}
	return clientRequest, http.StatusOK
}

// beginAttempt records an attempt for a client's request and observes that a gateway has forwarded it.
func (w *World) beginAttempt(clientRequest *request, c *upstreamConnection, newConnection bool,
	received receivedRequest) *attempt {
	w.endClosedAttempts(clientRequest)
	deadline := received.arrivedAt + parseSeconds(received.head.Header.Get("Req-Deadline"))
	a := &attempt{request: clientRequest, number: clientRequest.attempts, conn: c, deadline: deadline}
	if clientRequest.attempts == 0 {
		clientRequest.firstAttemptAt = w.scheduler.Now()
	}
	clientRequest.attempts++
	clientRequest.inFlight = append(clientRequest.inFlight, a)
	w.summary.Attempts++
	w.observe(emulator.AttemptForwarded{
		Request:        clientRequest.arrival.Request,
		Attempt:        a.number,
		Gateway:        clientRequest.arrival.Gateway,
		Endpoint:       c.endpoint.id,
		NewConnection:  newConnection,
		StatedDeadline: deadline,
		Sent:           received.arrivedAt,
	})
	return a
}

// endClosedAttempts ends the attempts of a request whose connections the gateway has closed. The goroutines of these
// connections may not have detected the close yet, and the next attempt must not count as concurrent with an attempt
// on a closed connection.
func (w *World) endClosedAttempts(clientRequest *request) {
	for _, earlier := range slices.Clone(clientRequest.inFlight) {
		if peerHasClosed(earlier.conn.conn) {
			earlier.endByClose()
		}
	}
}

// receive handles the arrival of the complete attempt at the endpoint.
func (a *attempt) receive() {
	if a.ended {
		return
	}
	world, e := a.conn.endpoint.world, a.conn.endpoint
	clientArrival := &a.request.arrival
	world.observe(emulator.AttemptReceived{
		Request:  clientArrival.Request,
		Attempt:  a.number,
		Gateway:  a.request.arrival.Gateway,
		Endpoint: e.id,
		Units:    clientArrival.TrueUnits,
	})
	if !a.request.metered {
		a.request.metered = true
		world.meter.Record(world.scheduler.Now(), clientArrival.Customer, clientArrival.TrueUnits)
	}
	if !a.conn.admitted || world.rejectsByFault() {
		a.scheduleResponse(model.JobRejected)
		return
	}
	a.submitted = true
	e.server.Submit(model.Job{
		Work:     clientArrival.Work,
		Gateway:  a.request.arrival.Gateway,
		Informed: world.gateways[a.request.arrival.Gateway].knowsStart(e),
		Done:     a.scheduleResponse,
	})
	if world.attemptRandom.Float64() < world.resetShare {
		a.conn.closeWithReset()
	}
}

// scheduleResponse sends the endpoint's response after the network delay.
func (a *attempt) scheduleResponse(result model.JobResult) {
	a.rejected = result == model.JobRejected
	if a.failByFault(result) {
		return
	}
	world := a.conn.endpoint.world
	world.scheduler.After(world.network.Delay(), func() { a.sendResponse(result) })
}

// sendResponse writes the response unless the attempt has ended. The attempt ends before the first byte is written,
// because the gateway may send the next attempt as soon as it has read the last byte.
func (a *attempt) sendResponse(result model.JobResult) {
	world := a.conn.endpoint.world
	if a.ended {
		return
	}
	if !world.reachable(a.request.arrival.Gateway, a.conn.endpoint) {
		a.conn.lostByPartition = true
		return
	}
	r := world.newResponse(a, result)
	status := statusForResult(result)
	if r.truncated {
		status = policy.StatusReset
	}
	a.end(status)
	a.conn.writeResponse(r, a.answered)
}

func statusForResult(result model.JobResult) policy.Status {
	switch result {
	case model.JobServed:
		return policy.StatusOK
	case model.JobRejected:
		return policy.StatusRejected
	default:
		return policy.StatusServerError
	}
}

// endByClose ends an attempt whose connection the gateway has closed: the attempt timed out if its deadline has passed,
// and was cancelled otherwise.
func (a *attempt) endByClose() {
	status := policy.StatusCancelled
	if a.conn.endpoint.world.scheduler.Now() >= a.deadline {
		status = policy.StatusTimedOut
	}
	a.end(status)
}

// endByReset ends an attempt whose connection the endpoint's machine resets.
func (a *attempt) endByReset() { a.end(policy.StatusReset) }

func (a *attempt) end(status policy.Status) {
	if a.ended {
		return
	}
	a.ended = true
	a.conn.current = nil
	a.request.inFlight = deleteItem(a.request.inFlight, a)
	if a.request.leavesOnFailure && (status == policy.StatusRejected || status == policy.StatusReset) {
		a.conn.endpoint.world.leaveEarly(a.request)
	}
	a.conn.endpoint.world.observe(emulator.AttemptEnded{
		Request:  a.request.arrival.Request,
		Attempt:  a.number,
		Gateway:  a.request.arrival.Gateway,
		Endpoint: a.conn.endpoint.id,
		Status:   status,
		Executed: a.submitted && !a.rejected,
	})
}

// deleteItem deletes the first occurrence of an item and keeps the order of the others.
func deleteItem[T comparable](items []T, item T) []T {
	if i := slices.Index(items, item); i >= 0 {
		return slices.Delete(items, i, i+1)
	}
	return items
}
