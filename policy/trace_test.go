package policy

import (
	"container/heap"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// traceDay is one seeded day of a small simulated fleet. Its gateways meet bursts, faults, slow
// and restarting servers, late usage readings, and a shutdown at the end.
type traceDay struct {
	name     string
	seed     uint64
	gateways int
	servers  int
	rate     float64 // requests a second over the fleet
	greedy   bool    // all customers ask for more than their quotas
	change   func(*Config)
	want     string // SHA-256 of all actions, in order
}

// TestRecordedDecisions keeps every decision of these days as it was recorded. A refactoring
// leaves the hashes alone; a change of a decision records them anew and says so in its commit.
func TestRecordedDecisions(t *testing.T) {
	for _, day := range []traceDay{
		{name: "small fleet", seed: 1, gateways: 3, servers: 8, rate: 120, change: func(*Config) {},
			want: "ffc5651f112dff95e96541580f80b9ac34f6222350aeb40cba8a8ce9cb40f538"},
		{name: "overloaded fleet", seed: 2, gateways: 2, servers: 4, rate: 160, change: func(c *Config) {
			c.MaxOpenRequests, c.MaxAttempts = 40, 3
		}, want: "7118efc2d34d22120e94b9c07bbb85a2d49fe6fc773758ec2a2840c0baafc96e"},
		{name: "large fleet", seed: 3, gateways: 40, servers: 24, rate: 400, change: func(c *Config) {
			for i := range c.Plans {
				c.Plans[i].Burst = 8
			}
		}, want: "4a8e87eda052a0e858bcfe7844f3a6aeeaa06ffd14bdfa9487f0810e4a96b6cc"},
		{name: "costly overuse", seed: 4, gateways: 24, servers: 12, rate: 250, change: func(c *Config) {
			for i := range c.Plans {
				c.Plans[i].QuotaRate, c.Plans[i].Burst, c.Plans[i].OverQuotaCost = 2, 5, 1.2
			}
		}, want: "ebd73379633c6d9b3cd14be42185e794eba43e61a8465d22e2d726a63c4356f5"},
		{name: "no meter, no cancel, lists on request", seed: 5, gateways: 4, servers: 8, rate: 120,
			change: func(c *Config) {
				c.MeterPeriod, c.CanCancel, c.PolledEndpoints, c.SendRetryAfter, c.MaxRequestUnits = 0, false, true, false, 0
			}, want: "0191bf5ab48bf9e0b95fe94c9fce1eb6ca334117b93d0da46f09aeeb40af0f28"},
		{name: "open-request quotas and ceilings", seed: 6, gateways: 3, servers: 6, rate: 100, change: func(c *Config) {
			c.Plans[0].MaxConcurrent = 4
			c.Plans[1].QuotaRate, c.Plans[1].MaxConcurrent = 0, 6
			c.Plans[2].CeilingRate, c.Plans[2].CeilingBurst = 6, 12
		}, want: "8580ab9d5c75715840bae332ae584d7d6f2c9001c89e8d83330e247c519761f6"},
		{name: "greedy customers alone", seed: 7, gateways: 2, servers: 8, rate: 150, greedy: true,
			change: func(*Config) {}, want: "150c539617957638f05d0163856c2fbdad374a8c84f25f961ab8e19a6d143f1d"},
	} {
		t.Run(day.name, func(t *testing.T) {
			w := newTraceWorld(day)
			w.run(20 * time.Second)
			if got := hex.EncodeToString(w.sum.Sum(nil)); got != day.want {
				t.Errorf("actions hash to %s, recorded %s (%v)", got, day.want, w.counts)
			}
		})
	}
}

// traceWorld plays servers, clients, the usage meter and discovery to its gateways.
type traceWorld struct {
	day      traceDay
	cfg      Config
	rng      *rand.Rand
	now      time.Duration
	queue    traceQueue
	order    int
	gateways []*traceGateway
	servers  []*traceServer
	nextID   RequestID
	used     map[CustomerID]map[int64]float64 // units by metering period
	sum      hash.Hash
	counts   map[string]int
}

type traceServer struct {
	Endpoint
	slow   float64 // factor on its service time
	busy   time.Duration
	faulty bool
}

// traceGateway is one gateway and the attempts that are out from it.
type traceGateway struct {
	world    *traceWorld
	number   int
	gw       *Engine
	requests map[RequestID]*traceRequest
}

type traceRequest struct {
	Request
	attempts int
	out      int // the attempt that is out, -1 without one
	server   EndpointID
	sentAt   time.Duration
}

type traceEvent struct {
	at    time.Duration
	order int
	play  func()
}

type traceQueue []traceEvent

func (q traceQueue) Len() int { return len(q) }
func (q traceQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q traceQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *traceQueue) Push(x any)   { *q = append(*q, x.(traceEvent)) }
func (q *traceQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newTraceWorld(day traceDay) *traceWorld {
	cfg := config()
	cfg.GatewayCount = day.gateways
	cfg.Classes[1].KeyScope = []KeyScope{KeyScopeFleet, KeyScopeZone, KeyScopeCell}[day.seed%3]
	day.change(&cfg)
	w := &traceWorld{day: day, cfg: cfg, rng: rand.New(rand.NewPCG(day.seed, 0)), now: time.Hour,
		used: map[CustomerID]map[int64]float64{}, sum: sha256.New(), counts: map[string]int{}}
	for i := range day.servers {
		w.servers = append(w.servers, &traceServer{slow: 0.5 + w.rng.Float64(), faulty: i%6 == 5,
			Endpoint: Endpoint{ID: EndpointID(100 + i), Weight: float64(1 + i%2), State: StateReady, Zone: i % 2, Cell: i % 3}})
	}
	for i := range day.gateways {
		g := &traceGateway{world: w, number: i, requests: map[RequestID]*traceRequest{}}
		cfg.GatewayIndex, cfg.Zone, cfg.Seed = i, i%2, day.seed*1000+uint64(i)
		g.gw = New(cfg, g)
		g.gw.Start(w.now)
		g.gw.UpdateEndpoints(w.now, UpdateCached, w.list())
		w.gateways = append(w.gateways, g)
	}
	return w
}

func (w *traceWorld) list() []Endpoint {
	var out []Endpoint
	for _, s := range w.servers {
		out = append(out, s.Endpoint)
	}
	return out
}

func (w *traceWorld) after(d time.Duration, play func()) {
	w.order++
	heap.Push(&w.queue, traceEvent{w.now + max(0, d), w.order, play})
}

func (w *traceWorld) run(length time.Duration) {
	end := w.now + length
	w.after(0, w.arrive)
	w.after(2*time.Second, w.changeServers)
	w.after(length-time.Second, func() {
		for _, g := range w.gateways {
			g.gw.BeginShutdown(w.now, w.now+700*ms)
		}
	})
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(traceEvent)
		w.now = e.at
		e.play()
	}
}

// arrive submits a request of a random customer and plans the next arrival. A third of the time is a burst.
func (w *traceWorld) arrive() {
	rate := w.day.rate
	if int(w.now/time.Second)%6 >= 4 {
		rate *= 2
	}
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), w.arrive)
	number := w.rng.IntN(40)
	if w.day.greedy || w.rng.IntN(3) == 0 {
		number = w.rng.IntN(4) // greedy
	}
	width := 1 + number%w.day.gateways
	plan := number % 4 // the last is not known
	r := &traceRequest{out: -1, Request: Request{Class: w.rng.IntN(len(w.cfg.Classes)), Plan: plan,
		Customer: CustomerID(number), Units: float64(1 + w.rng.IntN(4)), SetSize: width, SetFirst: number,
		TimeLeft: time.Duration(100+w.rng.IntN(1900)) * ms}}
	g := w.gateways[(number+w.rng.IntN(width))%w.day.gateways]
	w.nextID++
	r.ID = w.nextID
	g.requests[r.ID] = r
	if w.rng.IntN(25) == 0 {
		w.after(time.Duration(w.rng.IntN(400))*ms, func() { g.leave(r) })
	}
	g.gw.Submit(w.now, r.Request)
}

