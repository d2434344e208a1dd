package loopback

import (
	"math"
	"net"
	"sync"
	"time"

	"springfield/internal/emulator/model"
	"springfield/internal/faultinjection"
)

// The methods in this file inject faults at moments that only the emulator knows, such as the rejection of an attempt.
// They may be called from any goroutine while the world runs.

// aimedFaults holds the active faults of single requests and attempts. A share of 0 means that the fault is inactive.
type aimedFaults struct {
	leaveShare  float64 // share of the requests whose clients disconnect early
	hurryShare  float64 // share of the requests that have very little time left
	rejectShare float64 // share of the attempts that endpoints reject
	failShare   float64 // share of the executed attempts that are reset or answered with an error, in turn
	failed      int     // number of attempts that failShare has selected

	variedShare float64 // share of the requests that are sent in unusual forms

	listFaultShare float64 // share of the endpoint lists and changes whose transmission is damaged
}

// Ranges from which the times of aimed faults are drawn.
const (
	minLeaveDelay = 5 * time.Millisecond // from the submission of a request to the disconnect of its client
	maxLeaveDelay = 350 * time.Millisecond
	minTimeLeft   = 5 * time.Millisecond // of a request with very little time left
	maxTimeLeft   = 120 * time.Millisecond
	failAfterTTL  = 100 * time.Millisecond // latest failure of an attempt with a key, after the key's lifetime
)

// RejectAttempts makes endpoints reject a share of the attempts for a time.
func (w *World) RejectAttempts(share float64, length time.Duration) {
	w.setForTime(&w.aimed.rejectShare, share, length)
}

// DisconnectClients makes a share of the clients disconnect early for a time: after a random delay, or when an endpoint
// rejects or resets an attempt, whichever is earlier.
func (w *World) DisconnectClients(share float64, length time.Duration) {
	w.setForTime(&w.aimed.leaveShare, share, length)
}

// HurryClients leaves a share of the requests very little time until their deadlines, for a time.
func (w *World) HurryClients(share float64, length time.Duration) {
	w.setForTime(&w.aimed.hurryShare, share, length)
}

// FailAfterExecution makes a share of the attempts fail after their execution, for a time. Attempts with an idempotency
// key fail around the end of the key's lifetime.
func (w *World) FailAfterExecution(share float64, length time.Duration) {
	w.setForTime(&w.aimed.failShare, share, length)
}

func (w *World) setForTime(target *float64, share float64, length time.Duration) {
	w.scheduler.Do(func() {
		*target = share
		w.scheduler.After(length, func() { *target = 0 })
	})
}

// AllGateways may stand in place of the index of a gateway for CloseIdleUpstream.
const AllGateways = -1

// CloseIdleUpstream closes the idle connections of a gateway, or of all gateways, to all endpoints. The next attempts
// have to open new ones.
func (w *World) CloseIdleUpstream(gateway int) {
	w.scheduler.Do(func() {
		for _, e := range w.endpoints {
			e.closeIdleConnections(gateway)
		}
	})
}

func (e *endpoint) closeIdleConnections(gateway int) {
	for _, c := range e.connections {
		if c.current == nil && c.used && (gateway == AllGateways || gateway == c.gateway) {
			c.resetLocally = true // a request that is arriving is not handled
			_ = c.conn.Close()    // the connection may be closed already
		}
	}
}

// DelayConnects delays each connect of all gateways by delay for the time length, if their program is built with
// network hooks for fault injection.
func (w *World) DelayConnects(delay, length time.Duration) {
	for index := range w.scenario.Gateways {
		w.FailSystemCalls(index, faultinjection.LateConnect(delay), length)
	}
}

// DrainRandomEndpoint drains one endpoint, stops it after stopDelay and starts it again after another restartDelay. If
// connects are delayed, dials to the endpoint are pending when the gateways are notified.
func (w *World) DrainRandomEndpoint(stopDelay, restartDelay time.Duration) {
	w.scheduler.Do(func() {
		ready := w.discovery.ReadyEndpoints()
		if len(ready) == 0 {
			return
		}
		e := w.endpoint(ready[w.attemptRandom.IntN(len(ready))].ID)
		e.drain()
		w.scheduler.After(stopDelay, e.stop)
		w.scheduler.After(stopDelay+restartDelay, e.restart)
	})
}

