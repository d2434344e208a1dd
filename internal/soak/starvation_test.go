package soak

import (
	"testing"
	"time"

	"springfield/internal/emulator"
)

// Guards against missed and false reports of starvation: a gateway starves if it rejects enough requests for long
// enough and forwards no attempt in between.
func TestStarvationRequiresLongSeriesOfRejections(t *testing.T) {
	for _, test := range []struct {
		name     string
		requests int
		interval time.Duration
		attempt  bool
		want     int
	}{
		{"long", starvationRequests + 2, starvationTime / starvationRequests, false, 1},
		{"twice as long, counted once", 2 * starvationRequests, starvationTime / starvationRequests, false, 1},
		{"short", 10 * starvationRequests, time.Millisecond, false, 0},
		{"few requests", starvationRequests - 1, starvationTime, false, 0},
		{"an attempt in between", starvationRequests + 1, starvationTime / starvationRequests, true, 0},
	} {
		detector := newStarvationDetector()
		for i := range test.requests {
			at := time.Hour + time.Duration(i)*test.interval
			detector.Observe(at, emulator.RequestAnswered{Gateway: 1, Answer: emulator.AnswerRejected})
			if test.attempt && i == test.requests/2 {
				detector.Observe(at, emulator.AttemptForwarded{Gateway: 1})
			}
		}
		if len(detector.starved) != test.want {
			t.Errorf("%s: %d gateways starved, want %d", test.name, len(detector.starved), test.want)
		}
	}
}

// One gateway in ten may starve; more are a finding.
func TestOneGatewayInTenMayStarve(t *testing.T) {
	detector := newStarvationDetector()
	for gateway, want := range []int{0, 0, 3} {
		detector.starved[gateway] = true
		if got := detector.excess(29); got != want {
			t.Errorf("%d of 29 gateways starved: excess %d, want %d", gateway+1, got, want)
		}
	}
}
