package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/settings"
	"springfield/policy"
)

// The values of emulator.Class.Idempotency and Scope are those of the gateways' settings.
const (
	idempotencyRepeatable = settings.RepeatIdempotent
	idempotencyByKey      = settings.RepeatDeduplicated
	idempotencyNever      = settings.RepeatAtMostOnce
	scopeAll              = settings.GroupAll
	scopeZone             = settings.GroupZone
	scopeCell             = settings.GroupCell
)

// latestAbandonment is the latest time at which an impatient client disconnects, as a share of the time that it would
// wait for its first try.
const latestAbandonment = 0.5

// Arrival is one try of a client: a request whose last byte is sent to a gateway at a given time.
type Arrival struct {
	At                time.Duration // Unix time of the run
	Request, Original emulator.RequestKey
	Gateway           int
	Customer          policy.CustomerID
	Plan, Class       int
	Units, TrueUnits  float64
	Work              time.Duration // on one core of an endpoint of speed 1; the same in every try
	SetFirst, SetSize int
	Deadline          time.Duration // Unix time when the client gives this try up
	LastDeadline      time.Duration // Unix time when the client gives up altogether
	AbandonAt         time.Duration // Unix time when the client disconnects early, in whatever try; 0: never
	Try               int           // 0 for the first one
}

// Offered describes the load that a workload offers before any bursts of all customers.
type Offered struct {
	Customers      int
	CapacityUnits  float64 // units a second that all endpoints can do
	InQuotaUnits   float64 // units a second requested inside the quotas
	RequestedUnits float64 // units a second requested in all
}

// Workload is the clients of a run. Arrivals are independent of answers: an open loop. The first tries depend on the
// scenario and the seed alone, and a client's retry on these and on what went before it, so that different deciders
// face the same clients.
type Workload struct {
	scenario  *emulator.Scenario
	seed      uint64
	start     time.Duration
	random    *rand.Rand
	customers []customer
	pending   arrivalQueue // the next arrival of each customer
	classes   []float64    // cumulative shares
	offered   Offered
	sent      uint64 // first tries so far
}

// NewWorkload returns the clients of a valid scenario. Their first requests come at start or later.
func NewWorkload(scenario *emulator.Scenario, seed uint64, start time.Duration) *Workload {
	w := &Workload{
		scenario: scenario,
		seed:     seed,
		start:    start,
		random:   rand.New(rand.NewPCG(seed, streamArrivals)),
		classes:  cumulativeShares(scenario.Classes),
	}
	w.customers = newCustomers(scenario, rand.New(rand.NewPCG(seed, streamCustomers)))
	w.offered = offeredBy(scenario, w.customers)
	w.pending = make(arrivalQueue, 0, len(w.customers))
	for i := range w.customers {
		if at, ok := w.nextTime(&w.customers[i], 0); ok {
			w.pending = append(w.pending, pendingArrival{at: at, customer: i})
		}
	}
	heap.Init(&w.pending)
	return w
}

// Offered returns what the clients request.
func (w *Workload) Offered() Offered { return w.offered }

// Next returns the first tries in order of time, and false once there are no more.
func (w *Workload) Next() (Arrival, bool) {
	if len(w.pending) == 0 {
		return Arrival{}, false
	}
	next := w.pending[0]
	sender := &w.customers[next.customer]
	arrival := w.firstTry(sender, next.at)
	if at, ok := w.nextTime(sender, next.at); ok {
		w.pending[0].at = at
		heap.Fix(&w.pending, 0)
	} else {
		heap.Pop(&w.pending)
	}
	return arrival, true
}

// nextTime draws when a customer sends its next request after a given time, both after the start. The second result is
// false once the load is over.
func (w *Workload) nextTime(sender *customer, after time.Duration) (time.Duration, bool) {
	wanted := w.random.ExpFloat64() // the expected requests until then, in a Poisson process of any rate
	for at := after; at < w.scenario.Length.AsDuration(); {
		rate, until := w.requestRate(sender, at)
		until = min(until, w.scenario.Length.AsDuration())
		expected := rate * (until - at).Seconds()
		if wanted < expected {
			return at + scaled(time.Second, wanted/rate), true
		}
		wanted -= expected
		at = until
	}
	return 0, false
}

// requestRate returns how many requests a second a customer sends at a time after the start, and until when.
func (w *Workload) requestRate(sender *customer, at time.Duration) (rate float64, until time.Duration) {
	clients := &w.scenario.Clients
	rate, until = sender.rateAt(at, clients.SpikeLength.AsDuration())
	rate /= meanUnits(clients)
	begin, end := clients.BurstAt.AsDuration(), clients.BurstAt.AsDuration()+clients.BurstLength.AsDuration()
	switch {
	case at < begin:
		return rate, min(until, begin)
	case at < end:
		return rate * clients.BurstFactor, min(until, end)
	default:
		return rate, until
	}
}

