package virtual

import (
	"maps"
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/internal/settings"
	"springfield/policy"
)

// The life cycle of a gateway, as that of internal/gateway.
const (
	// drainDelay is how long a gateway accepts new connections after it was told to end.
	drainDelay = 500 * time.Millisecond

	// killNotBefore bounds how long requests may take in a drain.
	killNotBefore = 3 * time.Second

	// exitMargin is for the last answers to reach their clients.
	exitMargin = 100 * time.Millisecond

	// frontDrainDelay is how long the front goes on to bring new requests to a gateway that was told to end.
	frontDrainDelay = 300 * time.Millisecond

	// drainPollInterval is how often a drain looks whether the last request has been answered.
	drainPollInterval = 10 * time.Millisecond

	// restartDelay is how long a new process takes until it is ready.
	restartDelay = 500 * time.Millisecond
)

// gateway is one gateway of the fleet: a decider and what carries its decisions out.
type gateway struct {
	world  *world
	number int
	zone   int
	config policy.Config

	decider     emulator.Decider
	incarnation int  // of the process
	running     bool // the process is
	admitted    bool // the front brings new requests
	answerBy    time.Duration
	draining    bool
	calls       map[policy.RequestID]*call // open ones
	lastID      policy.RequestID

	views       []endpointView // by endpoint id, from 1
	cancelWatch func()
}

func newGateway(w *world, number int) *gateway {
	configured := model.Settings(w.scenario, number)
	return &gateway{
		world:  w,
		number: number,
		zone:   model.ZoneOf(w.scenario, number),
		config: settings.PolicyConfig(&configured, 0),
	}
}

// start starts the gateway's process with the endpoint list in its configuration, and makes it ready.
func (g *gateway) start(list []policy.Endpoint) {
	if g.running {
		return
	}
	w := g.world
	g.incarnation++
	g.running, g.admitted, g.draining, g.answerBy = true, true, false, 0
	g.calls, g.views = map[policy.RequestID]*call{}, nil
	config := g.config
	config.Seed = w.gatewayRandom.Uint64()
	g.decider = w.newDecider(config, actions{g}, w.truth)
	w.observe(emulator.GatewayStarted{Gateway: g.number})
	g.decider.Start(w.scheduler.Now())
	g.updateEndpoints(policy.UpdateCached, list)
	g.openWatch()
}

// submit passes a new request to the decider.
func (g *gateway) submit(c *call) {
	now := g.world.scheduler.Now()
	g.lastID++
	c.id, c.incarnation, c.open = g.lastID, g.incarnation, true
	if g.draining {
		c.deadline = min(c.deadline, g.answerBy)
	}
	g.calls[c.id] = c
	g.decider.Submit(now, policy.Request{
		ID:       c.id,
		Class:    c.arrival.Class,
		Plan:     c.arrival.Plan,
		Customer: c.arrival.Customer,
		TimeLeft: c.deadline - now,
		Units:    c.arrival.Units,
		SetSize:  c.arrival.SetSize,
		SetFirst: c.arrival.SetFirst,
	})
}

// closeCall forgets a request that is owed nothing any more.
func (g *gateway) closeCall(c *call) {
	c.open = false
	delete(g.calls, c.id)
}

// kill ends the process at once, as a crash does.
func (g *gateway) kill() {
	if g.running {
		g.stop(true)
	}
}

// restart shuts the process down gracefully and starts another one.
func (g *gateway) restart() {
	if !g.running || g.draining {
		return
	}
	w := g.world
	now, incarnation := w.scheduler.Now(), g.incarnation
	g.draining = true
	g.answerBy = now + drainDelay + min(w.longestDeadline(), killNotBefore)
	g.decider.BeginShutdown(now, g.answerBy)
	for _, c := range g.openCalls() {
		c.deadline = min(c.deadline, g.answerBy)
		for _, a := range c.inFlight {
			w.scheduler.After(c.deadline-now, func() { a.giveUp(policy.StatusTimedOut) })
		}
	}
	w.scheduler.After(frontDrainDelay, func() {
		if g.incarnation == incarnation {
			g.admitted = false
		}
	})
	w.scheduler.After(drainDelay, func() { g.exitWhenDone(incarnation) })
}

