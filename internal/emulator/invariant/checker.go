package invariant

import (
	"container/heap"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

const (
	// AnswerGrace is how long after its deadline a request may get its final answer. See STANDING, "The whole fleet".
	AnswerGrace = 500 * time.Millisecond
	// DisconnectGrace is how long after a client's disconnect an attempt may begin. See STANDING, "The whole fleet".
	DisconnectGrace = 100 * time.Millisecond
	// SocketSlack is how much longer each time limit is over sockets. See PROTOCOL, "The rules on sockets".
	SocketSlack = 50 * time.Millisecond

	// overloadInformedShare is the share of an overload that may come from gateways that were notified of the start.
	overloadInformedShare = 2.0 / 3

	// retention is how long a request is remembered after its end.
	retention = time.Second
)

// Checker is an emulator.Observer that checks the rules. It is not safe for concurrent use.
type Checker struct {
	classes    []class
	drainGrace time.Duration
	slack      time.Duration
	hedging    bool

	position  uint64 // number of observations so far
	requests  map[emulator.RequestKey]*request
	queue     requestQueue
	free      []*request // for further use
	deferred  deferredChecks
	gateways  map[int]*gateway
	locations map[policy.EndpointID]location
	ceilings  *ceilings

	violations violations
	submitted  int64
	forwarded  int64
	unlocated  int
}

var _ emulator.Observer = (*Checker)(nil)

// Option changes what a Checker allows.
type Option func(*Checker)

// WithSlack makes every time limit longer, and lets the observations of different connections arrive that much out of
// order. Runs over sockets need SocketSlack.
func WithSlack(slack time.Duration) Option {
	return func(c *Checker) { c.slack = slack }
}

// WithHedging allows a request to have several attempts in flight.
func WithHedging() Option {
	return func(c *Checker) { c.hedging = true }
}

// NewChecker returns a checker of a run of a scenario.
func NewChecker(scenario *emulator.Scenario, options ...Option) *Checker {
	checker := &Checker{
		drainGrace: scenario.Endpoints.DrainGrace.AsDuration(),
		requests:   make(map[emulator.RequestKey]*request),
		gateways:   make(map[int]*gateway),
		locations:  make(map[policy.EndpointID]location),
		ceilings:   newCeilings(scenario.Plans),
	}
	for _, described := range scenario.Classes {
		checker.classes = append(checker.classes, classOf(described))
	}
	for _, option := range options {
		option(checker)
	}
	return checker
}

// Observe implements emulator.Observer.
func (c *Checker) Observe(at time.Duration, observation emulator.Observation) {
	c.position++
	c.advance(at)
	switch o := observation.(type) {
	case emulator.RequestSubmitted:
		c.submit(o)
	case emulator.AttemptForwarded:
		c.forward(at, o)
	case emulator.AttemptReceived:
		c.receive(at, o)
	case emulator.AttemptEnded:
		c.endAttempt(at, o)
	case emulator.RequestAnswered:
		c.answer(at, o)
	case emulator.ClientDisconnected:
		c.disconnect(at, o)
	case emulator.EndpointNotified:
		c.gateway(o.Gateway).notify(at, o.Endpoint, o.State)
	case emulator.EndpointOverloaded:
		c.overload(at, o)
	case emulator.GatewayStarted:
		c.gateway(o.Gateway).down = false
	case emulator.GatewayStopped:
		c.stopGateway(o)
	}
}

// Finish ends the run and returns what was found. The checker is not used after it.
func (c *Checker) Finish(at time.Duration) Report {
	c.deferred.run(c, never)
	c.advance(at)
	undecided := 0
	for _, open := range c.queue {
		if !open.judged && !c.excused(open) && !open.disconnected && !open.answered {
			undecided++
		}
	}
	for len(c.queue) > 0 {
		last := heap.Pop(&c.queue).(*request)
		if last.answered {
			c.judge(at, last)
		}
	}
	return Report{
		Violations: c.violations.broken(),
		Requests:   c.submitted,
		Attempts:   c.forwarded,
		Undecided:  undecided,
		Unlocated:  c.unlocated,
	}
}

// gateway returns what is known of a gateway.
func (c *Checker) gateway(number int) *gateway {
	known := c.gateways[number]
	if known == nil {
		known = &gateway{}
		c.gateways[number] = known
	}
	return known
}

// stopGateway records the end of a gateway. Its successor does not know what it was notified of.
func (c *Checker) stopGateway(o emulator.GatewayStopped) {
	stopped := c.gateway(o.Gateway)
	stopped.closing = nil
	stopped.down = true
	if o.Killed {
		stopped.killed = c.position
	}
}

// overload checks RuleSlowStart.
func (c *Checker) overload(at time.Duration, o emulator.EndpointOverloaded) {
	if o.InformedShare > overloadInformedShare {
		c.violations.count(RuleSlowStart, at, "endpoint %d was overloaded while it warmed up, with a share of %.2f"+
			" from gateways that were notified of its start", o.Endpoint, o.InformedShare)
	}
}