// meanUnits returns the mean units of a request, which are drawn evenly from the whole numbers from 1 to MaxUnits.
func meanUnits(clients *emulator.Clients) float64 { return float64(1+clients.MaxUnits) / 2 }

// firstTry draws the request that a customer sends at a given time after the start.
func (w *Workload) firstTry(sender *customer, at time.Duration) Arrival {
	w.sent++
	class := w.drawClass()
	deadline := w.scenario.Classes[class].Deadline.AsDuration()
	units := float64(1 + w.random.IntN(w.scenario.Clients.MaxUnits))
	key := w.keyOf(w.sent - 1)
	arrival := Arrival{
		At:           w.start + at,
		Request:      key,
		Original:     key,
		Gateway:      w.drawGateway(sender.id, sender.setFirst, sender.setSize, w.start+at, w.random),
		Customer:     sender.id,
		Plan:         sender.plan,
		Class:        class,
		Units:        w.guessOf(units),
		TrueUnits:    units,
		Work:         drawWork(&w.scenario.Classes[class], units, w.random),
		SetFirst:     sender.setFirst,
		SetSize:      sender.setSize,
		LastDeadline: w.start + at + deadline,
	}
	wait := w.drawPatience(deadline, w.random)
	arrival.Deadline = arrival.At + wait
	if w.random.Float64() < w.scenario.Clients.Abandon {
		arrival.AbandonAt = arrival.At + max(1, scaled(wait, latestAbandonment*w.random.Float64()))
	}
	return arrival
}

// keyOf returns the key of a first try. The keys that follow it belong to its retries.
func (w *Workload) keyOf(number uint64) emulator.RequestKey {
	return emulator.RequestKey(1 + number*uint64(w.scenario.Clients.Retries+1))
}

// drawGateway draws the gateway through which a customer sends: the busiest one of its set most likely, which changes
// from time to time, then those that follow it.
func (w *Workload) drawGateway(
	id policy.CustomerID, setFirst, setSize int, at time.Duration, random *rand.Rand,
) int {
	rank := drawRank(setSize, w.scenario.Clients.Skew, random)
	busiest := w.busiestPosition(id, setSize, at)
	return (setFirst + (busiest+rank)%setSize) % w.scenario.Gateways
}

// busiestPosition returns the position in a customer's set of the gateway that gets most of its requests at a given
// time. It changes every ShiftEvery, at times that differ from customer to customer.
func (w *Workload) busiestPosition(id policy.CustomerID, setSize int, at time.Duration) int {
	customerHash := mix(w.seed ^ mix(uint64(id)))
	period := uint64(0)
	if shift := w.scenario.Clients.ShiftEvery.AsDuration(); shift > 0 {
		phase := time.Duration(customerHash % uint64(shift))
		period = uint64((at - w.start + phase) / shift)
	}
	return int(mix(customerHash+period) % uint64(setSize))
}

func (w *Workload) drawClass() int {
	draw := w.random.Float64() * w.classes[len(w.classes)-1]
	for class, upTo := range w.classes {
		if draw < upTo {
			return class
		}
	}
	return len(w.classes) - 1
}

// guessOf draws the units that a request carries where its true units are settled afterwards.
func (w *Workload) guessOf(units float64) float64 {
	if !w.scenario.Meter.Settled || w.scenario.Meter.GuessErr <= 0 {
		return units
	}
	// A log-normal factor of mean 1 has this standard deviation of the logarithm.
	sigma := math.Sqrt(math.Log1p(w.scenario.Meter.GuessErr * w.scenario.Meter.GuessErr))
	guess := units * math.Exp(sigma*w.random.NormFloat64()-sigma*sigma/2)
	return min(max(guess, 1), float64(w.scenario.Clients.MaxUnits))
}

// drawPatience draws how long a client waits for one try.
func (w *Workload) drawPatience(deadline time.Duration, random *rand.Rand) time.Duration {
	least := w.scenario.Clients.Patience
	return scaled(deadline, least+(1-least)*random.Float64())
}

// drawWork draws the work of a request.
func drawWork(class *emulator.Class, units float64, random *rand.Rand) time.Duration {
	factor := 1 + class.WorkSpread*(2*random.Float64()-1)
	return scaled(class.Work.AsDuration(), units*factor)
}

func cumulativeShares(classes []emulator.Class) []float64 {
	sums := make([]float64, len(classes))
	total := 0.0
	for i := range classes {
		total += classes[i].Share
		sums[i] = total
	}
	return sums
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// pendingArrival is the time after the start of a customer's next request.
type pendingArrival struct {
	at       time.Duration
	customer int
}

type arrivalQueue []pendingArrival

func (q arrivalQueue) Len() int { return len(q) }

func (q arrivalQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].customer < q[j].customer
}

func (q arrivalQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *arrivalQueue) Push(x any) { *q = append(*q, x.(pendingArrival)) }

// Pop implements heap.Interface.
func (q *arrivalQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
