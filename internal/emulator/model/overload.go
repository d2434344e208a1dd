package model

import (
	"math"
	"time"

	"springfield/internal/emulator"
)

// overloadDetector detects when an endpoint that warms up receives too much work. The endpoint fails once it has
// received more than N + 2 sqrt(N) + 2 requests of mean work within WarmUp.OverloadWindow, where N is the number that
// the present capacity times WarmUp.OverloadFactor completes within the window. Requests that the endpoint rejects
// count too; handshakes do not. A slowdown of the endpoint does not lower N. Work is in seconds of one core at speed 1.
//
// Sources: STANDING, overload of a cold endpoint; WIRE, rule 4.
type overloadDetector struct {
	factor       float64         // WarmUp.OverloadFactor
	window       time.Duration   // WarmUp.OverloadWindow
	capacity     float64         // seconds of work that the endpoint does in a second when warm
	meanWork     float64         // mean work of a request, seconds of one core at speed 1
	arrivals     []warmUpArrival // requests within the window, in order of arrival
	work         float64         // work of the arrivals within the window
	informedWork float64         // part of work that came from informed gateways
}

// warmUpArrival is a request that an endpoint receives during its warm-up.
type warmUpArrival struct {
	at       time.Duration
	work     float64 // seconds of one core at speed 1
	informed bool    // whether the sending gateway counts as notified of the endpoint's start
}

func newOverloadDetector(warmUp emulator.WarmUp, capacity float64, meanWork time.Duration) overloadDetector {
	return overloadDetector{
		factor:   warmUp.OverloadFactor,
		window:   warmUp.OverloadWindow.AsDuration(),
		capacity: capacity,
		meanWork: meanWork.Seconds(),
	}
}

// record adds an arrival while the endpoint has the given share of its capacity, and reports whether the endpoint is
// overloaded.
func (d *overloadDetector) record(arrival warmUpArrival, capacityShare float64) (overloaded bool) {
	if d.factor <= 0 || d.window <= 0 || d.meanWork <= 0 {
		return false
	}
	d.expire(arrival.at - d.window)
	d.arrivals = append(d.arrivals, arrival)
	d.work += arrival.work
	if arrival.informed {
		d.informedWork += arrival.work
	}
	allowed := d.factor * d.capacity * capacityShare * d.window.Seconds() / d.meanWork
	return d.work/d.meanWork > allowed+2*math.Sqrt(allowed)+2
}

// expire removes the arrivals up to the given time.
func (d *overloadDetector) expire(until time.Duration) {
	expired := 0
	for expired < len(d.arrivals) && d.arrivals[expired].at <= until {
		d.work -= d.arrivals[expired].work
		if d.arrivals[expired].informed {
			d.informedWork -= d.arrivals[expired].work
		}
		expired++
	}
	d.arrivals = d.arrivals[expired:]
	if len(d.arrivals) == 0 {
		d.reset()
	}
}

// informedShare returns the share of the work within the window that came from gateways that counted as notified of
// the endpoint's start.
func (d *overloadDetector) informedShare() float64 {
	if d.work <= 0 {
		return 0
	}
	return min(1, max(0, d.informedWork/d.work))
}

// reset removes all arrivals.
func (d *overloadDetector) reset() {
	d.arrivals = nil
	d.work, d.informedWork = 0, 0
}
