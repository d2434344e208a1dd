package model

import (
	"math"
	"time"

	"springfield/internal/emulator"
)

// warmUpLoad watches what an endpoint gets while it warms up. It fails once it has got more than N + 2 sqrt(N) + 2
// requests of mean work within WarmUp.OverloadWindow, where N is what the settings allow then: OverloadFactor times
// the present capacity over the window. Requests that the endpoint rejects count too; handshakes do not. A slowdown of
// the endpoint does not lower N.
//
// Source: STANDING (overload of a cold endpoint) and WIRE, rule 4. Work is in seconds of one core at speed 1.
type warmUpLoad struct {
	factor       float64
	window       time.Duration
	capacity     float64 // seconds of work a second, once warm
	meanWork     float64 // seconds
	arrivals     []warmUpArrival
	work         float64 // of the arrivals
	informedWork float64
}

type warmUpArrival struct {
	at       time.Duration
	work     float64
	informed bool
}

func newWarmUpLoad(warmUp emulator.WarmUp, capacity float64, meanWork time.Duration) warmUpLoad {
	return warmUpLoad{
		factor:   warmUp.OverloadFactor,
		window:   warmUp.OverloadWindow.AsDuration(),
		capacity: capacity,
		meanWork: meanWork.Seconds(),
	}
}

// add counts an arrival at the given warmth and reports whether it is one too many.
func (l *warmUpLoad) add(arrival warmUpArrival, warmth float64) (overloaded bool) {
	if l.factor <= 0 || l.window <= 0 || l.meanWork <= 0 {
		return false
	}
	l.expire(arrival.at - l.window)
	l.arrivals = append(l.arrivals, arrival)
	l.work += arrival.work
	if arrival.informed {
		l.informedWork += arrival.work
	}
	allowed := l.factor * l.capacity * warmth * l.window.Seconds() / l.meanWork
	return l.work/l.meanWork > allowed+2*math.Sqrt(allowed)+2
}

// expire forgets the arrivals up to the given time.
func (l *warmUpLoad) expire(until time.Duration) {
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

// informedShare returns the part of the work within the window that came from gateways that were notified of the start.
func (l *warmUpLoad) informedShare() float64 {
	if l.work <= 0 {
		return 0
	}
	return min(1, max(0, l.informedWork/l.work))
}

// reset forgets all arrivals.
func (l *warmUpLoad) reset() {
	l.arrivals = nil
	l.work, l.informedWork = 0, 0
}