// changeServers drains, removes, restarts and slows servers down, and tells of it.
func (w *traceWorld) changeServers() {
	w.after(1500*ms, w.changeServers)
	s := w.servers[w.rng.IntN(len(w.servers))]
	kind := UpdateDelta
	switch w.rng.IntN(6) {
	case 0:
		s.State = StateDraining
	case 1:
		s.State = StateRemoved
	case 2, 3:
		s.State, s.StartedAt = StateReady, w.now
	case 4:
		s.slow *= 4
	default:
		kind = UpdateFull
	}
	list := []Endpoint{s.Endpoint}
	if kind == UpdateFull {
		list = w.list()
	}
	for i, g := range w.gateways {
		w.after(time.Duration(50*(i%8))*ms, func() {
			if w.rng.IntN(10) == 0 {
				g.gw.UpdateEndpoints(w.now, UpdateFailed, nil)
			}
			g.gw.UpdateEndpoints(w.now, kind, list)
		})
	}
}

func (w *traceWorld) note(g *traceGateway, kind string, values ...any) {
	w.counts[kind]++
	fmt.Fprintln(w.sum, int64(w.now), g.number, kind, values)
}

// reading is a customer's use in the last period that the meter has added up, against its quota.
func (w *traceWorld) reading(r *traceRequest) (float64, bool) {
	if w.cfg.MeterPeriod <= 0 || r.Plan >= len(w.cfg.Plans) || w.cfg.Plans[r.Plan].QuotaRate <= 0 {
		return 0, false
	}
	period := int64((w.now-400*ms)/w.cfg.MeterPeriod) - 1
	use := w.used[r.Customer][period] / w.cfg.MeterPeriod.Seconds() / w.cfg.Plans[r.Plan].QuotaRate
	return math.Round(use*100) / 100, true
}

