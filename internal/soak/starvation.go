package soak

import (
	"time"

	"springfield/internal/emulator"
)

// Limits of starvation. A gateway starves if it rejects all of its requests for at least starvationTime, at least
// starvationRequests of them, and forwards no attempt in between. In a deployment, a gateway may not reject all of its
// requests for 4 s. starvationTime is longer because an endpoint list may take nearly 4 s in a soak (slowListDuration).
const (
	starvationTime     = 5 * time.Second
	starvationRequests = 15
)

// starvationDetector is an observer that detects gateways that starve.
type starvationDetector struct {
	gateways map[int]*rejectionSeries
	starved  map[int]bool // gateways that have starved
}

// rejectionSeries is the current series of rejections of a gateway.
type rejectionSeries struct {
	since    time.Duration // time of the first rejection
	rejected int           // number of rejections
}

var _ emulator.Observer = (*starvationDetector)(nil)

func newStarvationDetector() *starvationDetector {
	return &starvationDetector{gateways: map[int]*rejectionSeries{}, starved: map[int]bool{}}
}

// Observe implements emulator.Observer.
func (s *starvationDetector) Observe(at time.Duration, observation emulator.Observation) {
	switch o := observation.(type) {
	case emulator.AttemptForwarded:
		delete(s.gateways, o.Gateway)
	case emulator.GatewayStopped:
		delete(s.gateways, o.Gateway)
	case emulator.RequestAnswered:
		if o.Answer == emulator.AnswerRejected {
			s.recordRejection(at, o.Gateway)
		}
	}
}

func (s *starvationDetector) recordRejection(at time.Duration, gateway int) {
	series := s.gateways[gateway]
	if series == nil {
		series = &rejectionSeries{since: at}
		s.gateways[gateway] = series
	}
	series.rejected++
	if series.rejected >= starvationRequests && at-series.since >= starvationTime {
		s.starved[gateway] = true
	}
}

// tolerableDivisor sets the part of the gateways, one in tolerableDivisor, that may starve, because customers of a few
// gateways may use more than their quotas.
//
// Source: STANDING, "The whole fleet".
const tolerableDivisor = 10

// excess returns the number of gateways that have starved, or 0 if so many of a fleet may starve.
func (s *starvationDetector) excess(gateways int) int {
	if len(s.starved) <= gateways/tolerableDivisor {
		return 0
	}
	return len(s.starved)
}
