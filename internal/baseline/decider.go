package baseline

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"springfield/policy"
)

// maxAttempts is the upper bound of the attempts of a request. The configuration may set a lower one.
const maxAttempts = 3

// baseDecider implements emulator.Decider for all baselines. It keeps the rules and delegates admission and the choice
// of an endpoint to two functions.
type baseDecider struct {
	cfg       policy.Config
	actions   policy.Actions
	random    *rand.Rand
	requests  map[policy.RequestID]*request
	endpoints map[policy.EndpointID]*endpoint
	list      []*endpoint // the known endpoints, sorted by ID

	// admit reports whether a new request may be forwarded.
	admit func(now time.Duration, r *request) bool
	// choose picks one of the endpoints that the rules allow. There is at least one candidate.
	choose func(r *request, candidates []*endpoint) *endpoint
}

// request is an open request with the state of its attempts.
type request struct {
	policy.Request
	class              *policy.Class
	deadline           time.Duration
	attempts           int
	inFlight           *endpoint     // endpoint of the attempt in flight; nil if there is none
	sentAt             time.Duration // when the latest attempt was sent
	possiblyExecutedOn *endpoint     // endpoint of the first attempt that may have been executed; nil if there is none
	possiblyExecutedAt time.Duration // when the first attempt that may have been executed was sent
	disconnected       bool          // the client has disconnected, and the attempt is still in flight
}

// endpoint is an endpoint of the list with the load that this gateway puts on it.
type endpoint struct {
	policy.Endpoint
	inFlight int // number of attempts of this gateway in flight
}

func newBaseDecider(cfg policy.Config, actions policy.Actions) *baseDecider {
	return &baseDecider{
		cfg: cfg, actions: actions, random: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.GatewayIndex))),
		requests: map[policy.RequestID]*request{}, endpoints: map[policy.EndpointID]*endpoint{},
	}
}

// Start implements emulator.Decider.
func (g *baseDecider) Start(time.Duration) {
	if g.cfg.PolledEndpoints {
		g.actions.WatchEndpoints(true)
	}
}

