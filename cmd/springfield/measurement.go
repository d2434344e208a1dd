package main

import (
	"sync"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/invariant"
	"springfield/internal/measure"
)

// measurement measures a run over sockets and checks its rules. It takes observations until it is finished, so that
// what ends with the deployment does not count.
type measurement struct {
	scenario *emulator.Scenario
	checker  *invariant.Checker

	mu       sync.Mutex // guards what follows: a run may be finished while it goes on
	recorder *measure.Recorder
	finished bool
}

func newMeasurement(scenario *emulator.Scenario) *measurement {
	return &measurement{
		scenario: scenario,
		checker:  invariant.NewChecker(scenario, invariant.WithSlack(invariant.SocketSlack)),
	}
}

// Observe implements emulator.Observer. The figures begin with the load, once the gateways have become ready.
func (m *measurement) Observe(at time.Duration, observation emulator.Observation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.finished {
		return
	}
	m.checker.Observe(at, observation)
	if m.recorder == nil {
		if _, begins := observation.(emulator.RequestSubmitted); !begins {
			return
		}
		m.recorder = measure.NewRecorder(m.scenario, at)
	}
	m.recorder.Observe(at, observation)
}

// finish returns what was measured. It returns false if the load has not begun.
func (m *measurement) finish() (measure.Result, invariant.Report, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.finished = true
	if m.recorder == nil {
		return measure.Result{}, invariant.Report{}, false
	}
	end := time.Duration(time.Now().UnixNano())
	return m.recorder.Result(end), m.checker.Finish(end), true
}
