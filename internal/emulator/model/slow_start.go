package model

import (
	"math"
	"time"

	"springfield/internal/emulator"
)

// slowStart models the capacity of an endpoint that warms up, as a share of its full capacity. The share grows
// linearly from WarmUp.InitialCapacity to 1 within WarmUp.Duration after the start of the process, whatever the load
// is. Linear growth is the slowest growth that the specification allows.
//
// Sources: PROTOCOL and WIRE, "cold" endpoints and the settings Safety.ColdFrom and Safety.WarmWithinMs.
type slowStart struct {
	initial   float64       // capacity share at startedAt
	duration  time.Duration // length of the warm-up
	startedAt time.Duration // Unix time; 0: long ago
}

func newSlowStart(warmUp emulator.WarmUp, startedAt time.Duration) slowStart {
	return slowStart{initial: warmUp.InitialCapacity, duration: warmUp.Duration.AsDuration(), startedAt: startedAt}
}

// isWarm reports whether the endpoint has its full capacity.
func (s slowStart) isWarm(now time.Duration) bool {
	return s.startedAt == 0 || s.duration <= 0 || now >= s.startedAt+s.duration
}

// capacityShare returns the available share of the full capacity, from 0 to 1.
func (s slowStart) capacityShare(now time.Duration) float64 {
	if s.isWarm(now) {
		return 1
	}
	return s.linearShare(now)
}

// linearShare returns the capacity share during the warm-up. It is valid up to and including the end of the warm-up.
func (s slowStart) linearShare(now time.Duration) float64 {
	elapsed := max(0, now-s.startedAt)
	return s.initial + (1-s.initial)*float64(elapsed)/float64(s.duration)
}

// workBetween returns the integral of the capacity share from one time to a later one, in seconds. It is the time in
// which a warm endpoint does the same work.
func (s slowStart) workBetween(from, to time.Duration) float64 {
	if s.isWarm(from) {
		return (to - from).Seconds()
	}
	warmAt := s.startedAt + s.duration
	growsUntil := min(to, warmAt)
	warmUpWork := (growsUntil - from).Seconds() * (s.linearShare(from) + s.linearShare(growsUntil)) / 2
	return warmUpWork + max(0, to-warmAt).Seconds()
}

// timeForWork returns the seconds after the given time at which workBetween reaches the given work, in seconds.
func (s slowStart) timeForWork(from time.Duration, work float64) float64 {
	if work <= 0 || s.isWarm(from) {
		return max(0, work)
	}
	warmAt := s.startedAt + s.duration
	warmUpWork := s.workBetween(from, warmAt)
	if work >= warmUpWork {
		return (warmAt - from).Seconds() + work - warmUpWork
	}
	share := s.capacityShare(from)
	slope := (1 - s.initial) / s.duration.Seconds()
	// This is the positive root of share*t + slope*t*t/2 = work, in the form that stays precise for a small slope.
	return 2 * work / (share + math.Sqrt(share*share+2*slope*work))
}
