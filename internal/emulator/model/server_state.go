package model

import (
	"time"

	"springfield/policy"
)

// SetSlowdown makes the cores slower by a factor, from now on; 1 ends that. A factor of 0 or less counts as 1.
func (s *Server) SetSlowdown(factor float64) {
	if factor <= 0 {
		factor = 1
	}
	s.processor.advance(s.scheduler.Now())
	s.processor.slowdown = factor
	s.scheduleWakeUp()
}

// SetErrorShare makes a share of the requests fail with errors, after their work.
func (s *Server) SetErrorShare(share float64) { s.errorShare = share }

// SetSilent makes the endpoint send nothing: it takes requests and works on them, but what would be answered until it
// is set back is never answered.
func (s *Server) SetSilent(silent bool) { s.silent = silent }

// Drain has the endpoint reject new requests. Those that it holds are completed.
func (s *Server) Drain() { s.draining = true }

// Stop ends the process. What it held is lost, with its connections.
func (s *Server) Stop() {
	s.processor.advance(s.scheduler.Now())
	s.processor.clear()
	s.waiting = requestQueue{}
	s.waitingWork = 0
	s.inService = 0
	s.connections.clear()
	s.warmUp.reset()
	s.traffic = trafficMeter{}
	s.up = false
	s.process++
	s.wakeUpAt = 0
	s.wakeUpCurrent++
}

// Start starts the process anew, cold, in place of the one that ran. Its start is the given Unix time. A slowdown,
// errors and silence are faults of the machine and go on.
func (s *Server) Start(now time.Duration) {
	s.Stop()
	s.processor.start.startedAt = now
	s.up = true
	s.draining = false
}

// ID returns the endpoint's id.
func (s *Server) ID() policy.EndpointID { return s.spec.ID }

// Up reports whether the process runs.
func (s *Server) Up() bool { return s.up }

// State returns the state that the endpoint list should show.
func (s *Server) State() policy.EndpointState {
	switch {
	case !s.up:
		return policy.StateRemoved
	case s.draining:
		return policy.StateDraining
	default:
		return policy.StateReady
	}
}

// StartedAt returns the Unix time at which the process last started; 0: long ago.
func (s *Server) StartedAt() time.Duration { return s.processor.start.startedAt }

// Endpoint returns the entry that the endpoint list should show. All weights are 1: the list does not know the speed.
func (s *Server) Endpoint() policy.Endpoint {
	return policy.Endpoint{
		ID:        s.spec.ID,
		Weight:    1,
		State:     s.State(),
		Zone:      s.spec.Zone,
		Cell:      s.spec.Cell,
		StartedAt: s.StartedAt(),
	}
}

// Warmth returns the share of its capacity that the endpoint has, from 0 to 1.
func (s *Server) Warmth() float64 { return s.processor.start.warmth(s.scheduler.Now()) }

// Backlog returns the expected time until a core is free for a new request: with k cores and n requests held, n - k + 1
// of these have to be finished first, each of which takes the mean of the work that is left of them on k cores. It is
// exact for exponentially distributed work. It is unavailableBacklog if the endpoint is down, draining or silent.
func (s *Server) Backlog() time.Duration {
	if !s.up || s.draining || s.silent {
		return unavailableBacklog
	}
	s.processor.advance(s.scheduler.Now())
	cores := s.spec.Endpoints.Cores
	held := len(s.processor.tasks) + s.waiting.len()
	if held < cores {
		return 0
	}
	meanWork := (s.processor.remaining() + s.waitingWork) / float64(held)
	work := meanWork * float64(held-cores+1) / float64(cores)
	return s.processor.timeFor(work * s.processor.slowdown / s.processor.speed)
}

// Load returns the load report that an answer carries now, which is neither late nor noisy. It is absent unless
// Endpoints.LoadReports is set.
func (s *Server) Load() policy.LoadReport {
	if !s.spec.Endpoints.LoadReports {
		return policy.LoadReport{}
	}
	now := s.scheduler.Now()
	s.processor.advance(now)
	rate, errorRate, latency := s.traffic.read(now)
	return policy.LoadReport{
		Present:     true,
		InFlight:    float64(s.inService),
		Queued:      float64(s.waiting.len()),
		Utilization: min(1, float64(len(s.processor.tasks))/float64(s.spec.Endpoints.Cores)),
		Latency:     latency,
		Rate:        rate,
		Errors:      errorRate,
	}
}

// requestQueue is a queue of the requests that wait.
type requestQueue struct {
	requests []*request
	first    int
}

func (q *requestQueue) len() int { return len(q.requests) - q.first }

func (q *requestQueue) push(added *request) {
	if q.first > 0 && q.first >= len(q.requests)/2 && len(q.requests) == cap(q.requests) {
		remaining := copy(q.requests, q.requests[q.first:])
		clear(q.requests[remaining:])
		q.requests, q.first = q.requests[:remaining], 0
	}
	q.requests = append(q.requests, added)
}

func (q *requestQueue) pop() *request {
	next := q.requests[q.first]
	q.requests[q.first] = nil // frees the request
	q.first++
	return next
}