// RestartEndpoints stops all endpoints and starts them again after the downtime.
func (w *World) RestartEndpoints(downtime time.Duration) {
	w.scheduler.Do(func() {
		for _, e := range w.endpoints {
			if e.listener == nil {
				continue
			}
			e.stop()
			w.scheduler.After(downtime, e.restart)
		}
	})
}

// aimAtRequest applies the active aimed faults to a request that is about to be sent.
func (w *World) aimAtRequest(r *request) {
	if w.attemptRandom.Float64() < w.aimed.hurryShare {
		r.arrival.Deadline = min(r.arrival.Deadline, w.scheduler.Now()+w.drawDuration(minTimeLeft, maxTimeLeft))
		r.arrival.AbandonAt = 0
	}
	if w.attemptRandom.Float64() < w.aimed.variedShare {
		r.transmission = drawTransmission(w.attemptRandom)
	}
	if w.attemptRandom.Float64() < w.aimed.leaveShare {
		r.leavesOnFailure = true
		w.scheduler.After(w.drawDuration(minLeaveDelay, maxLeaveDelay), func() { w.leaveEarly(r) })
	}
}

// leaveMargin is the least time before its deadline at which a client disconnects.
const leaveMargin = 100 * time.Millisecond

// leaveEarly makes the client of a request disconnect, unless its deadline is near or has passed. The client is then
// entitled to an answer, which may come after the deadline.
func (w *World) leaveEarly(r *request) {
	if w.scheduler.Now()+leaveMargin < r.arrival.Deadline {
		r.departure.leave()
	}
}

// rejectsByFault reports whether an endpoint is to reject an attempt that it has received.
func (w *World) rejectsByFault() bool { return w.attemptRandom.Float64() < w.aimed.rejectShare }

// failByFault makes an attempt fail that the endpoint has executed, if the attempt is among those that are to fail. It
// reports whether it does.
func (a *attempt) failByFault(result model.JobResult) bool {
	world := a.conn.endpoint.world
	if result != model.JobServed || world.attemptRandom.Float64() >= world.aimed.failShare {
		return false
	}
	delay := world.network.Delay()
	if keyTTL := world.scenario.Classes[a.request.arrival.Class].KeyTTL.AsDuration(); keyTTL > 0 {
		end := a.request.firstAttemptAt + keyTTL
		delay = max(delay, end-world.scheduler.Now()+world.drawDuration(-keyTTL/2, failAfterTTL))
	}
	world.aimed.failed++
	if world.aimed.failed%2 == 0 {
		world.scheduler.After(delay, func() { a.sendResponse(model.JobError) })
	} else {
		world.scheduler.After(delay, func() {
			if !a.ended {
				a.conn.closeWithReset()
			}
		})
	}
	return true
}

func (w *World) drawDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(math.Round(w.attemptRandom.Float64()*float64(maximum-minimum)))
}

// departure makes the client of a request disconnect while it waits for the response. Its methods are safe for
// concurrent use.
type departure struct {
	mu   sync.Mutex
	conn net.Conn // connection on which the client waits; nil: it does not wait
	left bool     // the client has been asked to disconnect while it waited, or before
}

// leave ends the client's wait.
func (d *departure) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = true
	d.interrupt()
}

// beginWait records the connection on which the client waits.
func (d *departure) beginWait(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn = conn
	if d.left {
		d.interrupt()
	}
}

// endWait ends the client's wait. The connection may serve another request from then on.
func (d *departure) endWait() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn = nil
}

// hasLeft reports whether the client has been asked to disconnect.
func (d *departure) hasLeft() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.left
}

// interrupt makes the read of the response fail. The caller holds d.mu.
func (d *departure) interrupt() {
	if d.conn != nil {
		_ = d.conn.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection has ended
	}
}

// LeaveDuringPause suspends the process of a gateway for a time, during which the clients that wait for it disconnect.
// When the process goes on, dials that have been established meanwhile and the disconnects are new to it at once.
func (w *World) LeaveDuringPause(index int, length time.Duration) {
	w.PauseGateway(index, length)
	w.scheduler.Do(func() {
		w.scheduler.After(minLeaveDelay, func() {
			for _, r := range w.requests {
				if r.arrival.Gateway == index {
					w.leaveEarly(r) // without an effect on a request that has its outcome
				}
			}
		})
	})
}
