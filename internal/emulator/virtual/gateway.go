package virtual

import (
	"maps"
	"slices"
	"time"

	"springfield/internal/config"
	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// Durations of a gateway's shutdown and restart, which model those of package internal/gateway.
const (
	// drainDelay is how long a gateway accepts new connections after the start of its shutdown.
	drainDelay = 500 * time.Millisecond

	// maxDrainDuration limits the time that open requests have to finish after drainDelay.
	maxDrainDuration = 3 * time.Second

	// exitMargin is how long a process waits after the answer deadline of its shutdown, so that the last answers reach
	// their clients.
	exitMargin = 100 * time.Millisecond

	// loadBalancerDrainDelay is how long the load balancer in front of the gateways sends new requests to a gateway after
	// the start of its shutdown.
	loadBalancerDrainDelay = 300 * time.Millisecond

	// drainPollInterval is the time between two checks whether a draining gateway has answered its last request.
	drainPollInterval = 10 * time.Millisecond

	// restartDelay is how long a new gateway process takes to become ready.
	restartDelay = 500 * time.Millisecond
)

// gateway models one gateway of the fleet: its decider, and the requests and connections with which it carries out
// decisions.
type gateway struct {
	world  *world
	number int
	zone   int
	config policy.Config

	decider     emulator.Decider
	incarnation int           // number of the process, increased at each start
	running     bool          // the process has started and not ended
	inRotation  bool          // the load balancer in front of the gateways sends new requests to this one
	answerBy    time.Duration // when all answers are due during a shutdown
	draining    bool
	requests    map[policy.RequestID]*request // open requests
	lastID      policy.RequestID

	views       []endpointView // the entry at index i belongs to the endpoint with ID i + 1
	cancelWatch func()
}

func newGateway(w *world, number int) *gateway {
	configured := config.Config{Settings: model.Settings(w.scenario, number)}
	return &gateway{
		world:  w,
		number: number,
		zone:   model.ZoneOf(w.scenario, number),
		config: configured.PolicyConfig(0),
	}
}

// start starts the gateway's process with a configured endpoint list and makes it ready.
func (g *gateway) start(list []policy.Endpoint) {
	if g.running {
		return
	}
	w := g.world
	g.incarnation++
	g.running, g.inRotation, g.draining, g.answerBy = true, true, false, 0
	g.requests, g.views = map[policy.RequestID]*request{}, nil
	config := g.config
	config.Seed = w.gatewayRandom.Uint64()
	g.decider = w.newDecider(config, actions{g}, w.groundTruth)
	w.observe(emulator.GatewayStarted{Gateway: g.number})
	g.decider.Start(w.scheduler.Now())
	g.updateEndpoints(policy.UpdateCached, list)
	g.openWatch()
}

// submit registers a new request and passes it to the decider.
func (g *gateway) submit(r *request) {
	now := g.world.scheduler.Now()
	g.lastID++
	r.id, r.incarnation, r.open = g.lastID, g.incarnation, true
	if g.draining {
		r.deadline = min(r.deadline, g.answerBy)
	}
	g.requests[r.id] = r
	g.decider.Submit(now, policy.Request{
		ID:       r.id,
		Class:    r.arrival.Class,
		Plan:     r.arrival.Plan,
		Customer: r.arrival.Customer,
		TimeLeft: r.deadline - now,
		Units:    r.arrival.Units,
		SetSize:  r.arrival.SetSize,
		SetFirst: r.arrival.SetFirst,
	})
}

// closeRequest removes a request that has its final answer or whose client has disconnected.
func (g *gateway) closeRequest(r *request) {
	r.open = false
	delete(g.requests, r.id)
}

// kill ends the process immediately, as a crash does.
func (g *gateway) kill() {
	if g.running {
		g.stop(true)
	}
}

// restart shuts the process down gracefully and then starts a new one.
func (g *gateway) restart() {
	if !g.running || g.draining {
		return
	}
	w := g.world
	now, incarnation := w.scheduler.Now(), g.incarnation
	g.draining = true
	g.answerBy = now + drainDelay + min(w.longestDeadline(), maxDrainDuration)
	g.decider.BeginShutdown(now, g.answerBy)
	for _, r := range g.openRequests() {
		r.deadline = min(r.deadline, g.answerBy)
		for _, a := range r.inFlight {
			w.scheduler.After(r.deadline-now, func() { a.giveUp(policy.StatusTimedOut) })
		}
	}
	w.scheduler.After(loadBalancerDrainDelay, func() {
		if g.incarnation == incarnation {
			g.inRotation = false
		}
	})
	w.scheduler.After(drainDelay, func() { g.exitWhenDrained(incarnation) })
}

// exitWhenDrained ends a draining process once all of its requests are answered, but at the latest exitMargin after
// answerBy. A new process is ready after restartDelay.
func (g *gateway) exitWhenDrained(incarnation int) {
	if g.incarnation != incarnation || !g.running {
		return
	}
	w := g.world
	if len(g.requests) > 0 && w.scheduler.Now() < g.answerBy+exitMargin {
		w.scheduler.After(drainPollInterval, func() { g.exitWhenDrained(incarnation) })
		return
	}
	list := g.cachedList()
	g.stop(false)
	w.scheduler.After(restartDelay, func() { g.start(list) })
}

// stop ends the process: its connections are reset, and its open requests remain without an answer.
func (g *gateway) stop(killed bool) {
	w := g.world
	g.running = false
	w.observe(emulator.GatewayStopped{Gateway: g.number, Killed: killed})
	g.cancelWatch()
	for _, r := range g.openRequests() {
		g.closeRequest(r)
		w.scheduler.After(w.network.Delay(), func() { r.answerClient(emulator.AnswerMissing, 0) })
		for _, a := range r.inFlight {
			if !a.ended {
				a.abandon(policy.StatusCancelled)
			}
		}
	}
	for _, e := range w.endpoints {
		for _, a := range slices.Clone(e.active) { // the remaining attempts are those of disconnected clients
			if a.request.gateway == g && !a.ended {
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
			g.inRotation = false
		}
	})
}

// openRequests returns the open requests in order of arrival.
func (g *gateway) openRequests() []*request {
	open := make([]*request, 0, len(g.requests))
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		open = append(open, g.requests[id])
	}
	return open
}