// leave lets the client of a request close its connection.
func (g *traceGateway) leave(r *traceRequest) {
	if g.requests[r.ID] == r {
		g.gw.ClientDisconnected(g.world.now, r.ID)
		delete(g.requests, r.ID)
	}
}

// Send plays the server: its answer, fault or silence.
func (g *traceGateway) Forward(id RequestID, server EndpointID, until time.Duration) {
	w := g.world
	w.note(g, "send", id, server, int64(until))
	r := g.requests[id]
	s := w.servers[server-100]
	number := r.attempts
	r.attempts++
	r.out, r.server, r.sentAt = number, server, w.now
	if number == 0 {
		if w.used[r.Customer] == nil {
			w.used[r.Customer] = map[int64]float64{}
		}
		w.used[r.Customer][int64(w.now/time.Second)] += r.Units
	}
	work := time.Duration(s.slow * r.Units * (0.5 + w.rng.Float64()) * float64(10*ms))
	s.busy = max(s.busy, w.now) + work/2
	took := s.busy - w.now + work/2
	status := StatusOK
	switch x := w.rng.IntN(40); {
	case s.State != StateReady || s.busy-w.now > 600*ms:
		status, took = StatusRejected, 2*ms
	case s.faulty && x < 10:
		status = []Status{StatusServerError, StatusReset, StatusConnectFailed, StatusRejected}[x%4]
	case x == 20:
		took = time.Hour // silent
	case x == 21:
		status, took = StatusNotSent, 0
	}
	if took > until-w.now {
		status, took = StatusTimedOut, until-w.now
	}
	if x := w.rng.IntN(60); x == 0 && status == StatusOK {
		w.after(took/2, func() { g.gw.ResponseStarted(w.now, id, number, server, took/2) })
	}
	w.after(took, func() { g.answer(r, number, server, status) })
}

// answer ends an attempt, unless it was cancelled meanwhile.
func (g *traceGateway) answer(r *traceRequest, number int, server EndpointID, status Status) {
	w := g.world
	if r.out != number {
		return
	}
	r.out = -1
	open := g.requests[r.ID] == r
	o := AttemptResult{Request: r.ID, Attempt: number, Endpoint: server, Status: status, Latency: w.now - r.sentAt,
		RequestDone: status == StatusOK || !open}
	if status == StatusOK || status == StatusServerError || status == StatusRejected {
		o.Usage, o.HasUsage = w.reading(r)
	}
	if status == StatusOK {
		delete(g.requests, r.ID)
	}
	g.gw.AttemptFinished(w.now, o)
}

// Refuse ends a request.
func (g *traceGateway) Reject(id RequestID, retryAfter time.Duration) {
	g.world.note(g, "refuse", id, int64(retryAfter))
	delete(g.requests, id)
}

// Fail ends a request.
func (g *traceGateway) Fail(id RequestID) {
	g.world.note(g, "fail", id)
	delete(g.requests, id)
}

// Cancel ends an attempt; its outcome follows as an event of its own.
func (g *traceGateway) CancelAttempt(id RequestID, attempt int) {
	g.world.note(g, "cancel", id, attempt)
	r := g.requests[id]
	if r == nil || r.out != attempt {
		return
	}
	server := r.server
	g.world.after(0, func() { g.answer(r, attempt, server, StatusCancelled) })
}

// SetTimer plans a Timer event.
func (g *traceGateway) StartTimer(after time.Duration, token uint64) {
	g.world.note(g, "timer", int64(after))
	g.world.after(after, func() { g.gw.TimerFired(g.world.now, token) })
}

// Watch is recorded.
func (g *traceGateway) WatchEndpoints(on bool) { g.world.note(g, "watch", on) }
