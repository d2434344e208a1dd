package model

import (
	"math"
	"time"

	"springfield/internal/emulator"
)

// overloadDetector detects when an endpoint that warms up receives too much work. The endpoint fails once it has
// received more than N + 2 sqrt(N) + 2 requests of mean work within WarmUp.OverloadWindow, where N is the number that
// the present capacity times WarmUp.OverloadFactor completes within the window. Requests that the endpoint rejects
// count too; handshakes do not. A slowdown of the endpoint does not lower N.
//
// The rule follows the operators' pages STANDING (overload of a cold endpoint) and WIRE (rule 4). Work is in seconds
// of one core at speed 1.
type overloadDetector struct {
	factor       float64
	window       time.Duration
	capacity     float64 // seconds of work a second when warm
	meanWork     float64 // seconds a request
	arrivals     []warmUpArrival
	work         float64 // of the arrivals within the window
	informedWork float64 // part of work that came from informed gateways
}

type warmUpArrival struct {
	at       time.Duration
	work     float64
	informed bool
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
func (l *overloadDetector) record(arrival warmUpArrival, capacityShare float64) (overloaded bool) {
	if l.factor <= 0 || l.window <= 0 || l.meanWork <= 0 {
		return false
	}
	l.expire(arrival.at - l.window)
	l.arrivals = append(l.arrivals, arrival)
	l.work += arrival.work
	if arrival.informed {
		l.informedWork += arrival.work
	}
	allowed := l.factor * l.capacity * capacityShare * l.window.Seconds() / l.meanWork
	return l.work/l.meanWork > allowed+2*math.Sqrt(allowed)+2
}

// expire removes the arrivals up to the given time.
func (l *overloadDetector) expire(until time.Duration) {
	expired := 0
	for expired < len(l.arrivals) && l.arrivals[expired].at <= until {
		l.work -= l.arrivals[expired].work
		if l.arrivals[expired].informed {
			l.informedWork -= l.arrivals[expired].work
		}
		expired++
	}
	l.arrivals = l.arrivals[expired:]
	if len(l.arrivals) == 0 {
		l.reset()
	}
}

// informedShare returns the share of the work within the window that came from gateways that counted as notified of
// the endpoint's start.
func (l *overloadDetector) informedShare() float64 {
	if l.work <= 0 {
		return 0
	}
	return min(1, max(0, l.informedWork/l.work))
}

// reset removes all arrivals.
func (l *overloadDetector) reset() {
	l.arrivals = nil
	l.work, l.informedWork = 0, 0
}