// UpdateEndpoints implements emulator.Decider.
func (g *baseDecider) UpdateEndpoints(_ time.Duration, kind policy.UpdateKind, list []policy.Endpoint) {
	if kind == policy.UpdateFailed {
		g.actions.StartTimer(time.Second, policy.Timer{Kind: policy.TimerWatch})
		return
	}
	listed := make(map[policy.EndpointID]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		ep := g.endpoints[entry.ID]
		if ep == nil {
			ep = &endpoint{}
			g.endpoints[entry.ID] = ep
		}
		ep.Endpoint = entry
	}
	for id, ep := range g.endpoints {
		absent := kind != policy.UpdateDelta && !listed[id]
		if absent || ep.State == policy.StateRemoved {
			ep.State = policy.StateRemoved
			delete(g.endpoints, id)
		}
	}
	g.list = slices.SortedFunc(maps.Values(g.endpoints), func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// Submit implements emulator.Decider.
func (g *baseDecider) Submit(now time.Duration, submitted policy.Request) {
	if submitted.Class < 0 || submitted.Class >= len(g.cfg.Classes) || submitted.TimeLeft <= 0 {
		g.actions.Reject(submitted.ID, 0)
		return
	}
	r := &request{Request: submitted, class: &g.cfg.Classes[submitted.Class], deadline: now + submitted.TimeLeft}
	g.requests[submitted.ID] = r
	tooMany := g.cfg.MaxOpenRequests > 0 && len(g.requests) > g.cfg.MaxOpenRequests
	if tooMany || !g.admit(now, r) {
		g.finish(r)
		return
	}
	g.dispatch(now, r)
}

// dispatch forwards a request, or ends it if no endpoint may take it.
func (g *baseDecider) dispatch(now time.Duration, r *request) {
	candidates := g.candidates(now, r)
	if now >= r.deadline || len(candidates) == 0 {
		g.finish(r)
		return
	}
	ep := g.choose(r, candidates)
	ep.inFlight++
	r.inFlight, r.sentAt = ep, now
	r.attempts++
	g.actions.Forward(r.ID, ep.ID, r.deadline)
}

// candidates returns the endpoints that the rules allow. An endpoint in slow start is included with a probability equal
// to the share of its capacity that is available.
func (g *baseDecider) candidates(now time.Duration, r *request) []*endpoint {
	var allowed []*endpoint
	for _, ep := range g.list {
		if ep.State != policy.StateReady || !r.mayRetryOn(now, ep) {
			continue
		}
		if capacityShare := g.capacityShare(now, ep); capacityShare >= 1 || g.random.Float64() < capacityShare {
			allowed = append(allowed, ep)
		}
	}
	return allowed
}

// capacityShare returns a lower bound of the share of its full capacity that an endpoint has. It is below 1 during slow
// start.
func (g *baseDecider) capacityShare(now time.Duration, ep *endpoint) float64 {
	age := now - ep.StartedAt
	if ep.StartedAt <= 0 || g.cfg.WarmUpDuration <= 0 || age >= g.cfg.WarmUpDuration {
		return 1
	}
	initial := g.cfg.WarmUpInitialCapacity
	return initial + (1-initial)*max(0, age.Seconds())/g.cfg.WarmUpDuration.Seconds()
}

// mayRetryOn reports whether the request may be sent to an endpoint. If an earlier attempt may have been executed, this
// depends on the idempotency of the class and on the scope and lifetime of the idempotency key.
func (r *request) mayRetryOn(now time.Duration, ep *endpoint) bool {
	if r.possiblyExecutedOn == nil || r.class.Idempotency == policy.Idempotent {
		return true
	}
	if r.class.Idempotency == policy.NonIdempotent || now >= r.possiblyExecutedAt+r.class.KeyTTL {
		return false
	}
	switch r.class.KeyScope {
	case policy.KeyScopeZone:
		return ep.Zone == r.possiblyExecutedOn.Zone
	case policy.KeyScopeCell:
		return ep.Cell == r.possiblyExecutedOn.Cell
	default:
		return true
	}
}

// AttemptFinished implements emulator.Decider.
func (g *baseDecider) AttemptFinished(now time.Duration, result policy.AttemptResult) {
	r := g.requests[result.Request]
	if r == nil || r.inFlight == nil || r.attempts-1 != result.Attempt {
		return
	}
	r.inFlight.inFlight--
	switch result.Status {
	case policy.StatusOK, policy.StatusRejected, policy.StatusConnectFailed, policy.StatusNotSent,
		policy.StatusLocalFailure:
	default:
		if r.possiblyExecutedOn == nil {
			r.possiblyExecutedOn, r.possiblyExecutedAt = r.inFlight, r.sentAt
		}
	}
	r.inFlight = nil
	limit := cmp.Or(g.cfg.MaxAttempts, maxAttempts)
	switch {
	case result.RequestDone || r.disconnected:
		delete(g.requests, r.ID)
	case r.attempts >= min(limit, maxAttempts):
		g.finish(r)
	default:
		g.dispatch(now, r)
	}
}

// finish gives the final answer: a rejection if the client may safely retry, otherwise a failure.
func (g *baseDecider) finish(r *request) {
	delete(g.requests, r.ID)
	if r.possiblyExecutedOn == nil || r.class.Idempotency == policy.Idempotent {
		g.actions.Reject(r.ID, 0)
		return
	}
	g.actions.Fail(r.ID)
}

// ClientDisconnected implements emulator.Decider. Every open request has an attempt in flight, which counts as load on
// its endpoint until its result arrives.
func (g *baseDecider) ClientDisconnected(_ time.Duration, id policy.RequestID) {
	r := g.requests[id]
	if r == nil || r.disconnected {
		return
	}
	r.disconnected = true
	if g.cfg.CanCancel {
		g.actions.CancelAttempt(id, r.attempts-1)
	}
}

// BeginShutdown implements emulator.Decider. The emulator ends the attempts in flight by answerBy, and the
// shortened deadlines limit later retries.
func (g *baseDecider) BeginShutdown(_, answerBy time.Duration) {
	for _, r := range g.requests {
		r.deadline = min(r.deadline, answerBy)
	}
}

// TimerFired implements emulator.Decider.
func (g *baseDecider) TimerFired(_ time.Duration, timer policy.Timer) {
	if timer.Kind == policy.TimerWatch {
		g.actions.WatchEndpoints(true)
	}
}

// lessLoadedOfTwo implements the power of two choices: of two random endpoints it returns the one with fewer attempts
// in flight relative to its weight.
func (g *baseDecider) lessLoadedOfTwo(_ *request, candidates []*endpoint) *endpoint {
	pair := g.sampleTwo(candidates)
	if pair[1].loadPerWeight() < pair[0].loadPerWeight() {
		return pair[1]
	}
	return pair[0]
}

// loadPerWeight returns the attempts in flight divided by the weight, which is the endpoint's relative capacity. An
// unknown weight counts as 1.
func (ep *endpoint) loadPerWeight() float64 {
	if !(ep.Weight > 0) {
		return float64(ep.inFlight)
	}
	return float64(ep.inFlight) / ep.Weight
}

// sampleTwo draws two random endpoints with replacement.
func (g *baseDecider) sampleTwo(candidates []*endpoint) []*endpoint {
	return []*endpoint{candidates[g.random.IntN(len(candidates))], candidates[g.random.IntN(len(candidates))]}
}
