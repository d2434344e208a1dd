package model

import (
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// unavailableBacklog is the backlog of an endpoint that begins no new request: longer than any deadline.
const unavailableBacklog = time.Hour

// ServerSpec describes one endpoint.
type ServerSpec struct {
	ID        policy.EndpointID
	Zone      int
	Cell      int
	Endpoints emulator.Endpoints
	WarmUp    emulator.WarmUp
	Speed     float64       // of its cores, relative to the work of the scenario; 0 counts as 1
	MeanWork  time.Duration // of a request on a core at speed 1; the unit of the overload rule
	StartedAt time.Duration // Unix time; 0: long ago, so that it is warm
}

// Job is a request that has reached an endpoint complete.
type Job struct {
	Work     time.Duration // on a core at speed 1
	Gateway  int           // the one that sent it
	Informed bool          // its gateway counts as notified of the start of the endpoint
	Done     func(JobResult)
}

// JobResult tells what an endpoint answers.
type JobResult uint8

// The results of a job.
const (
	JobServed   JobResult = iota + 1
	JobError              // the endpoint has executed it and answers with an error
	JobRejected           // the endpoint never executes it
)

// Server is a model of one endpoint. Up to Endpoints.Cores requests are worked on at full speed, up to Endpoints.Slots
// share the cores evenly (processor sharing), and more of them wait in order of arrival, up to Endpoints.WaitingRoom;
// beyond these it rejects requests. A draining endpoint rejects all new requests and completes those that it holds. A
// gateway that gives an attempt up stops nothing. Cores do Speed x Warmth / slowdown seconds of work a second.
//
// Source: PROTOCOL ("Edge nodes to listing servers"), WIRE (rules 3 and 4) and STANDING (overload while warming up).
// Times are Unix time, work is in seconds of one core at speed 1.
//
// A Server is used by functions of its scheduler alone, which run one at a time.
type Server struct {
	// OnOverload, if it is set, is called by the scheduler when the endpoint has failed because it got too much while
	// it warmed up. The process has stopped then and stays down until Start. The share is the part of the work within
	// the window of the rule that came from informed gateways.
	OnOverload func(informedShare float64)

	spec        ServerSpec
	scheduler   emulator.Scheduler
	random      *rand.Rand
	processor   processor
	warmUp      warmUpLoad
	connections connectionTable
	traffic     trafficMeter

	inService   int
	waiting     requestQueue
	waitingWork float64 // seconds

	up         bool
	process    uint64 // number of the process that runs, or ran last
	draining   bool
	silent     bool
	errorShare float64

	wakeUpAt      time.Duration // when the next task may be finished; 0: no wake-up is scheduled
	wakeUpCurrent uint64        // number of the only wake-up that counts
}

// request is a job that an endpoint holds.
type request struct {
	job        Job
	receivedAt time.Duration
}

// NewServer returns an endpoint that is up. The random numbers decide which requests get errors.
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
			start:    newSlowStart(spec.WarmUp, spec.StartedAt),
			updated:  scheduler.Now(),
		},
		warmUp:      newWarmUpLoad(spec.WarmUp, capacity, spec.MeanWork),
		connections: connectionTable{limit: spec.Endpoints.MaxConnections},
		up:          true,
	}
}

// Submit takes a request whose last byte has arrived. The scheduler calls Done later, never before Submit has returned.
// Done is never called if the process has stopped, or stops before the request is finished: its connection is reset
// then, which is the caller's to tell. Nor is it called for what would be answered while the endpoint is silent.
func (s *Server) Submit(job Job) {
	if !s.up {
		return
	}
	now := s.scheduler.Now()
	if s.overloadedBy(job, now) {
		s.fail()
		return
	}
	received := &request{job: job, receivedAt: now}
	s.processor.advance(now)
	switch {
	case s.draining:
		s.reject(received)
	case s.inService < s.spec.Endpoints.Slots:
		s.begin(received)
		s.scheduleWakeUp()
	case s.waiting.len() < s.spec.Endpoints.WaitingRoom:
		s.waiting.push(received)
		s.waitingWork += job.Work.Seconds()
	default:
		s.reject(received)
	}
}

// overloadedBy counts a request that has come while the endpoint warms up.
func (s *Server) overloadedBy(job Job, now time.Duration) bool {
	if s.processor.start.isWarm(now) {
		s.warmUp.reset()
		return false
	}
	arrival := warmUpArrival{at: now, work: job.Work.Seconds(), informed: job.Informed}
	return s.warmUp.add(arrival, s.Warmth())
}

// fail stops the process because of an overload.
func (s *Server) fail() {
	share := s.warmUp.informedShare()
	s.Stop()
	s.scheduler.After(0, func() {
		if s.OnOverload != nil {
			s.OnOverload(share)
		}
	})
}

func (s *Server) reject(received *request) {
	process := s.process
	s.scheduler.After(0, func() {
		if process == s.process {
			s.answer(received, JobRejected)
		}
	})
}

// begin puts a request on a slot. The processor has been advanced to the present time.
func (s *Server) begin(received *request) {
	s.inService++
	s.processor.add(received.job.Work.Seconds(), received)
}

// Connect opens a connection and reports whether there was a place for it. The handshake takes Endpoints.HandshakeWork
// of the cores. An endpoint that is down accepts none.
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

// Disconnect closes a connection. Connections to a process that has stopped are gone already; they are not closed.
func (s *Server) Disconnect() { s.connections.remove() }

// scheduleWakeUp has the scheduler call finish when the next task is finished. An earlier wake-up is left as it is.
func (s *Server) scheduleWakeUp() {
	delay, ok := s.processor.untilNextEnd()
	if !ok {
		return
	}
	at := s.scheduler.Now() + delay
	if s.wakeUpAt != 0 && s.wakeUpAt <= at {
		return
	}
	s.wakeUpAt = at
	s.wakeUpCurrent++
	number := s.wakeUpCurrent
	s.scheduler.After(delay, func() {
		if number == s.wakeUpCurrent {
			s.wakeUpAt = 0
			s.finish()
		}
	})
}

// finish ends the tasks that are finished and begins requests that wait.
func (s *Server) finish() {
	s.processor.advance(s.scheduler.Now())
	for done := s.processor.finished(); done != nil; done = s.processor.finished() {
		if done.request == nil {
			continue // a handshake
		}
		s.inService--
		s.beginNextWaiting()
		s.answer(done.request, s.resultOfExecution())
	}
	s.scheduleWakeUp()
}

func (s *Server) beginNextWaiting() {
	if s.waiting.len() == 0 {
		return
	}
	next := s.waiting.pop()
	s.waitingWork = max(0, s.waitingWork-next.job.Work.Seconds())
	s.begin(next)
}

func (s *Server) resultOfExecution() JobResult {
	if s.errorShare > 0 && s.random.Float64() < s.errorShare {
		return JobError
	}
	return JobServed
}

// answer sends a response, unless the endpoint is silent.
func (s *Server) answer(answered *request, result JobResult) {
	now := s.scheduler.Now()
	if result != JobRejected {
		s.traffic.record(now, now-answered.receivedAt, result == JobError)
	}
	if !s.silent && answered.job.Done != nil {
		answered.job.Done(result)
	}
}
