package virtualsoak

import (
	"fmt"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/virtual"
	"springfield/policy"
)

// maxEventsPerInstant is the number of events at one point in time from which a decider counts as looping.
const maxEventsPerInstant = 100_000

// loopError is the value of the panic that ends the run of a decider that loops.
type loopError struct{ gateway int }

// Error implements error.
func (e *loopError) Error() string {
	return fmt.Sprintf("gateway %d handled %d events without an advance of time", e.gateway, maxEventsPerInstant)
}

// monitor checks the decisions of one gateway process. The world passes events to the monitor, which passes them to the
// decider that it checks. The actions of the decider pass through the monitor to the world.
type monitor struct {
	decider     emulator.Decider
	actions     policy.Actions
	config      policy.Config
	groundTruth emulator.GroundTruth
	findings    *findingList

	now             time.Duration
	eventsAtInstant int
	draining        bool
	watching        bool // the decider has requested endpoint updates
	requests        map[policy.RequestID]*openRequest
	endpoints       *endpointTable
	retryBudget     retryBudget
	starvation      starvationDetector
}

var (
	_ emulator.Decider = (*monitor)(nil)
	_ policy.Actions   = (*monitor)(nil)
)

// openRequest is a request without a final answer whose client is connected.
type openRequest struct {
	policy.Request
	deadline time.Duration
	attempts int
	inFlight bool              // the latest attempt has not ended
	endpoint policy.EndpointID // endpoint of the latest attempt
}

// monitored returns a constructor of the deciders of newDecider with monitors that add to findings.
func monitored(newDecider emulator.NewDecider, findings *findingList) emulator.NewDecider {
	return func(config policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
		m := &monitor{
			actions:     actions,
			config:      config,
			groundTruth: groundTruth,
			findings:    findings,
			requests:    map[policy.RequestID]*openRequest{},
			endpoints:   &endpointTable{warmUpDuration: config.WarmUpDuration},
			retryBudget: newRetryBudget(),
			starvation:  newStarvationDetector(),
		}
		m.decider = newDecider(config, m, groundTruth)
		return m
	}
}

// report records a broken rule.
func (m *monitor) report(rule decisionRule, format string, arguments ...any) {
	detail := fmt.Sprintf("gateway %d: %s", m.config.GatewayIndex, fmt.Sprintf(format, arguments...))
	m.findings.addAt("decision "+string(rule), m.now-virtual.StartTime, "%s", detail)
}

// beginEvent records the time of an event. It panics with a loopError if time does not advance.
func (m *monitor) beginEvent(now time.Duration) {
	if now > m.now {
		m.now, m.eventsAtInstant = now, 0
	}
	m.eventsAtInstant++
	if m.eventsAtInstant >= maxEventsPerInstant {
		panic(&loopError{gateway: m.config.GatewayIndex})
	}
}

// Start implements emulator.Decider.
func (m *monitor) Start(now time.Duration) {
	m.beginEvent(now)
	m.decider.Start(now)
	if m.config.PolledEndpoints && !m.watching {
		m.report(ruleWatch, "it started without requesting the updates of a polled endpoint list")
	}
}

// UpdateEndpoints implements emulator.Decider.
func (m *monitor) UpdateEndpoints(now time.Duration, kind policy.UpdateKind, list []policy.Endpoint) {
	m.beginEvent(now)
	m.endpoints.update(kind, list)
	m.decider.UpdateEndpoints(now, kind, list)
}

// Submit implements emulator.Decider.
func (m *monitor) Submit(now time.Duration, request policy.Request) {
	m.beginEvent(now)
	m.requests[request.ID] = &openRequest{Request: request, deadline: now + max(0, request.TimeLeft)}
	m.retryBudget.earn()
	m.decider.Submit(now, request)
	if limit := m.config.MaxOpenRequests; limit > 0 && len(m.requests) > limit {
		m.report(ruleOpenRequests, "%d requests are open, more than %d", len(m.requests), limit)
	}
}

// AttemptFinished implements emulator.Decider.
func (m *monitor) AttemptFinished(now time.Duration, result policy.AttemptResult) {
	m.beginEvent(now)
	m.endpoints.recordResult(now, &result)
	if r := m.requests[result.Request]; r != nil {
		if result.Attempt == r.attempts-1 {
			r.inFlight = false
		}
		if result.RequestDone {
			delete(m.requests, result.Request)
		}
	}
	m.decider.AttemptFinished(now, result)
}

// ClientDisconnected implements emulator.Decider.
func (m *monitor) ClientDisconnected(now time.Duration, id policy.RequestID) {
	m.beginEvent(now)
	m.decider.ClientDisconnected(now, id)
	delete(m.requests, id)
}

// BeginShutdown implements emulator.Decider.
func (m *monitor) BeginShutdown(now, answerBy time.Duration) {
	m.beginEvent(now)
	m.draining = true
	for _, r := range m.requests {
		r.deadline = min(r.deadline, max(now, answerBy))
	}
	m.decider.BeginShutdown(now, answerBy)
}

// TimerFired implements emulator.Decider.
func (m *monitor) TimerFired(now time.Duration, timer policy.Timer) {
	m.beginEvent(now)
	m.decider.TimerFired(now, timer)
}
