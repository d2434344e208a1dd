package main

import (
	"sync"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/invariant"
	"springfield/internal/measure"
)

// measurement records the results of a run over sockets and checks its rules. It ignores observations after finish, so
// that requests that end with the shutdown of the deployment do not count.
type measurement struct {
	checker *invariant.Checker

	mu       sync.Mutex // guards the fields below and calls of checker: observations may arrive during finish
	recorder *measure.LoadRecorder
	finished bool
}

func newMeasurement(scenario *emulator.Scenario) *measurement {
	return &measurement{
		recorder: measure.NewLoadRecorder(scenario),
		checker: invariant.NewChecker(scenario, invariant.WithSlack(invariant.SocketSlack),
			invariant.WithTransit(invariant.SocketTransit)),
	}
}

// Observe implements emulator.Observer.
func (m *measurement) Observe(at time.Duration, observation emulator.Observation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.finished {
		return
	}
	m.checker.Observe(at, observation)
	m.recorder.Observe(at, observation)
}

// finish ends the measurement and returns the result and the report on the rules. It returns false if the load has not
// begun.
func (m *measurement) finish() (measure.Result, invariant.Report, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.finished = true
	if !m.recorder.Begun() {
		return measure.Result{}, invariant.Report{}, false
	}
	end := time.Duration(time.Now().UnixNano())
	return m.recorder.Result(end), m.checker.Finish(end), true
}
