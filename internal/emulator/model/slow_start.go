package model

import (
	"math"
	"time"

	"springfield/internal/emulator"
)

// slowStart is the capacity of an endpoint that warms up, as a share of its full one. It grows evenly from
// WarmUp.InitialCapacity to 1 within WarmUp.Duration from the start of the process, whatever the endpoint works on.
//
// Source: PROTOCOL and WIRE ("cold" endpoints, settings Safety.ColdFrom and Safety.WarmWithinMs). An even growth is the
// slowest one that these pages allow.
type slowStart struct {
	initial   float64
	duration  time.Duration
	startedAt time.Duration // Unix time; 0: long ago
}

func newSlowStart(warmUp emulator.WarmUp, startedAt time.Duration) slowStart {
	return slowStart{initial: warmUp.InitialCapacity, duration: warmUp.Duration.AsDuration(), startedAt: startedAt}
}

// isWarm reports whether all of the capacity is there.
func (s slowStart) isWarm(now time.Duration) bool {
	return s.startedAt == 0 || s.duration <= 0 || now >= s.startedAt+s.duration
}

// warmth returns the share of the capacity that is there, from 0 to 1.
func (s slowStart) warmth(now time.Duration) float64 {
	if s.isWarm(now) {
		return 1
	}
	return s.growth(now)
}

// growth is the warmth on the growing part of the curve, its end included.
func (s slowStart) growth(now time.Duration) float64 {
	elapsed := max(0, now-s.startedAt)
	return s.initial + (1-s.initial)*float64(elapsed)/float64(s.duration)
}

// workBetween returns the integral of the warmth over the time from one moment to a later one, in seconds.
func (s slowStart) workBetween(from, to time.Duration) float64 {
	if s.isWarm(from) {
		return (to - from).Seconds()
	}
	warmAt := s.startedAt + s.duration
	growsUntil := min(to, warmAt)
	whileGrowing := (growsUntil - from).Seconds() * (s.growth(from) + s.growth(growsUntil)) / 2
	return whileGrowing + max(0, to-warmAt).Seconds()
}

// timeFor returns the seconds from a moment on after which workBetween has reached the given work, in seconds.
func (s slowStart) timeFor(from time.Duration, work float64) float64 {
	if work <= 0 || s.isWarm(from) {
		return max(0, work)
	}
	warmAt := s.startedAt + s.duration
	whileGrowing := s.workBetween(from, warmAt)
	if work >= whileGrowing {
		return (warmAt - from).Seconds() + work - whileGrowing
	}
	level := s.warmth(from)
	slope := (1 - s.initial) / s.duration.Seconds()
	// The smaller root of level*t + slope*t*t/2 = work, in the form that keeps its digits for a small slope.
	return 2 * work / (level + math.Sqrt(level*level+2*slope*work))
}
