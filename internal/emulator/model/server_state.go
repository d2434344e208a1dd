package model

import (
	"time"

	"springfield/policy"
)

// SetSlowdown divides the speed of the cores by a factor from now on. A factor of 1 restores the usual speed, and a
// factor of 0 or less counts as 1.
func (s *Server) SetSlowdown(factor float64) {
	if factor <= 0 {
		factor = 1
	}
	s.processor.advance(s.scheduler.Now())
	s.processor.slowdown = factor
	s.scheduleWakeUp()
}

// SetErrorShare makes a share of the requests fail with errors after their execution. A share of 0 restores the usual
// operation.
func (s *Server) SetErrorShare(share float64) { s.errorShare = share }

// SetSilent makes the endpoint accept and execute requests without sending any response. Requests that complete while
// it is silent are never answered.
func (s *Server) SetSilent(silent bool) { s.silent = silent }

// Drain makes the endpoint reject new requests. It completes the requests that it holds.
func (s *Server) Drain() { s.draining = true }

// Stop ends the process. Its requests and connections are lost.
func (s *Server) Stop() {
	s.processor.advance(s.scheduler.Now())
	s.processor.clear()
	s.waiting = requestQueue{}
	s.waitingWork = 0
	s.inService = 0
	s.connections.clear()
	s.overload.reset()
	s.traffic = trafficMeter{}
	s.up = false
	s.processNumber++
	s.wakeUpAt = 0
	s.wakeUpNumber++
}

// Start replaces the process by a new, cold one that starts at the given Unix time. A slowdown, an error share and
// silence are faults of the machine and outlast a restart.
func (s *Server) Start(now time.Duration) {
	s.Stop()
	s.processor.warmUp.startedAt = now
	s.up = true
	s.draining = false
}

// ID returns the endpoint's id.
func (s *Server) ID() policy.EndpointID { return s.spec.ID }

// Up reports whether the process is running.
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
func (s *Server) StartedAt() time.Duration { return s.processor.warmUp.startedAt }

// Endpoint returns the entry that the endpoint list should show. Its weight is always 1, since discovery does not know
// the speeds of the endpoints.
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

// CapacityShare returns the share of its full capacity that the endpoint has now, from 0 to 1. It is below 1 during
// the warm-up.
func (s *Server) CapacityShare() float64 {
	return s.processor.warmUp.capacityShare(s.scheduler.Now())
}

// Backlog returns the expected time until a core is free for a new request, or unavailableBacklog if the endpoint is
// down, draining or silent. With k cores and n requests held, n - k + 1 of these have to be completed first. Each of
// them is taken to occupy the k cores together for the mean remaining work of a request divided by k, which is exact
// for exponentially distributed work.
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
	meanWork := (s.processor.remainingWork() + s.waitingWork) / float64(held)
	work := meanWork * float64(held-cores+1) / float64(cores)
	return s.processor.timeForWork(work * s.processor.slowdown / s.processor.speed)
}

// Load returns the load report that a response would carry now. The report is exact and up to date; it is absent
// unless Endpoints.LoadReports is set.
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

// requestQueue is a first-in, first-out queue of waiting requests.
type requestQueue struct {
	requests []*request // requests[head:] are waiting
	head     int        // index of the request that has waited longest
}

func (q *requestQueue) len() int { return len(q.requests) - q.head }

// push adds a request at the end. If the slice is full and at least half of it is free at the front, push moves the
// waiting requests to the front instead of growing the slice.
func (q *requestQueue) push(added *request) {
	if q.head > 0 && q.head >= len(q.requests)/2 && len(q.requests) == cap(q.requests) {
		remaining := copy(q.requests, q.requests[q.head:])
		clear(q.requests[remaining:])
		q.requests, q.head = q.requests[:remaining], 0
	}
	q.requests = append(q.requests, added)
}

func (q *requestQueue) pop() *request {
	next := q.requests[q.head]
	q.requests[q.head] = nil // lets the garbage collector free the request
	q.head++
	return next
}
