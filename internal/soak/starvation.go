package soak

import (
	"time"

	"springfield/internal/emulator"
)

// A gateway that rejects all that it gets for starvationTime, at least starvationRequests, with no attempt in between,
// starves. The operators count the same, with four seconds; a list may take nearly as long here.
const (
	starvationTime     = 5 * time.Second
	starvationRequests = 15
)

// starvation is an observer that looks for gateways that starve.
type starvation struct {
	gateways map[int]*hungry
	starved  int // times that a gateway has starved
}

// hungry is a gateway's present series of rejections.
type hungry struct {
	since    time.Duration
	rejected int
	counted  bool
}

var _ emulator.Observer = (*starvation)(nil)

func newStarvation() *starvation { return &starvation{gateways: map[int]*hungry{}} }

// Observe implements emulator.Observer.
func (s *starvation) Observe(at time.Duration, observation emulator.Observation) {
	switch o := observation.(type) {
	case emulator.AttemptForwarded:
		delete(s.gateways, o.Gateway)
	case emulator.GatewayStopped:
		delete(s.gateways, o.Gateway)
	case emulator.RequestAnswered:
		if o.Answer == emulator.AnswerRejected {
			s.reject(at, o.Gateway)
		}
	}
}

func (s *starvation) reject(at time.Duration, gateway int) {
	series := s.gateways[gateway]
	if series == nil {
		series = &hungry{since: at}
		s.gateways[gateway] = series
	}
	series.rejected++
	if !series.counted && series.rejected >= starvationRequests && at-series.since >= starvationTime {
		series.counted = true
		s.starved++
	}
}
