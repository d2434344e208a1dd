package model

import (
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// unavailableBacklog is the backlog reported for an endpoint that starts no new requests. It is far longer than usual
// deadlines, so that a decider prefers other endpoints, but Validate accepts deadlines of up to maxScenarioDuration.
const unavailableBacklog = time.Hour

// ServerSpec configures the model of one endpoint.
type ServerSpec struct {
	ID        policy.EndpointID
	Zone      int
	Cell      int
	Endpoints emulator.Endpoints
	WarmUp    emulator.WarmUp
	Speed     float64       // seconds of work that a warm core does in a second; 0 counts as 1
	MeanWork  time.Duration // mean work of a request on a core at speed 1; the unit of the overload rule
	StartedAt time.Duration // Unix time; 0: long ago, so that the endpoint is warm
}

// Job is a request that an endpoint has received completely.
type Job struct {
	Work     time.Duration   // work of the request on a core at speed 1
	Gateway  int             // number of the gateway that sent the request
	Informed bool            // whether that gateway counts as notified of the endpoint's start
	Done     func(JobResult) // receives the result; may be nil
}

// JobResult is the outcome that an endpoint answers a job with.
type JobResult uint8

// The results of a job.
const (
	JobServed   JobResult = iota + 1
	JobError              // executed, and answered with an error
	JobRejected           // not executed, and never will be
)

// Server is a model of one endpoint. Up to Endpoints.Cores requests are processed at full speed, and up to
// Endpoints.Slots share the cores evenly (processor sharing). Up to Endpoints.WaitingRoom further requests wait in
// order of arrival, and requests beyond that are rejected. A draining endpoint rejects all new requests and completes
// those that it holds. An attempt that its gateway gives up is executed all the same. A core does Speed x
// CapacityShare / slowdown seconds of work a second. Times are Unix time, work is in seconds of one core at speed 1.
//
// A Server is not safe for concurrent use: only functions of its scheduler, which run one at a time, may call it.
//
// Sources: PROTOCOL, "Edge nodes to listing servers"; WIRE, rules 3 and 4; STANDING, overload during the warm-up.
type Server struct {
	// OnOverload, if set, is called by the scheduler after the endpoint has failed because it received too much work
	// while it warmed up. The process has stopped by then and stays down until Start is called. informedShare is the
	// share of the work within the overload window that came from informed gateways.
	OnOverload func(informedShare float64)

	spec        ServerSpec
	scheduler   emulator.Scheduler
	random      *rand.Rand
	processor   processor
	overload    overloadDetector
	connections connectionTable
	traffic     trafficMeter

	inService   int          // requests that occupy slots
	waiting     requestQueue // requests that wait for a slot
	waitingWork float64      // work of the waiting requests, seconds of one core at speed 1

	up            bool
	processNumber uint64 // incremented at each stop, which cancels the functions that the stopped process has scheduled
	draining      bool
	silent        bool
	errorShare    float64 // share of the executed requests that fail with errors

	wakeUpAt     time.Duration // when the next task may be complete; 0: no wake-up is scheduled
	wakeUpNumber uint64        // number of the latest wake-up; earlier ones have no effect
}

// request is a job that an endpoint holds.
type request struct {
	job        Job
	receivedAt time.Duration
}

// NewServer returns an endpoint that is up. The random numbers determine which requests fail with errors.
func NewServer(spec ServerSpec, scheduler emulator.Scheduler, random *rand.Rand) *Server {
	if spec.Speed <= 0 {
		spec.Speed = 1
	}
	spec.Endpoints.Cores = max(1, spec.Endpoints.Cores)
	spec.Endpoints.Slots = max(spec.Endpoints.Cores, spec.Endpoints.Slots)
	capacity := spec.Speed * float64(spec.Endpoints.Cores)
	return &Server{
		spec:      spec,
		scheduler: scheduler,
		random:    random,
		processor: processor{
			cores:    spec.Endpoints.Cores,
			speed:    spec.Speed,
			slowdown: 1,
			warmUp:   newSlowStart(spec.WarmUp, spec.StartedAt),
			updated:  scheduler.Now(),
		},
		overload:    newOverloadDetector(spec.WarmUp, capacity, spec.MeanWork),
		connections: connectionTable{limit: spec.Endpoints.MaxConnections},
		up:          true,
	}
}

// Submit takes a request whose last byte has arrived. The scheduler calls Done later, never before Submit has
// returned. Done is never called if the process is down or stops before the request is complete; the caller then has
// to reset the connection. Done is not called either for a request that completes while the endpoint is silent.
func (s *Server) Submit(job Job) {
	if !s.up {
		return
	}
	now := s.scheduler.Now()
	if s.overloadedBy(job, now) {
		s.failOverloaded()
		return
	}
	received := &request{job: job, receivedAt: now}
	s.processor.advance(now)
	switch {
	case s.draining:
		s.reject(received)
	case s.inService < s.spec.Endpoints.Slots:
		s.startRequest(received)
		s.scheduleWakeUp()
	case s.waiting.len() < s.spec.Endpoints.WaitingRoom:
		s.waiting.push(received)
		s.waitingWork += job.Work.Seconds()
	default:
		s.reject(received)
	}
}

// overloadedBy records a request that arrives during the warm-up and reports whether it overloads the endpoint.
func (s *Server) overloadedBy(job Job, now time.Duration) bool {
	if s.processor.warmUp.isWarm(now) {
		s.overload.reset()
		return false
	}
	arrival := warmUpArrival{at: now, work: job.Work.Seconds(), informed: job.Informed}
	return s.overload.record(arrival, s.CapacityShare())
}

// failOverloaded stops the process because of an overload and has OnOverload called.
func (s *Server) failOverloaded() {
	share := s.overload.informedShare()
	s.Stop()
	s.scheduler.After(0, func() {
		if s.OnOverload != nil {
			s.OnOverload(share)
		}
	})
}

// reject answers a request with JobRejected, unless the process stops before.
func (s *Server) reject(received *request) {
	processNumber := s.processNumber
	s.scheduler.After(0, func() {
		if processNumber == s.processNumber {
			s.respond(received, JobRejected)
		}
	})
}

// startRequest assigns a request to a slot. The processor must have been advanced to the present time.
func (s *Server) startRequest(received *request) {
	s.inService++
	s.processor.add(received.job.Work.Seconds(), received)
}

// Connect opens a connection and reports whether the endpoint has accepted it. An endpoint that is down or holds
// Endpoints.MaxConnections connections refuses it. The handshake takes Endpoints.HandshakeWork of the cores' time.
func (s *Server) Connect() bool {
	if !s.up || !s.connections.add() {
		return false
	}
	if work := s.spec.Endpoints.HandshakeWork.AsDuration(); work > 0 {
		s.processor.advance(s.scheduler.Now())
		s.processor.add(work.Seconds(), nil)
		s.scheduleWakeUp()
	}
	return true
}

// Disconnect closes a connection. It must not be called for connections to a process that has stopped, since Stop has
// closed them.
func (s *Server) Disconnect() { s.connections.remove() }

// scheduleWakeUp has the scheduler call completeTasks when the next task is complete. A wake-up that is scheduled for
// an earlier time stays in place.
func (s *Server) scheduleWakeUp() {
	delay, ok := s.processor.timeToNextCompletion()
	if !ok {
		return
	}
	at := s.scheduler.Now() + delay
	if s.wakeUpAt != 0 && s.wakeUpAt <= at {
		return
	}
	s.wakeUpAt = at
	s.wakeUpNumber++
	number := s.wakeUpNumber
	s.scheduler.After(delay, func() {
		if number == s.wakeUpNumber {
			s.wakeUpAt = 0
			s.completeTasks()
		}
	})
}

// completeTasks answers the requests whose work is complete and starts waiting requests in their place.
func (s *Server) completeTasks() {
	s.processor.advance(s.scheduler.Now())
	for done := s.processor.popFinished(); done != nil; done = s.processor.popFinished() {
		if done.request == nil {
			continue // a handshake has no answer
		}
		s.inService--
		s.startNextWaiting()
		s.respond(done.request, s.drawResult())
	}
	s.scheduleWakeUp()
}

// startNextWaiting starts the request that has waited longest, if there is one.
func (s *Server) startNextWaiting() {
	if s.waiting.len() == 0 {
		return
	}
	next := s.waiting.pop()
	s.waitingWork = max(0, s.waitingWork-next.job.Work.Seconds())
	s.startRequest(next)
}

// drawResult draws whether an executed request is served or fails with an error.
func (s *Server) drawResult() JobResult {
	if s.errorShare > 0 && s.random.Float64() < s.errorShare {
		return JobError
	}
	return JobServed
}

// respond sends a response, unless the endpoint is silent.
func (s *Server) respond(answered *request, result JobResult) {
	now := s.scheduler.Now()
	if result != JobRejected {
		s.traffic.record(now, now-answered.receivedAt, result == JobError)
	}
	if !s.silent && answered.job.Done != nil {
		answered.job.Done(result)
	}
}
