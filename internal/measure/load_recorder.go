package measure

import (
	"time"

	"springfield/internal/emulator"
)

// LoadRecorder is a Recorder that begins with the load, for runs whose gateways have to become ready first. What is
// observed until then counts as observed at the begin of the load.
type LoadRecorder struct {
	scenario   *emulator.Scenario
	recorder   *Recorder // nil until the load has begun
	beforeLoad []emulator.Observation
}

// NewLoadRecorder returns a recorder that has heard of nothing.
func NewLoadRecorder(scenario *emulator.Scenario) *LoadRecorder {
	return &LoadRecorder{scenario: scenario}
}

// Observe implements emulator.Observer.
func (l *LoadRecorder) Observe(at time.Duration, observation emulator.Observation) {
	if l.recorder == nil {
		if !beginsLoad(observation) {
			l.beforeLoad = append(l.beforeLoad, observation)
			return
		}
		l.begin(at)
	}
	l.recorder.Observe(at, observation)
}

// beginsLoad tells whether an observation is made only once the load has begun.
func beginsLoad(observation emulator.Observation) bool {
	switch observation.(type) {
	case emulator.RequestSubmitted, emulator.FaultChanged:
		return true
	default:
		return false
	}
}

func (l *LoadRecorder) begin(at time.Duration) {
	l.recorder = NewRecorder(l.scenario, at)
	for _, observation := range l.beforeLoad {
		l.recorder.Observe(at, observation)
	}
	l.beforeLoad = nil
}

// Begun tells whether the load has begun.
func (l *LoadRecorder) Begun() bool { return l.recorder != nil }

// Result returns the figures of the run. A run without any load has begun when it ended. Call it once.
func (l *LoadRecorder) Result(end time.Duration) Result {
	if l.recorder == nil {
		l.begin(end)
	}
	return l.recorder.Result(end)
}
