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

// Values of emulator.Class.Idempotency and emulator.Class.Scope. The settings of the gateways use the same values.
const (
	idempotencyRepeatable = settings.RepeatIdempotent
	idempotencyByKey      = settings.RepeatDeduplicated
	idempotencyNever      = settings.RepeatAtMostOnce
	scopeAll              = settings.GroupAll
	scopeZone             = settings.GroupZone
	scopeCell             = settings.GroupCell
)

// maxAbandonFraction is the latest time at which a client that abandons its request disconnects, as a share of the
// time that it would wait for its first try.
const maxAbandonFraction = 0.5

// Arrival is one try of a client: a request whose last byte is sent to a gateway at the time At.
type Arrival struct {
	At                time.Duration       // Unix time
	Request, Original emulator.RequestKey // key of this try, and key of the first try of the same request
	Gateway           int                 // number of the gateway that the try is sent to
	Customer          policy.CustomerID
	Plan, Class       int           // indices in Scenario.Plans and Scenario.Classes
	Units, TrueUnits  float64       // size stated in the request, and the size that the usage is settled to
	Work              time.Duration // work on one core of an endpoint of speed 1; the same in every try
	SetFirst, SetSize int           // gateways that carry the customer: SetSize of them in a row from SetFirst
	Deadline          time.Duration // Unix time at which the client gives up this try
	LastDeadline      time.Duration // Unix time at which the client gives up the request with all its tries
	AbandonAt         time.Duration // Unix time at which the client disconnects early, in whichever try; 0: never
	Try               int           // number of the try; 0 for the first
}

// Offered describes the load that a workload offers, without the burst of all customers.
type Offered struct {
	Customers      int
	CapacityUnits  float64 // units a second that all endpoints together can process when warm
	InQuotaUnits   float64 // units a second requested within the quotas
	RequestedUnits float64 // units a second requested in total, within the quotas and over them
}

// Workload generates the requests of all clients of a run. It is an open loop: arrivals do not wait for answers. First
// tries depend on the scenario and the seed alone, and a retry depends in addition on the earlier tries of its request
// and their answers, so that different deciders face the same clients.
type Workload struct {
	scenario      *emulator.Scenario
	seed          uint64
	start         time.Duration
	random        *rand.Rand
	customers     []customer
	pending       arrivalQueue // next arrival of each customer
	classShares   []float64    // cumulative shares of the classes, by class
	offered       Offered
	firstTryCount uint64 // first tries generated so far
}

// NewWorkload returns the workload of a valid scenario. No request arrives before start.
func NewWorkload(scenario *emulator.Scenario, seed uint64, start time.Duration) *Workload {
	w := &Workload{
		scenario:    scenario,
		seed:        seed,
		start:       start,
		random:      StreamArrivals.Random(seed),
		classShares: cumulativeShares(scenario.Classes),
	}
	w.customers = newCustomers(scenario, StreamCustomers.Random(seed))
	w.offered = offeredLoad(scenario, w.customers)
	w.pending = make(arrivalQueue, 0, len(w.customers))
	for i := range w.customers {
		if at, ok := w.nextSendTime(&w.customers[i], 0); ok {
			w.pending = append(w.pending, pendingArrival{at: at, customer: i})
		}
	}
	heap.Init(&w.pending)
	return w
}

// Offered returns the load that the clients offer.
func (w *Workload) Offered() Offered { return w.offered }

// Next returns the next first try in order of time, and false once there are no more.
func (w *Workload) Next() (Arrival, bool) {
	if len(w.pending) == 0 {
		return Arrival{}, false
	}
	next := w.pending[0]
	sender := &w.customers[next.customer]
	arrival := w.firstTry(sender, next.at)
	if at, ok := w.nextSendTime(sender, next.at); ok {
		w.pending[0].at = at
		heap.Fix(&w.pending, 0)
	} else {
		heap.Pop(&w.pending)
	}
	return arrival, true
}

// nextSendTime draws when a customer sends its next request after the given time. Both times count from the start of
// the load. The second result is false once the load is over.
func (w *Workload) nextSendTime(sender *customer, after time.Duration) (time.Duration, bool) {
	// Requests form a Poisson process: the integral of the rate from one request to the next is exponential with mean 1.
	remaining := w.random.ExpFloat64()
	for at := after; at < w.scenario.Length.AsDuration(); {
		rate, until := w.requestRate(sender, at)
		until = min(until, w.scenario.Length.AsDuration())
		expected := rate * (until - at).Seconds()
		if remaining < expected {
			return at + scaleDuration(time.Second, remaining/rate), true
		}
		remaining -= expected
		at = until
	}
	return 0, false
}

// requestRate returns the requests a second that a customer sends at a time after the start of the load, and the time
// until which it keeps this rate.
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

// meanUnits returns the mean units of a request. Units are drawn uniformly from the integers 1 to MaxUnits.
func meanUnits(clients *emulator.Clients) float64 { return float64(1+clients.MaxUnits) / 2 }