// actions carries out the decisions of a gateway's decider. The decider calls these methods while it handles an event,
// so they must not call it back synchronously.
type actions struct{ g *gateway }

var _ policy.Actions = actions{}

// Forward implements policy.Actions.
func (x actions) Forward(id policy.RequestID, endpoint policy.EndpointID, until time.Duration) {
	g := x.g
	r := g.requests[id]
	if r == nil {
		return
	}
	if until <= 0 || until > r.deadline {
		until = r.deadline
	}
	now := g.world.scheduler.Now()
	a := &attempt{
		request:     r,
		endpoint:    g.world.endpoint(endpoint),
		number:      r.attempts,
		forwardedAt: now,
		activeIndex: notActive,
	}
	r.attempts++
	r.inFlight = append(r.inFlight, a)
	g.world.scheduler.After(until-now, func() { a.giveUp(policy.StatusTimedOut) })
	a.start()
}

// Reject implements policy.Actions.
func (x actions) Reject(id policy.RequestID, retryAfter time.Duration) {
	if r := x.g.requests[id]; r != nil {
		r.answer(emulator.AnswerRejected, retryAfter)
	}
}

// Fail implements policy.Actions.
func (x actions) Fail(id policy.RequestID) {
	if r := x.g.requests[id]; r != nil {
		r.answer(emulator.AnswerFailed, 0)
	}
}

// CancelAttempt implements policy.Actions.
func (x actions) CancelAttempt(id policy.RequestID, number int) {
	r := x.g.requests[id]
	if r == nil {
		return
	}
	for _, a := range r.inFlight {
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

// WatchEndpoints implements policy.Actions. It does nothing, because gateways watch discovery all the time.
func (x actions) WatchEndpoints(bool) {}
