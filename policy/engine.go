// Package decide makes the decisions of a gateway that holds customers to their
// quotas before a shared back end, after Li and Jamin's "A Measurement-Based
// Admission-Controlled Web Server".
//
// The interface (Config, Request, Outcome, Server, Actions) is in gateway.go.
// Read this file from the top: the constants; the state; New and the events, one
// method each; admit, which is the ordinary path (ceiling, quota rule, hold, pass);
// the customer's meter and store; the pass (the paper's bandwidth manager);
// dispatch, which picks a server; what follows an outcome; server health.
//
// A Gateway is not safe for concurrent use. It has no goroutines, no clock and no
// I/O: the same events give the same actions.
package policy

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The tuned values. Everything else is derived from the settings.
const (
	usageSmoothing = 0.3                    // paper, eq. 2: weight of a fresh reading in avgUse
	managerPeriod  = 500 * time.Millisecond // paper, V.B: every half to one second
	forgetBelow    = 0.01                   // a quiet customer below this share of its quota is forgotten
	maxDebtSeconds = 5.0                    // seconds of its quota that the own store may lack before readings tell
	minBucketShare = 0.6                    // usual request, over the largest: what the own store holds at least
	minSplitUnits  = 0.5                    // units: half of the least request
	maxOveruseCost = 0.1                    // the operators' term: the most that overuse may cost, of all worth
	assumedOveruse = 0.4                    // part of what is asked for that is beyond quotas: 0.21 to 0.41
	overuseDecay   = 20 *
		time.Second // what readings tell of the cost of overuse counts for so long
	overusePriorWeight = 10.0 // and as much as so many answers that tell of a cost at the term
	overuseCostTarget  = 0.4  // and more than this part of the term at a chance of 1 cuts the chance
	assumedExcess      = 4.0  // what a customer beyond its quota asks for, over that quota
	meterLagPeriods    = 1.75 // a reading trails by about this many meter periods
	shareLags          = 3.0  // this gateway's part of the use is averaged over so many lags
	readingPeriods     = 3    // a reading counts for this many meter periods
	overloadEnter      = 0.6  // latency over aim at which the back end is pressed
	overloadLeave      = 0.4  // and at which it no longer is
	pressureSmoothing  = 0.05 // weight of one answer in the pressure average
	lateThreshold      = 0.5  // latency over aim from which an answer cuts it
	maxHoldShare       = 0.5  // longest hold, as a share of the class's aim
	latencySmoothing   = 0.4  // weight of one answer in a server's latency
	latencyDecay       = 4 *
		time.Second // an unvisited server's latency drifts to the mean in this time
	crossZonePenalty      = 1.1             // another zone must be this much cheaper
	ejectAfterFailures    = 1               // failures in a row that eject a server: a well one makes next to none
	minEjection           = time.Second     // first back-off of an ejected server
	maxEjection           = 8 * time.Second // longest back-off
	maxEjectedShare       = 0.5             // share of the roster that may be ejected
	silenceFactor         = 8.0             // a silent attempt is moved after this multiple of what it should take
	retryTokensPerRequest = 0.2             // further attempts earned by each request
	maxRetryTokens        = 10.0            // and the most saved up
	initialEndpointLimit  = 24.0            // most units that all gateways put at a server before it answers
	endpointLateThreshold = 0.2             // latency over aim above which a server's limit is cut
	endpointLimitDecrease = 0.7             // by this factor, once in a latency
	minFleetLimit         = 0.05            // least bound on all servers together: a share of the time
	minUnitsPerEndpoint   = 6.0             // units out at each server, by all gateways, that lateness does not cut
	limitIncrease         = 0.1             // units by which a unit answered in time lifts it
	limitDecrease         = 0.8             // and by which a late one cuts it, once an attempt
	lowPriorityReserve    = 0.5             // while pressed the cheapest work may not use this share of a limit
	minReach              = 2.0             // servers that a gateway reaches for
	reachPerUnit          = 1.0             // and more for each unit out
	warmUpMargin          = 0.8             // part of the cold budget that is used
)

// Kinds of timer, in the top byte of a token.
const (
	timerManager uint64 = iota + 1
	timerRelease
	timerSilence
	timerWatch
)

// customer is what the gateway knows of one customer (paper, Table I).
type customer struct {
	id                CustomerID
	plan              *Plan
	overuse           *overuseStats // of the plan
	setSize           float64
	inSet             bool // this gateway is in the customer's set
	avgUsage          float64
	active            bool
	lastSeen          time.Duration // last event of any kind
	updatedAt         time.Duration // up to where the stores are fed and drained
	meteredRate       float64       // last metered use, units a second
	meteredAt         time.Duration
	averagedAt        time.Duration
	hasReading        bool
	fleetTokens       float64 // quota left, over all gateways, by the meter
	gatewayTokens     float64 // the same in units sent from here, as the observed part moves
	lastEstimate      float64 // what the last request took from local
	estimatedTokens   float64 // quota left by own units over this gateway's part of the use
	ceilingTokens     float64 // this gateway's part of the ceiling's store
	rejectProbability float64 // refuseChance, the design's p
	draw              float64 // what was last drawn for a request that nothing told of, 0 for nothing
	drawnAt           time.Duration
	recentUnits       float64 // units sent from here, a sum that fades over the meter's lag
	laggedUnits       float64 // the same late and over longer, and what the meter told meanwhile:
	laggedUsage       float64 // their ratio is this gateway's part of the use
	lastRelease       time.Duration
	openRequests      int
	heldRequests      int
}

type request struct {
	Request
	class           *Class
	customer        *customer
	arrivedAt       time.Duration
	deadline        time.Duration
	queued          bool // held, or waiting for a server
	forwarded       bool // counted in the quota
	attempts        int
	inFlight        *endpoint // where an attempt is out
	attempt         int
	sentAt          time.Duration
	responseStarted bool
	countedLate     bool          // this attempt has cut the bound on all servers
	mayHaveRunOn    *endpoint     // server of the first attempt that may have run
	mayHaveRunAt    time.Duration // and when it was sent
	triedEndpoints  []EndpointID
}

type endpoint struct {
	Endpoint
	rank            uint64 // the order in which this gateway reaches for servers
	current         bool   // the roster calls it ready or draining
	listed          bool   // it is in Gateway.roster
	latencyPerUnit  float64
	lastResponse    time.Duration // last answer, or the start of the present wait
	newestAnswered  time.Duration // when the last sent of the attempts that it has answered was sent
	measuredAt      time.Duration
	inFlightUnits   float64
	inFlight        int
	failures        int
	ejected         bool
	nextTrial       time.Duration
	backoff         time.Duration
	limit           float64 // most units out from here
	nextDecrease    time.Duration
	warmUpTokens    float64
	warmUpUpdatedAt time.Duration
}

