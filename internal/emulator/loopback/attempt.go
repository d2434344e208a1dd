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

// attempt is one attempt of a gateway that has reached an endpoint's machine. Its fields belong to the scheduler.
type attempt struct {
	request  *request
	number   int
	conn     *upstreamConnection
	answered chan<- struct{} // closed when the answer has been written
	giveUpAt time.Duration   // when the gateway gives it up, by its Req-Deadline

	submitted bool // the endpoint has got it complete
	rejected  bool // the endpoint does not execute it
	ended     bool
}

// identify returns the request of a client that an attempt carries, and the status of the response if there is none.
func (w *World) identify(received receivedRequest) (*request, int) {
	id := received.head.Header.Get(requestIDHeader)
	if id == "" {
		return nil, http.StatusNotFound
	}
	key, err := strconv.ParseUint(id, 16, 64)
	sender := w.requests[emulator.RequestKey(key)]
	if err != nil || sender == nil || !sender.message.carriedBy(received) {
		w.summary.UnknownRequests++
		w.logger.Error("an attempt carries no request of a client", "id", id, "path", received.head.URL.Path)
		return nil, http.StatusBadRequest
	}
	return sender, http.StatusOK
}

// beginAttempt observes an attempt that a gateway has sent.
func (w *World) beginAttempt(sender *request, c *upstreamConnection, newConnection bool) *attempt {
	w.endClosedAttempts(sender)
	a := &attempt{request: sender, number: sender.attempts, conn: c}
	sender.attempts++
	sender.inFlight = append(sender.inFlight, a)
	w.summary.Attempts++
	w.observe(emulator.AttemptForwarded{
		Request:       sender.arrival.Request,
		Attempt:       a.number,
		Gateway:       sender.arrival.Gateway,
		Endpoint:      c.endpoint.id,
		NewConnection: newConnection,
	})
	return a
}

// endClosedAttempts ends the attempts of a request whose connections the gateway has closed already, although their
// goroutines have not noticed it yet: the next attempt is no second one at the same time.
func (w *World) endClosedAttempts(sender *request) {
	for _, earlier := range slices.Clone(sender.inFlight) {
		if peerHasClosed(earlier.conn.conn) {
			earlier.abandon()
		}
	}
}

// receive handles that the attempt has reached the endpoint complete.
func (a *attempt) receive() {
	if a.ended {
		return
	}
	world, e := a.conn.endpoint.world, a.conn.endpoint
	sender := &a.request.arrival
	world.observe(emulator.AttemptReceived{
		Request:  sender.Request,
		Attempt:  a.number,
		Gateway:  a.request.arrival.Gateway,
		Endpoint: e.id,
		Units:    sender.TrueUnits,
	})
	if !a.request.metered {
		a.request.metered = true
		world.meter.Record(world.scheduler.Now(), sender.Customer, sender.TrueUnits)
	}
	if !a.conn.admitted {
		a.finish(model.JobRejected)
		return
	}
	a.submitted = true
	e.server.Submit(model.Job{
		Work:     sender.Work,
		Gateway:  a.request.arrival.Gateway,
		Informed: world.gateways[a.request.arrival.Gateway].knowsStart(e),
		Done:     a.finish,
	})
	if world.attemptRandom.Float64() < world.resetShare {
		a.conn.reset()
	}
}

// finish has the answer of the endpoint sent.
func (a *attempt) finish(result model.JobResult) {
	a.rejected = result == model.JobRejected
	world := a.conn.endpoint.world
	world.scheduler.After(world.network.Delay(), func() { a.answer(result) })
}

// answer writes the response, unless the attempt has ended. It counts as ended before the first byte is written,
// because the gateway may send another one right after the last.
func (a *attempt) answer(result model.JobResult) {
	world := a.conn.endpoint.world
	if a.ended {
		return
	}
	if !world.reachable(a.request.arrival.Gateway, a.conn.endpoint) {
		a.conn.cutOff = true
		return
	}
	r := world.newResponse(a, result)
	status := statusOf(result)
	if r.truncated {
		status = policy.StatusReset
	}
	a.end(status)
	a.conn.write(r, a.answered)
}

func statusOf(result model.JobResult) policy.Status {
	switch result {
	case model.JobServed:
		return policy.StatusOK
	case model.JobRejected:
		return policy.StatusRejected
	default:
		return policy.StatusServerError
	}
}

// abandon ends an attempt whose connection the gateway has closed.
func (a *attempt) abandon() {
	status := policy.StatusCancelled
	if a.conn.endpoint.world.scheduler.Now() >= a.giveUpAt {
		status = policy.StatusTimedOut
	}
	a.end(status)
}

// lose ends an attempt whose connection the endpoint's machine resets.
func (a *attempt) lose() { a.end(policy.StatusReset) }

func (a *attempt) end(status policy.Status) {
	if a.ended {
		return
	}
	a.ended = true
	a.conn.current = nil
	a.request.inFlight = deleteItem(a.request.inFlight, a)
	a.conn.endpoint.world.observe(emulator.AttemptEnded{
		Request:  a.request.arrival.Request,
		Attempt:  a.number,
		Gateway:  a.request.arrival.Gateway,
		Endpoint: a.conn.endpoint.id,
		Status:   status,
		Executed: a.submitted && !a.rejected,
	})
}

// deleteItem deletes an item and keeps the order of the others.
func deleteItem[T comparable](items []T, item T) []T {
	if i := slices.Index(items, item); i >= 0 {
		return slices.Delete(items, i, i+1)
	}
	return items
}
