package soak

import (
	"time"

	"springfield/internal/emulator"
)

// A gateway starves if it rejects all requests for at least starvationTime, at least starvationRequests of them, and
// forwards no attempt in between. The limit in operation is 4 s; it is longer here because an endpoint list may take
// nearly 4 s (slowListDuration).
const (
	starvationTime     = 5 * time.Second
	starvationRequests = 15
)

// starvationDetector is an observer that detects gateways that starve.
type starvationDetector struct {
	gateways map[int]*rejectionSeries
	starved  int // number of times that a gateway has starved
}

// rejectionSeries is the current series of rejections of a gateway.
type rejectionSeries struct {
	since    time.Duration
	rejected int
	counted  bool
}

var _ emulator.Observer = (*starvationDetector)(nil)

func newStarvationDetector() *starvationDetector {
	return &starvationDetector{gateways: map[int]*rejectionSeries{}}
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
	if !series.counted && series.rejected >= starvationRequests && at-series.since >= starvationTime {
		series.counted = true
		s.starved++
	}
}