// stray is an attempt that outlasts its request: the client left, or the answer was another's.
type orphan struct {
	endpoint *endpoint
	units    float64
}

// telling is what readings tell of the units that were sent on for scattered customers, sums that fade.
type overuseStats struct{ units, overQuota float64 }

// Gateway decides for one edge node.
type Engine struct {
	cfg                Config
	actions            Actions
	rng                *rand.Rand
	requests           map[RequestID]*request
	orphans            map[RequestID]orphan
	customers          map[CustomerID]*customer
	customerList       []*customer
	endpoints          map[EndpointID]*endpoint
	endpointList       []*endpoint
	readyWeight        float64 // weight of those that are ready; each choice of a server needs it for each cold one
	peakUsage          float64 // the paper's B̂
	totalUsage         float64
	totalQuota         float64 // the paper's B
	someUnderQuota     bool    // an active customer is under its quota
	pressure           float64
	overloaded         bool
	limit              float64 // most units out from here at all servers together
	inFlightUnits      float64
	pausedUntil        time.Duration
	latencyPerUnit     float64 // mean latency of a unit
	retryTokens        float64
	forwardRate        float64 // units a second sent to the fleet, slow average
	forwardedUnits     float64
	requestedValue     float64        // worth asked for at this gateway,
	overuseCost        float64        // what it would cost if it were all beyond quotas,
	overuseCostSquared float64        // and that cost weighed by itself: over overCost, the mean cost of costly overuse
	planOveruse        []overuseStats // what readings tell of each plan; the last is of a plan that is not known
	meteredValue       float64        // worth sent on for scattered customers whose use was read, a sum that fades,
	meteredOveruseCost float64        // what of it overuse has cost by these readings,
	meteredCount       float64        // and how many requests they are
	lastManagerRun     time.Duration
	startedAt          time.Duration
}

// New returns a gateway that knows nothing but its settings.
func New(cfg Config, act Actions) *Engine {
	return &Engine{cfg: cfg, actions: act, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.GatewayIndex))),
		requests: map[RequestID]*request{}, orphans: map[RequestID]orphan{}, customers: map[CustomerID]*customer{},
		endpoints: map[EndpointID]*endpoint{}, retryTokens: maxRetryTokens,
		planOveruse: make([]overuseStats, len(cfg.Plans)+1)}
}

// Start begins the life of the gateway.
func (g *Engine) Start(now time.Duration) {
	g.startedAt, g.lastManagerRun = now, now
	g.actions.StartTimer(managerPeriod, timerManager<<56)
	if g.cfg.PolledEndpoints {
		g.actions.WatchEndpoints(true)
	}
}

// Roster takes news of the servers. What it calls draining or gone gets nothing from now on.
func (g *Engine) UpdateEndpoints(now time.Duration, kind UpdateKind, list []Endpoint) {
	if kind == UpdateFailed {
		g.actions.StartTimer(minEjection, timerWatch<<56)
		return
	}
	if kind != UpdateDelta {
		for _, s := range g.endpointList {
			s.current = false // absent from a complete list means removed
		}
	}
	for _, in := range list {
		s := g.endpoints[in.ID]
		if s == nil {
			rank := rand.NewPCG(uint64(in.ID), uint64(g.cfg.GatewayIndex)).Uint64()
			s = &endpoint{rank: rank, latencyPerUnit: g.latencyPerUnit, measuredAt: now, limit: max(1,
				g.initialLimit())}
			g.endpoints[in.ID] = s
		} else if in.StartedAt != s.StartedAt {
			// A restart under the same id is a new server: cold, with a clean slate.
			s.failures, s.ejected, s.backoff, s.latencyPerUnit = 0, false, 0, g.latencyPerUnit
		}
		if in.Weight <= 0 || math.IsNaN(in.Weight) {
			in.Weight = 1
		}
		s.Endpoint, s.current = in, in.State != StateRemoved
		if s.current && !s.listed {
			// One that went with work out is still known by its id when it comes back.
			s.listed = true
			g.endpointList = append(g.endpointList, s)
		}
	}
	kept := g.endpointList[:0]
	for _, s := range g.endpointList {
		if s.current {
			kept = append(kept, s)
			continue
		}
		s.listed = false
		if s.inFlight == 0 {
			delete(g.endpoints, s.ID)
		}
	}
	g.endpointList, g.readyWeight = kept, 0
	for _, s := range kept {
		if s.State == StateReady {
			g.readyWeight += s.Weight
		}
	}
	slices.SortFunc(kept, func(a, b *endpoint) int { return cmp.Compare(a.rank, b.rank) })
	if g.limit == 0 {
		g.limit = max(1, g.initialLimit()*float64(len(kept)))
	}
}

// Submit takes a client's request; it owes it one final answer.
func (g *Engine) Submit(now time.Duration, in Request) {
	if in.Class < 0 || in.Class >= len(g.cfg.Classes) || in.TimeLeft <= 0 {
		g.actions.Reject(in.ID, 0)
		return
	}
	if !(in.Units > 0) || math.IsInf(in.Units, 0) {
		in.Units = 1
	}
	r := &request{Request: in, class: &g.cfg.Classes[in.Class], arrivedAt: now, deadline: now + in.TimeLeft}
	r.customer = g.customerFor(now, &in)
	g.requests[in.ID] = r
	g.retryTokens = min(maxRetryTokens, g.retryTokens+retryTokensPerRequest)
	g.admit(now, r)
}

// Opened tells that an answer has begun to stream: the attempt is now the client's.
func (g *Engine) ResponseStarted(now time.Duration, id RequestID, attempt int, sid EndpointID,
	took time.Duration) {
	if s := g.endpoints[sid]; s != nil {
		s.lastResponse, s.failures = now, 0
	}
	if r := g.requests[id]; r != nil && r.inFlight != nil && r.attempt == attempt {
		r.responseStarted = true
	}
}

// ClientLeft tells that the client has gone; nothing is owed any more.
func (g *Engine) ClientDisconnected(now time.Duration, id RequestID) {
	r := g.requests[id]
	if r == nil {
		return
	}
	if r.inFlight != nil && g.cfg.CanCancel && !r.responseStarted {
		g.actions.CancelAttempt(id, r.attempt)
	}
	g.end(r)
}