// firstTry draws the request that a customer sends at the given time after the start of the load.
func (w *Workload) firstTry(sender *customer, at time.Duration) Arrival {
	w.firstTryCount++
	class := w.drawClass()
	deadline := w.scenario.Classes[class].Deadline.AsDuration()
	units := float64(1 + w.random.IntN(w.scenario.Clients.MaxUnits))
	key := w.requestKey(w.firstTryCount - 1)
	arrival := Arrival{
		At:           w.start + at,
		Request:      key,
		Original:     key,
		Gateway:      w.drawGateway(sender.id, sender.setFirst, sender.setSize, w.start+at, w.random),
		Customer:     sender.id,
		Plan:         sender.plan,
		Class:        class,
		Units:        w.estimateUnits(units),
		TrueUnits:    units,
		Work:         drawWork(&w.scenario.Classes[class], units, w.random),
		SetFirst:     sender.setFirst,
		SetSize:      sender.setSize,
		LastDeadline: w.start + at + deadline,
	}
	wait := w.drawPatience(deadline, w.random)
	arrival.Deadline = arrival.At + wait
	if w.random.Float64() < w.scenario.Clients.Abandon {
		arrival.AbandonAt = arrival.At + max(1, scaleDuration(wait, maxAbandonFraction*w.random.Float64()))
	}
	return arrival
}

// requestKey returns the key of the first try with the given number. The Clients.Retries keys after it are reserved
// for its retries.
func (w *Workload) requestKey(number uint64) emulator.RequestKey {
	return emulator.RequestKey(1 + number*uint64(w.scenario.Clients.Retries+1))
}

// drawGateway draws the gateway through which a customer sends. The busiest gateway of the customer's set is the most
// likely one, and each gateway after it is less likely than the one before. Which gateway is the busiest changes over
// time.
func (w *Workload) drawGateway(
	id policy.CustomerID, setFirst, setSize int, at time.Duration, random *rand.Rand,
) int {
	rank := drawRank(setSize, w.scenario.Clients.Skew, random)
	busiest := w.busiestPosition(id, setSize, at)
	return (setFirst + (busiest+rank)%setSize) % w.scenario.Gateways
}

// busiestPosition returns the position in a customer's gateway set of the gateway that gets most of its requests at
// the given time. The position changes every Clients.ShiftEvery, at times that differ between customers.
func (w *Workload) busiestPosition(id policy.CustomerID, setSize int, at time.Duration) int {
	customerHash := splitMix64(w.seed ^ splitMix64(uint64(id)))
	period := uint64(0)
	if shift := w.scenario.Clients.ShiftEvery.AsDuration(); shift > 0 {
		phase := time.Duration(customerHash % uint64(shift))
		period = uint64((at - w.start + phase) / shift)
	}
	return int(splitMix64(customerHash+period) % uint64(setSize))
}

// drawClass draws the class of a request by the shares of the classes.
func (w *Workload) drawClass() int {
	draw := w.random.Float64() * w.classShares[len(w.classShares)-1]
	for class, bound := range w.classShares {
		if draw < bound {
			return class
		}
	}
	return len(w.classShares) - 1
}

// estimateUnits draws the units that a request states. They differ from its true units only if Meter.Settled is set,
// which means that the charge is corrected to the true units afterwards.
func (w *Workload) estimateUnits(units float64) float64 {
	if !w.scenario.Meter.Settled || w.scenario.Meter.GuessErr <= 0 {
		return units
	}
	// A log-normal factor with mean 1 has the standard deviation GuessErr if its logarithm has the deviation sigma.
	sigma := math.Sqrt(math.Log1p(w.scenario.Meter.GuessErr * w.scenario.Meter.GuessErr))
	estimate := units * math.Exp(sigma*w.random.NormFloat64()-sigma*sigma/2)
	return min(max(estimate, 1), float64(w.scenario.Clients.MaxUnits))
}

// drawPatience draws how long a client waits for the answer to one try: from the share Clients.Patience of the deadline
// up to the whole deadline.
func (w *Workload) drawPatience(deadline time.Duration, random *rand.Rand) time.Duration {
	minShare := w.scenario.Clients.Patience
	return scaleDuration(deadline, minShare+(1-minShare)*random.Float64())
}

// drawWork draws the work of a request on one core at speed 1.
func drawWork(class *emulator.Class, units float64, random *rand.Rand) time.Duration {
	factor := 1 + class.WorkSpread*(2*random.Float64()-1)
	return scaleDuration(class.Work.AsDuration(), units*factor)
}

// cumulativeShares returns, for each class, the sum of the shares of the classes up to it.
func cumulativeShares(classes []emulator.Class) []float64 {
	sums := make([]float64, len(classes))
	total := 0.0
	for i := range classes {
		total += classes[i].Share
		sums[i] = total
	}
	return sums
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// pendingArrival is the next request of a customer.
type pendingArrival struct {
	at       time.Duration // counted from the start of the load
	customer int           // index in Workload.customers
}

// arrivalQueue is a heap of pending arrivals, ordered by time and then by customer.
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
