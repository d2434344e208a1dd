package measure

import (
	"time"

	"springfield/internal/emulator"
)

// LoadRecorder is a Recorder whose run starts with the load. It is for runs in which gateways take time to become
// ready: observations before the load are recorded as if made at the start of the load.
type LoadRecorder struct {
	scenario   *emulator.Scenario
	recorder   *Recorder              // nil until the load has begun
	beforeLoad []emulator.Observation // observations made before the load
}

// NewLoadRecorder returns a recorder for a run of the scenario.
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

// beginsLoad reports whether an observation can be made only after the load has begun.
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

// Begun reports whether the load has begun.
func (l *LoadRecorder) Begun() bool { return l.recorder != nil }

// Result returns the results of the run. If no load was observed, the load counts as begun at the end of the run.
// Result must be called only once.
func (l *LoadRecorder) Result(end time.Duration) Result {
	if l.recorder == nil {
		l.begin(end)
	}
	return l.recorder.Result(end)
}