// EndBy tells that this gateway ends at a given time: each open request gets its final answer by
// then, also one whose client would wait longer. What is submitted later brings a time that fits.
func (g *Engine) BeginShutdown(now, by time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		r := g.requests[id]
		r.deadline = min(r.deadline, max(now, by))
		if r.queued {
			g.actions.StartTimer(r.deadline-now, timerRelease<<56|uint64(id))
		}
	}
}

// Timer tells that a timer has come due; one that is no longer wanted is ignored.
func (g *Engine) TimerFired(now time.Duration, token uint64) {
	if !g.TimerPending(token) {
		return
	}
	r := g.requests[RequestID(token)]
	switch token >> 56 {
	case timerManager:
		g.runManager(now)
		g.actions.StartTimer(managerPeriod, token)
	case timerWatch:
		g.actions.WatchEndpoints(true)
	case timerRelease:
		r.queued = false
		r.customer.heldRequests--
		g.dispatch(now, r)
	case timerSilence:
		g.checkSilence(now, r)
	}
}

// Wants tells whether a timer that was set would still do anything. An edge node need not
// wake up for one that would not, and may drop it: that changes no decision.
func (g *Engine) TimerPending(token uint64) bool {
	r := g.requests[RequestID(token)]
	switch token >> 56 {
	case timerRelease:
		return r != nil && r.queued
	case timerSilence:
		return r != nil && r.inFlight != nil && r.attempt == int(token>>32&0xff)
	}
	return true
}

func (g *Engine) customerFor(now time.Duration, in *Request) *customer {
	c := g.customers[in.Customer]
	if c == nil {
		plan, book := &Plan{}, &g.planOveruse[len(g.cfg.Plans)]
		if in.Plan >= 0 && in.Plan < len(g.cfg.Plans) {
			plan, book = &g.cfg.Plans[in.Plan], &g.planOveruse[in.Plan]
		}
		width := float64(max(1, in.SetSize))
		c = &customer{id: in.Customer, plan: plan, overuse: book, setSize: width,
			inSet:     g.setPosition(in) < max(1, in.SetSize),
			updatedAt: now, fleetTokens: plan.Burst, estimatedTokens: plan.Burst,
			ceilingTokens: min(plan.CeilingBurst, plan.CeilingRate*(now-g.startedAt).Seconds()) / width}
		// The ceiling's part was empty at the gateway's start: a first start and a restart look
		// alike from here, and a restart fills nothing. Since then it has filled, and of a
		// customer that is unknown nothing has been sent on. The sum of all parts stays below
		// the ceiling.
		c.gatewayTokens = g.gatewayBurst(c)
		g.customers[in.Customer] = c
		g.customerList = append(g.customerList, c)
		g.totalQuota += plan.QuotaRate
		g.peakUsage = max(g.peakUsage, g.totalQuota)
	}
	c.lastSeen = now
	return c
}

// fillTime is how long an empty ceiling takes to fill.
func (p *Plan) ceilingFillTime() time.Duration {
	if p.CeilingRate <= 0 {
		return 0
	}
	return seconds(p.CeilingBurst / p.CeilingRate)
}

// place is this gateway's place in the request's set, counted round from its first.
func (g *Engine) setPosition(r *Request) int {
	n := max(1, g.cfg.GatewayCount)
	return ((g.cfg.GatewayIndex-r.SetFirst)%n + n) % n
}

// admit is the ordinary path: ceiling, quota rule, hold, pass.
func (g *Engine) admit(now time.Duration, r *request) {
	c := r.customer
	g.updateCustomer(now, c)
	g.recordRequested(r)
	if g.cfg.MaxOpenRequests > 0 && len(g.requests) > g.cfg.MaxOpenRequests {
		g.finish(now, r)
		return
	}
	soft := c.plan.OverQuotaValue > c.plan.OverQuotaCost
	if g.overQuota(now, c, r) && (g.overloaded || !soft) {
		g.finish(now, r)
		return
	}
	var wait time.Duration
	if c.plan.CeilingRate > 0 {
		// Rule 5: a request short of the ceiling's part waits until it is fed.
		if !c.inSet {
			g.finish(now, r)
			return
		}
		if short := r.Units - c.ceilingTokens; short > 0 {
			wait = seconds(short / (c.plan.CeilingRate / c.setSize))
		}
	}
	if g.overloaded && c.plan.QuotaRate > 0 && c.avgUsage >= c.plan.QuotaRate {
		hold := seconds(g.holdSeconds(c, r.Units))
		wait = max(wait, max(c.lastRelease, now)+hold-now)
	}
	bound := time.Duration(maxHoldShare * float64(r.class.LatencyObjective))
	if wait > bound || wait+g.expectedLatency(r.Units) > r.TimeLeft {
		g.finish(now, r)
		return
	}
	if c.plan.CeilingRate > 0 {
		c.ceilingTokens -= r.Units
	}
	c.lastEstimate = r.Units / g.usageShare(c)
	c.gatewayTokens -= r.Units
	if c.estimatedTokens -= c.lastEstimate / g.overcommitFactor(c); g.readingConclusive(c) {
		c.estimatedTokens = max(c.estimatedTokens,
			-maxDebtSeconds*c.plan.QuotaRate) // then one is sent on, to be told
	}
	if wait <= 0 {
		g.dispatch(now, r)
		return
	}
	c.lastRelease = now + wait
	g.hold(r, wait)
}

func (g *Engine) hold(r *request, d time.Duration) {
	r.queued = true
	r.customer.heldRequests++
	g.actions.StartTimer(d, timerRelease<<56|uint64(r.ID))
}

// beyond is the quota rule. While the metered store is empty a try is refused by chance.
// The meter trails a surge by seconds, and for a customer that is rarely answered it is
// silent: so a store of own units, scaled up by this gateway's part, decides before it.
func (g *Engine) overQuota(now time.Duration, c *customer, r *request) bool {
	if c.plan.MaxConcurrent > 0 && float64(c.openRequests) >= max(1, c.plan.MaxConcurrent/c.setSize) {
		return true
	}
	if c.plan.QuotaRate <= 0 {
		return false
	}
	switch {
	case !c.hasReading || !g.readingConclusive(c):
		if c.estimatedTokens < r.Units || g.rejectUnknown(now, c, r) {
			return true
		}
	case !g.meterDecidesAlone(c):
		if c.gatewayTokens < r.Units/2 { // units are a guess, and so is the part
			return true
		}
	}
	return c.hasReading && c.fleetTokens < r.Units && g.rng.Float64() < c.rejectProbability
}