// exitWhenDone ends a process that drains once all of its requests are answered, or when it may be killed.
func (g *gateway) exitWhenDone(incarnation int) {
	if g.incarnation != incarnation || !g.running {
		return
	}
	w := g.world
	if len(g.calls) > 0 && w.scheduler.Now() < g.answerBy+exitMargin {
		w.scheduler.After(drainPollInterval, func() { g.exitWhenDone(incarnation) })
		return
	}
	list := g.cachedList()
	g.stop(false)
	w.scheduler.After(restartDelay, func() { g.start(list) })
}

// stop ends the process: its connections are reset, and what it held is gone.
func (g *gateway) stop(killed bool) {
	w := g.world
	g.running = false
	w.observe(emulator.GatewayStopped{Gateway: g.number, Killed: killed})
	g.cancelWatch()
	for _, c := range g.openCalls() {
		g.closeCall(c)
		w.scheduler.After(w.network.Delay(), func() { c.answerClient(emulator.AnswerMissing, 0) })
		for _, a := range c.inFlight {
			if !a.ended {
				a.abandon(policy.StatusCancelled)
			}
		}
	}
	for _, e := range w.endpoints {
		for _, a := range slices.Clone(e.active) { // attempts whose clients have gone
			if a.call.gateway == g && !a.ended {
				a.abandon(policy.StatusCancelled)
			}
		}
	}
	for i := range g.views {
		g.views[i].closeIdle()
	}
	incarnation := g.incarnation
	w.scheduler.After(w.scenario.Network.FrontDelay.AsDuration(), func() {
		if g.incarnation == incarnation && !g.running {
			g.admitted = false
		}
	})
}

// openCalls returns the open requests in the order in which they came.
func (g *gateway) openCalls() []*call {
	open := make([]*call, 0, len(g.calls))
	for _, id := range slices.Sorted(maps.Keys(g.calls)) {
		open = append(open, g.calls[id])
	}
	return open
}

// actions carries out the decisions of a gateway's decider. It is called while the decider handles an event, so nothing
// here calls the decider back at once.
type actions struct{ g *gateway }

var _ policy.Actions = actions{}

// Forward implements policy.Actions.
func (x actions) Forward(id policy.RequestID, endpoint policy.EndpointID, until time.Duration) {
	g := x.g
	c := g.calls[id]
	if c == nil {
		return
	}
	if until <= 0 || until > c.deadline {
		until = c.deadline
	}
	now := g.world.scheduler.Now()
	a := &attempt{
		call:        c,
		endpoint:    g.world.endpoint(endpoint),
		number:      c.attempts,
		forwardedAt: now,
		activeIndex: notActive,
	}
	c.attempts++
	c.inFlight = append(c.inFlight, a)
	g.world.scheduler.After(until-now, func() { a.giveUp(policy.StatusTimedOut) })
	a.begin()
}

// Reject implements policy.Actions.
func (x actions) Reject(id policy.RequestID, retryAfter time.Duration) {
	if c := x.g.calls[id]; c != nil {
		c.answer(emulator.AnswerRejected, retryAfter)
	}
}

// Fail implements policy.Actions.
func (x actions) Fail(id policy.RequestID) {
	if c := x.g.calls[id]; c != nil {
		c.answer(emulator.AnswerFailed, 0)
	}
}

// CancelAttempt implements policy.Actions.
func (x actions) CancelAttempt(id policy.RequestID, number int) {
	c := x.g.calls[id]
	if c == nil {
		return
	}
	for _, a := range c.inFlight {
		if a.number == number {
			x.g.world.scheduler.After(0, func() { a.giveUp(policy.StatusCancelled) })
		}
	}
}

// StartTimer implements policy.Actions.
func (x actions) StartTimer(after time.Duration, timer policy.Timer) {
	g, incarnation := x.g, x.g.incarnation
	g.world.scheduler.After(after, func() {
		if g.running && g.incarnation == incarnation {
			g.decider.TimerFired(g.world.scheduler.Now(), timer)
		}
	})
}

// WatchEndpoints does nothing: as in a real gateway, discovery is always watched.
func (x actions) WatchEndpoints(bool) {}