// telling says whether a reading tells a customer's use by itself: the quota of a period holds
// some requests. Below that a reading is of one request or of none, and local decides.
func (g *Engine) readingConclusive(c *customer) bool {
	return c.plan.QuotaRate*g.cfg.MeterPeriod.Seconds() >= max(1, g.cfg.MaxRequestUnits)
}

// thin says that a store of own units can't tell of a customer: it is empty after each request,
// whatever the customer's use. The meter has to decide alone, unless what is let in beyond the quota
// in error costs as much as what is let in rightly earns.
func (g *Engine) meterDecidesAlone(c *customer) bool {
	return g.sparselySpread(c) && c.plan.OverQuotaCost < 1 && g.readingConclusive(c)
}

// scattered says that a split of the burst over the customer's gateways holds less than half of the
// least request: each gateway meets the customer once or twice in a day.
func (g *Engine) sparselySpread(c *customer) bool { return c.plan.Burst/c.setSize < minSplitUnits }

// ask counts what is asked for here, tries again included: what overuse would cost tells how much of
// it may be let pass.
func (g *Engine) recordRequested(r *request) {
	worth := r.Units * r.class.PriorityWeight * r.customer.plan.PriceFactor
	g.requestedValue += worth
	g.overuseCost += worth * r.customer.plan.OverQuotaCost
	g.overuseCostSquared += worth * r.customer.plan.OverQuotaCost * r.customer.plan.OverQuotaCost
}

// passes is the chance at which a usual request may pass where nothing tells of its customer. Overuse
// costs overTerm of all worth at that chance, if overAsked of it is beyond quotas and the customers
// who ask for that stay inside up to one part in overGreed.
func (g *Engine) admitProbability() float64 {
	if g.overuseCost <= maxOveruseCost/assumedOveruse*g.requestedValue {
		return 1
	}
	return 1/assumedExcess + (1-1/assumedExcess)*maxOveruseCost/assumedOveruse*g.requestedValue/g.overuseCost
}

// tell enters what a reading tells of a request that was sent on. A customer's use beyond its quota is
// the part of its units that are; a period in which the quota holds a request or two is read with one usual
// request more on both sides, or every other one would seem to be beyond.
func (g *Engine) recordOveruse(r *request) {
	usual := max(1, g.cfg.MaxRequestUnits) / 2 / g.cfg.MeterPeriod.Seconds()
	use := (r.customer.meteredRate + usual) / (r.customer.plan.QuotaRate + usual)
	beyond := max(0, 1-1/use)
	worth := r.Units * r.class.PriorityWeight * r.customer.plan.PriceFactor
	g.meteredValue += worth
	g.meteredOveruseCost += worth * beyond * r.customer.plan.OverQuotaCost
	g.meteredCount++
	r.customer.overuse.units += r.Units
	r.customer.overuse.overQuota += r.Units * beyond
}

// planRisk is how much of a plan's units is beyond quotas, over that of all plans, as far as readings tell.
func (g *Engine) planOveruseRatio(t *overuseStats) float64 {
	var all overuseStats
	for _, x := range g.planOveruse {
		all.units, all.overQuota = all.units+x.units, all.overQuota+x.overQuota
	}
	if all.overQuota <= 0 {
		return 1
	}
	mean, least := all.overQuota/all.units, overusePriorWeight*max(1, g.cfg.MaxRequestUnits)/2
	return (t.overQuota + least*mean) / (t.units + least) / mean
}

// tighter cuts the chance of unknown requests where readings tell that overuse costs more than the term
// all the same: how often refused tries come again elsewhere, and how much is asked beyond quotas, no
// setting tells. It never widens it, for a few answers would then open a gateway far.
func (g *Engine) overuseCorrection() float64 {
	if g.meteredValue <= 0 {
		return 1
	}
	// The term is a part of what is offered; of that the more is sent on the greater the chance.
	cost := g.meteredOveruseCost / g.meteredValue * g.admitProbability() / (overuseCostTarget * maxOveruseCost)
	return min(1, (g.meteredCount+overusePriorWeight)/(g.meteredCount*cost+overusePriorWeight))
}

// ease is by how much what passes may be more than an even part: next to nothing while much has to be
// refused, without bound where nothing has.
func (g *Engine) admitAllowance() float64 { return 1 / max(1e-3, 1-math.Pow(g.admitProbability(), 4)) }

// overcommit is how many times over a scattered customer's split is given out: it holds no request, so
// it would keep a customer out for minutes after each, also where its overuse would cost little.
func (g *Engine) overcommitFactor(c *customer) float64 {
	if c.hasReading || !g.sparselySpread(c) || c.plan.OverQuotaCost <= 0 {
		return 1
	}
	return 1 / max(1e-3, 1-g.admitProbability())
}

// risky refuses a part of the requests of scattered customers of whom nothing tells. The first one at
// each gateway would pass, and over a large set these are all that a greedy customer needs. The larger
// a request, the less likely its store holds it (counted on calm days of the full fleet: of requests
// of one unit a twentieth is beyond, of four a quarter), and the more its plan's overuse costs, the
// more it weighs. What a gateway has drawn for a customer stays, for one that asks again and again
// would else get through everywhere; it is drawn anew once an even split of its quota has earned one.
func (g *Engine) rejectUnknown(now time.Duration, c *customer, r *request) bool {
	if !g.sparselySpread(c) || c.plan.OverQuotaCost <= 0 {
		return false
	}
	if c.draw == 0 || now-c.drawnAt > seconds(r.Units*c.setSize/c.plan.QuotaRate) {
		c.draw, c.drawnAt = 1-g.rng.Float64(), now
	}
	usual := max(1, g.cfg.MaxRequestUnits) / 2
	risk := r.Units / usual * c.plan.OverQuotaCost / (g.overuseCostSquared / g.overuseCost) *
		g.planOveruseRatio(c.overuse)
	return risk*c.draw > g.admitProbability()*g.admitAllowance()*g.overuseCorrection()
}

// mostMine is this gateway's part of the burst, and a usual request at least: in a large fleet
// the part is less, and a debt of one request would last for a minute.
func (g *Engine) gatewayBurst(c *customer) float64 {
	return max(c.plan.Burst*g.usageShare(c), minBucketShare*g.cfg.MaxRequestUnits, 1)
}

// part is this gateway's observed part of a customer's use; before the meter has told
// much it is an even split over the customer's gateways.
func (g *Engine) usageShare(c *customer) float64 {
	prior := c.plan.QuotaRate * meterLagPeriods * g.cfg.MeterPeriod.Seconds() * shareLags / 4
	if prior <= 0 || !c.hasReading {
		return 1 / c.setSize
	}
	if c.meteredRate <= 0 && g.sparselySpread(c) {
		// It has begun since the period that was read: of so many gateways this one is hardly alone
		// with it, and as its only one it would be given nearly the whole quota.
		return 1 / c.setSize
	}
	return min(1, (c.laggedUnits+prior/c.setSize)/(c.laggedUsage+prior))
}

// holdFor is the paper's eq. 3, (1/d - 1/B̂) x units, in seconds and floored at zero.
func (g *Engine) holdSeconds(c *customer, units float64) float64 {
	return max(0, (1/g.availableRate(c)-1/g.peakUsage)*units) // nothing available: forever
}

// avail is d, the rate that is available to a customer.
func (g *Engine) availableRate(c *customer) float64 {
	b := c.plan.QuotaRate
	d := b
	if g.someUnderQuota {
		if c.avgUsage < b {
			d = 2*b - c.avgUsage
		}
	} else if g.totalQuota-g.totalUsage > 0 {
		d = g.totalQuota - (g.totalUsage - c.avgUsage)
	}
	return max(d, 0)
}

// advance feeds and drains a customer's stores up to now.
func (g *Engine) updateCustomer(now time.Duration, c *customer) {
	dt := (now - c.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	c.updatedAt = now
	p := c.plan
	if c.hasReading &&
		now-c.meteredAt > max(readingPeriods*g.cfg.MeterPeriod, seconds(4*c.setSize/p.QuotaRate)) {
		// No answer carries a reading any more: fall back to the split.
		c.hasReading, c.rejectProbability, c.fleetTokens, c.meteredRate = false, 0, p.Burst, 0
	}
	if period := g.cfg.MeterPeriod; c.hasReading && now-c.averagedAt >= 2*period {
		// No answer has told of the periods since: the last reading stands for them.
		missed := (now - c.averagedAt) / period
		c.averagedAt += missed * period
		c.updateRejectProbability(float64(missed))
	}
	if lag := meterLagPeriods * g.cfg.MeterPeriod.Seconds(); lag > 0 {
		slow := math.Exp(-dt / lag / shareLags)
		c.laggedUnits = c.laggedUnits*slow + c.recentUnits/lag*dt // as late as the meter
		c.recentUnits *= math.Exp(-dt / lag)
		c.laggedUsage = c.laggedUsage*slow + c.meteredRate*dt
	}
	use := c.meteredRate
	if lag := meterLagPeriods * g.cfg.MeterPeriod.Seconds(); lag > 0 && g.meterDecidesAlone(c) {
		use = max(use, c.recentUnits/lag) // what goes on from here alone shows before the meter tells
	}
	c.fleetTokens = min(p.Burst, max(0, c.fleetTokens+(p.QuotaRate-use)*dt))
	feed := p.QuotaRate * g.overcommitFactor(c)
	if c.hasReading && !g.overloaded && c.lastEstimate > p.Burst {
		// One request takes more than the burst: what readings say is unused may be used.
		feed += max(0, p.QuotaRate-c.avgUsage) / g.usageShare(c) * (1 - p.Burst/c.lastEstimate) * max(0,
			1-p.OverQuotaCost)
	}
	c.gatewayTokens = min(g.gatewayBurst(c), c.gatewayTokens+p.QuotaRate*g.usageShare(c)*dt)
	c.estimatedTokens = min(p.Burst, c.estimatedTokens+feed*dt)
	if p.CeilingRate > 0 {
		c.ceilingTokens = min(p.CeilingBurst/c.setSize, c.ceilingTokens+p.CeilingRate/c.setSize*dt)
	}
}

// meter takes a reading of a customer's use over all gateways. It works by time and
// not by answers, so it does not matter how many answers carry the same reading.
func (g *Engine) recordUsage(now time.Duration, c *customer, share float64) {
	g.updateCustomer(now, c)
	use := share * c.plan.QuotaRate
	found := !c.hasReading && g.sparselySpread(c) && g.readingConclusive(c) && use > c.plan.QuotaRate
	fresh := !c.hasReading || use != c.meteredRate || now-c.averagedAt >= g.cfg.MeterPeriod
	c.hasReading, c.meteredRate, c.meteredAt = true, use, now
	if !fresh || now-c.averagedAt < g.cfg.MeterPeriod/2 {
		return
	}
	c.averagedAt = now
	c.avgUsage += usageSmoothing * (use - c.avgUsage)
	if found {
		// Met for the first time beyond its quota: its store has emptied unseen, and that took
		// as many periods as the burst lasts.
		c.fleetTokens = 0
		c.updateRejectProbability(c.plan.Burst / c.plan.QuotaRate / g.cfg.MeterPeriod.Seconds())
		return
	}
	c.updateRejectProbability(1)
}

// settle sets the refusal chance for so many periods at the last reading.
func (c *customer) updateRejectProbability(periods float64) {
	if c.meteredRate <= 0 {
		c.rejectProbability = 0
		return
	}
	c.rejectProbability = max(0, 1-(1-c.rejectProbability)*math.Pow(c.plan.QuotaRate/c.meteredRate, periods))
}

// pass is the paper's bandwidth manager: decay the quiet, forget those near zero,
// clear the flags and lift peakUse.
func (g *Engine) runManager(now time.Duration) {
	dt := now - g.lastManagerRun
	g.lastManagerRun = now
	if s := dt.Seconds(); s > 0 {
		tau := max(10*managerPeriod, min(now-g.startedAt, 2*g.cfg.WarmUpDuration)).Seconds()
		g.forwardRate += min(1, s/tau) * (g.forwardedUnits/s - g.forwardRate)
		g.forwardedUnits = 0
	}
	fade := math.Exp(-dt.Seconds() / overuseDecay.Seconds())
	g.meteredValue, g.meteredOveruseCost, g.meteredCount = g.meteredValue*fade,
		g.meteredOveruseCost*fade, g.meteredCount*fade
	for i := range g.planOveruse {
		g.planOveruse[i] = overuseStats{g.planOveruse[i].units * fade, g.planOveruse[i].overQuota * fade}
	}
	g.totalUsage, g.totalQuota, g.someUnderQuota = 0, 0, false
	kept := g.customerList[:0]
	for _, c := range g.customerList {
		g.updateCustomer(now, c)
		if !c.hasReading {
			c.avgUsage -= usageSmoothing * c.avgUsage * min(1, dt.Seconds()/max(g.cfg.MeterPeriod,
				managerPeriod).Seconds())
		}
		idle := c.openRequests == 0 && c.heldRequests == 0 &&
			now-c.lastSeen > max(g.cfg.WarmUpDuration, c.plan.ceilingFillTime())
		if idle && c.avgUsage <= forgetBelow*c.plan.QuotaRate {
			delete(g.customers, c.id)
			continue
		}
		kept = append(kept, c)
		g.totalUsage += c.avgUsage
		g.totalQuota += c.plan.QuotaRate
		g.someUnderQuota = g.someUnderQuota || c.active && c.avgUsage < c.plan.QuotaRate
		c.active = false
	}
	clear(g.customerList[len(kept):])
	g.customerList = kept
	g.peakUsage = max(g.peakUsage, g.totalUsage, g.totalQuota)
}

// press follows latency against the aim, with hysteresis; a full refusal weighs as an
// answer at twice the aim.
func (g *Engine) recordLatency(ratio float64) {
	g.pressure += pressureSmoothing * (min(ratio, 2) - g.pressure)
	g.overloaded = g.pressure > overloadEnter || g.overloaded && g.pressure > overloadLeave
}

// expect is what a request of these units should take.
func (g *Engine) expectedLatency(units float64) time.Duration {
	return seconds(g.latencyPerUnit * units)
}

// dispatch sends a request to the cheapest server that may take it. With none it waits
// a little, as long as its aim allows.
func (g *Engine) dispatch(now time.Duration, r *request) {
	if now >= r.deadline || g.overloaded && r.attempts == 0 &&
		now+g.expectedLatency(r.Units) > r.arrivedAt+r.class.LatencyObjective {
		// It cannot be in time: refused before it costs work.
		g.finish(now, r)
		return
	}
	s := g.chooseEndpoint(now, r)
	if now < g.pausedUntil || g.inFlightUnits > 0 && g.inFlightUnits+r.Units > g.limit {
		s = nil
	}
	if s == nil {
		g.recordLatency(2) // no server has room: the bound keeps latency low, so it is the sign of pressure
		gap := r.class.LatencyObjective / 16
		if r.attempts == 0 &&
			now+gap < min(r.deadline, r.arrivedAt+time.Duration(maxHoldShare*float64(r.class.LatencyObjective))) {
			g.hold(r, gap)
			return
		}
		g.finish(now, r)
		return
	}
	s.warmUpTokens -= r.Units // of no account once it is warm
	if !r.forwarded {
		r.forwarded = true
		r.customer.active = true
		r.customer.openRequests++
		r.customer.recentUnits += r.Units
	}
	g.forwardedUnits += r.Units
	if s.inFlight == 0 {
		s.lastResponse = now
	}
	s.inFlight++
	s.inFlightUnits += r.Units
	g.inFlightUnits += r.Units
	if s.ejected {
		s.nextTrial = now + max(s.backoff, minEjection) // one request tries it at a time
	}
	r.inFlight, r.attempt, r.sentAt, r.countedLate = s, r.attempts, now, false
	r.attempts++
	r.triedEndpoints = append(r.triedEndpoints, s.ID)
	g.actions.Forward(r.ID, s.ID, r.deadline)
	g.actions.StartTimer(g.silenceTimeout(r), timerSilence<<56|uint64(r.attempt&0xff)<<32|uint64(r.ID))
}

func (g *Engine) silenceTimeout(r *request) time.Duration {
	overdue := 1.01 * endpointLateThreshold * r.class.LatencyObjective.Seconds()
	return seconds(min(max(silenceFactor*g.latencyPerUnit*r.Units,
		r.class.LatencyObjective.Seconds()/4), overdue))
}

// pick returns the cheapest server the rules allow, or nil.
func (g *Engine) chooseEndpoint(now time.Duration, r *request) *endpoint {
	var best *endpoint
	bestCost, reach := math.Inf(1), minReach+reachPerUnit*g.inFlightUnits
	for _, s := range g.endpointList {
		cold := g.warmth(now, s) < 1 // its store bounds it, so every gateway may use it
		if reach <= 0 && !cold {
			continue
		}
		if s.State != StateReady || !g.attemptAllowed(now, r, s) || !g.warmUpBudgetAllows(now, s, r.Units) {
			continue
		}
		if s.ejected && now < s.trialTime(r) || s.inFlight > 0 && s.inFlightUnits+r.Units > s.limit {
			continue
		}
		if g.overloaded &&
			s.inFlightUnits+r.Units > s.limit*(1-lowPriorityReserve*(1-g.relativePriority(r))) && s.inFlight > 0 {
			continue
		}
		if !cold {
			reach--
		}
		cost := g.cost(now, s, r.Units)
		if slices.Contains(r.triedEndpoints, s.ID) {
			cost *= 4
		}
		if s.Zone != g.cfg.Zone {
			cost *= crossZonePenalty
		}
		cost *= 1 + 0.02*g.rng.Float64() // near ties are spread
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// trialFor is when an ejected server may be tried with a request. One that must not run twice
// is lost where the trial fails, so others go first for a while.
func (s *endpoint) trialTime(r *request) time.Duration {
	if r.class.Idempotency == NonIdempotent {
		return s.nextTrial + maxEjection
	}
	return s.nextTrial
}

// cost is the time a request should take at a server. A server with work out that has
// said nothing for longer than usual costs the time of its silence on top: this guards
// against stalls and silent crashes alike, which load reports cannot show.
func (g *Engine) cost(now time.Duration, s *endpoint, units float64) float64 {
	fade := min(1, (now-s.measuredAt).Seconds()/latencyDecay.Seconds())
	per := s.latencyPerUnit + fade*(g.latencyPerUnit-s.latencyPerUnit)
	cost := max(per, 1e-6) * (s.inFlightUnits + units) / s.Weight
	if s.inFlight > 0 {
		if quiet := (now - s.lastResponse).Seconds(); quiet > 2*g.latencyPerUnit*s.inFlightUnits/float64(s.inFlight) {
			cost += quiet
		}
	}
	return cost
}

// warmth is the least share of its capacity that a server has by now.
func (g *Engine) warmth(now time.Duration, s *endpoint) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || g.cfg.WarmUpDuration <= 0 || age >= g.cfg.WarmUpDuration {
		return 1
	}
	from := min(1, max(0.01, g.cfg.WarmUpInitialCapacity))
	return from + (1-from)*max(0, age.Seconds())/g.cfg.WarmUpDuration.Seconds()
}

// coldRate is what this gateway may send a cold server, in units a second: the server's
// present share of what an equal warm one got, on a slow average that remembers the time
// before trouble.
func (g *Engine) warmUpRate(now time.Duration, s *endpoint) float64 {
	return warmUpMargin * max(1, g.cfg.WarmUpOverloadFactor) * g.warmth(now,
		s) * g.forwardRate * s.Weight / g.readyWeight
}

// coldRoom keeps rule 4: a store on each cold server, fed at coldRate, that a send may take
// below nothing. It begins below nothing by chance, by up to one request: a hundred gateways
// that hear of a start at once then send their first work spread over the time in which the
// rate earns it, and the sum over all of them is the budget, however few requests each has.
func (g *Engine) warmUpBudgetAllows(now time.Duration, s *endpoint, units float64) bool {
	if g.warmth(now, s) >= 1 {
		return true
	}
	if s.warmUpUpdatedAt <= s.StartedAt {
		s.warmUpUpdatedAt, s.warmUpTokens = max(s.StartedAt, now), -units*g.rng.Float64()
	}
	rate := g.warmUpRate(now, s)
	s.warmUpTokens = min(rate*g.cfg.WarmUpOverloadWindow.Seconds()/2,
		s.warmUpTokens+rate*(now-s.warmUpUpdatedAt).Seconds())
	s.warmUpUpdatedAt = now
	return s.warmUpTokens > 0
}

// worth is what a unit of the request earns, against the dearest plan and class.
func (g *Engine) relativePriority(r *request) float64 {
	most := 0.0
	for _, c := range g.cfg.Classes {
		for _, p := range g.cfg.Plans {
			most = max(most, c.PriorityWeight*p.PriceFactor)
		}
	}
	if most <= 0 {
		return 1
	}
	return r.class.PriorityWeight * r.customer.plan.PriceFactor / most
}

// mayGo keeps rule 2 for a further attempt: anywhere while none may have run; then only
// inside the group that drops repeats, and only while it remembers.
func (g *Engine) attemptAllowed(now time.Duration, r *request, s *endpoint) bool {
	if r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency != IdempotentByKey || now >= r.mayHaveRunAt+r.class.KeyTTL {
		return false
	}
	switch r.class.KeyScope {
	case KeyScopeZone:
		return s.Zone == r.mayHaveRunOn.Zone
	case KeyScopeCell:
		return s.Cell == r.mayHaveRunOn.Cell
	}
	return true
}

// mayRefuse says whether a refusal may still be given (rule 2).
func (r *request) canReject() bool {
	return r.inFlight == nil && r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent
}

// Finished takes the outcome of one attempt.
func (g *Engine) AttemptFinished(now time.Duration, o AttemptResult) {
	s := g.endpoints[o.Endpoint]
	r := g.requests[o.Request]
	units := 1.0
	ours := r != nil && r.inFlight != nil && r.attempt == o.Attempt
	if ours {
		units = r.Units
		g.releaseInFlight(r.inFlight, units)
	} else if x, ok := g.orphans[o.Request]; ok && r == nil {
		units = x.units
		g.releaseInFlight(x.endpoint, units)
		delete(g.orphans, o.Request)
	}
	if s != nil {
		g.recordResult(now, s, o, units, r)
	}
	if r == nil {
		return
	}
	if o.HasUsage && r.customer.plan.QuotaRate > 0 && g.cfg.MeterPeriod > 0 {
		g.recordUsage(now, r.customer, o.Usage)
		if ours && o.Status == StatusOK && g.sparselySpread(r.customer) {
			g.recordOveruse(r)
		}
	}
	switch o.Status {
	case StatusOK:
		g.recordLatency(o.Latency.Seconds() / r.class.LatencyObjective.Seconds())
	case StatusRejected, StatusTimedOut:
		g.recordLatency(2)
	}
	if ours {
		never := o.Status == StatusOK || o.Status == StatusRejected || o.Status == StatusConnectFailed ||
			o.Status == StatusNotSent
		if !never && r.mayHaveRunOn == nil {
			r.mayHaveRunOn, r.mayHaveRunAt = r.inFlight, r.sentAt
		}
		r.inFlight = nil
	}
	if o.RequestDone {
		g.end(r)
		return
	}
	// Once more where rules, time and the retry budget allow.
	capped := g.cfg.MaxAttempts > 0 && r.attempts >= g.cfg.MaxAttempts
	if !ours {
		return
	} else if r.deadline-now <= g.expectedLatency(r.Units) || g.retryTokens < 1 || capped {
		g.finish(now, r)
		return
	}
	g.retryTokens--
	g.dispatch(now, r)
}

// impatient moves an attempt away from a server that has said nothing since it was sent.
func (g *Engine) checkSilence(now time.Duration, r *request) {
	s := r.inFlight
	if r.responseStarted { // a stream is the client's and may last
		return
	}
	// The bound is blind until an answer comes: one that is overdue counts as late already.
	age := now - r.sentAt
	if !r.overtaken() {
		g.adjustLimits(now, s, r, age.Seconds() > endpointLateThreshold*r.class.LatencyObjective.Seconds(), age)
	}
	if !g.cfg.CanCancel || now >= r.deadline {
		return
	}
	// Only past what an answer takes of late: when every server is slow, or many gateways
	// share one, moving attempts would only multiply the work. Past that the answer is held to
	// be lost, also when the server has answered others meanwhile; if not, the server is silent.
	due := seconds(silenceFactor * g.latencyPerUnit * r.Units)
	capped := g.cfg.MaxAttempts > 0 && r.attempts >= g.cfg.MaxAttempts
	keyed := r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentByKey &&
		now < r.sentAt+r.class.KeyTTL
	if age >= due && keyed && !capped && g.retryTokens >= 1 && r.deadline-now > g.expectedLatency(r.Units) {
		if s.lastResponse <= r.sentAt {
			g.recordFailure(now, s)
		}
		g.actions.CancelAttempt(r.ID, r.attempt)
		return
	}
	again := g.silenceTimeout(r)
	if age < due {
		again = due - age
	}
	g.actions.StartTimer(again, timerSilence<<56|uint64(r.attempt&0xff)<<32|uint64(r.ID))
}

// lost tells whether an attempt's answer seems lost: its server has answered what was sent
// after it. That tells nothing of load, and bounds that take it for lateness close on a fleet
// that is well.
func (r *request) overtaken() bool { return r.inFlight != nil && r.sentAt < r.inFlight.newestAnswered }

// finish gives the final answer: a refusal while the client may safely retry, else a failure.
func (g *Engine) finish(now time.Duration, r *request) {
	if r.canReject() {
		var advice time.Duration
		if g.cfg.SendRetryAfter && r.customer.plan.QuotaRate > 0 {
			advice = min(g.cfg.MaxRetryAfter, seconds(r.Units/r.customer.plan.QuotaRate))
		}
		g.actions.Reject(r.ID, advice)
	} else {
		g.actions.Fail(r.ID)
	}
	g.end(r)
}

func (g *Engine) end(r *request) {
	if r.queued {
		r.queued = false
		r.customer.heldRequests--
	}
	if r.forwarded {
		r.customer.openRequests--
	}
	if r.inFlight != nil {
		g.orphans[r.ID] = orphan{r.inFlight, r.Units}
	}
	delete(g.requests, r.ID)
}

// giveBack ends an attempt's part of the units out: exactly what it took, also when its
// request or its server is no longer known. What is not given back closes the bounds for ever.
func (g *Engine) releaseInFlight(s *endpoint, units float64) {
	s.inFlight--
	s.inFlightUnits, g.inFlightUnits = max(0, s.inFlightUnits-units), max(0, g.inFlightUnits-units)
	if s.inFlight == 0 {
		s.inFlightUnits = 0
		if !s.listed {
			delete(g.endpoints, s.ID)
		}
	}
}

// observe learns of a server from an outcome.
func (g *Engine) recordResult(now time.Duration, s *endpoint, o AttemptResult, units float64, r *request) {
	lost := r != nil && o.Status == StatusTimedOut && r.sentAt < s.newestAnswered
	if r != nil && o.Status != StatusCancelled && o.Status != StatusNotSent && !lost {
		late := o.Latency.Seconds() > endpointLateThreshold*r.class.LatencyObjective.Seconds()
		// Failures cut the limit like lateness: a server that fails part of its work fast
		// has room all the time, and never fails often enough in a row to be ejected.
		g.adjustLimits(now, s, r, late && !r.responseStarted ||
			o.Status != StatusOK, max(o.Latency, g.expectedLatency(units)))
	}
	switch o.Status {
	case StatusOK:
		per := o.Latency.Seconds() / units
		if g.latencyPerUnit == 0 {
			g.latencyPerUnit = per
		}
		g.latencyPerUnit += latencySmoothing / 4 * (per - g.latencyPerUnit)
		if s.latencyPerUnit == 0 {
			s.latencyPerUnit = per
		}
		s.latencyPerUnit += latencySmoothing * (per - s.latencyPerUnit)
		s.measuredAt, s.lastResponse = now, now
		if r != nil {
			s.newestAnswered = max(s.newestAnswered, r.sentAt)
		}
		s.failures, s.ejected, s.backoff = 0, false, 0
	case StatusRejected:
		s.lastResponse = now
		s.latencyPerUnit = max(s.latencyPerUnit, g.latencyPerUnit) * 1.5
		s.measuredAt = now
		g.recordFailure(now, s) // it may be draining, seconds before the roster says so
	case StatusServerError, StatusConnectFailed, StatusReset:
		s.lastResponse = now
		g.recordFailure(now, s)
	}
}

// bound sets how many units may be out at a server: up by one request a round while
// answers come well inside the aim, down by a share, once in a latency, when they do not.
// The design has no lever when nobody is over quota and the back end is pressed still:
// this keeps the queue at the gateway, where stale work costs nothing. It should also hold
// against servers that slow down for any cause; a tight aim may leave cores idle.
// Where a gateway visits a server seldom, one server's answers tell too late. A bound on all
// servers together moves by a part of each answer, late at half the aim; below one unit out
// it is a share of the time, and the gateway rests between.
func (g *Engine) adjustLimits(now time.Duration, s *endpoint, r *request, late bool, took time.Duration) {
	units := r.Units
	if !late {
		if s.inFlightUnits+units >= s.limit/2 {
			s.limit += min(s.limit, units*units/s.limit)
		}
	} else if now >= s.nextDecrease {
		s.limit, s.nextDecrease = max(1, s.limit*endpointLimitDecrease), now+took
	}
	if took.Seconds() < lateThreshold*r.class.LatencyObjective.Seconds() {
		if g.inFlightUnits+units >= g.limit/2 || g.limit < g.initialLimit()*float64(len(g.endpointList)) {
			g.limit += limitIncrease * units
		}
	} else if !r.countedLate {
		r.countedLate = true
		g.limit = max(g.minLimit(now), g.limit-limitDecrease*units)
		g.pausedUntil = now + min(maxEjection, seconds(took.Seconds()*(1/g.limit-1))) // past, from one unit up
	}
}

// leastLimit is this gateway's part of leastEach units at every ready server, by its warmth. So
// little out makes no queue, so cutting further cures no lateness; and a gateway of a large
// fleet, which hears few answers, would need minutes to open again.
func (g *Engine) minLimit(now time.Duration) float64 {
	sum := 0.0
	for _, s := range g.endpointList {
		if s.State == StateReady {
			sum += g.warmth(now, s)
		}
	}
	return max(minFleetLimit, minUnitsPerEndpoint*sum/float64(max(1, g.cfg.GatewayCount)))
}

// firstLimit is this gateway's part of the units that may be put at a server unasked.
func (g *Engine) initialLimit() float64 {
	return initialEndpointLimit / float64(max(1, g.cfg.GatewayCount))
}

// fault counts a failure against a server; failsToDrop in a row eject it, for a time that
// doubles, but never so many that the rest would be pushed over.
func (g *Engine) recordFailure(now time.Duration, s *endpoint) {
	s.failures++
	if s.ejected {
		s.backoff = min(maxEjection, 2*max(s.backoff, minEjection/2))
		s.nextTrial = now + s.backoff
		return
	}
	if s.failures < ejectAfterFailures {
		return
	}
	out, ready := 0, 0
	for _, o := range g.endpointList {
		if o.State == StateReady {
			ready++
			if o.ejected {
				out++
			}
		}
	}
	if float64(out+1) <= maxEjectedShare*float64(ready) {
		s.ejected, s.backoff, s.nextTrial = true, minEjection, now+minEjection
	}
}

func seconds(s float64) time.Duration {
	if !(s < 1e6) {
		return 1e6 * time.Second
	}
	return time.Duration(s * float64(time.Second))
}
