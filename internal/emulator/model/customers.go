package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// Streams of random numbers that are drawn from the seed of a run.
const (
	streamCustomers uint64 = iota + 1
	streamArrivals
	streamRetries
)

// Bounds on the use of customers, as shares of their quota.
const (
	calmUseSpread  = 0.5  // calm customers use CalmUse times 1 - this to 1 + this
	calmUseMost    = 0.95 // and no more than this
	fullUseLeast   = 0.85 // customers who use nearly all of their quota
	fullUseMost    = 0.98
	spikeGapSpread = 0.5 // pauses between spikes are the mean times 1 - this to 1 + this
)

// concurrencyHeadroom is how many times the attempts that its customers keep in flight a plan without a rate allows.
const concurrencyHeadroom = 2

// leastSetSize is the least number of gateways that carry a customer, if there are so many.
const leastSetSize = 2

// leastUse is the use in units a second below which no further customer is added.
const leastUse = 1e-9

// Customer ids are numbers below 2^33 that tell nothing of the order in which the customers were drawn.
const (
	customerIDMask    = 1<<33 - 1
	customerIDScatter = 0x9e3779b1 // odd, so that ids differ
)

// customer sends at one rate, or at a higher one during its spikes.
type customer struct {
	id                policy.CustomerID
	plan              int
	rate              float64         // units a second outside of spikes
	spikeRate         float64         // units a second in spikes
	spikes            []time.Duration // their begins after the start, in order
	setFirst, setSize int
}

// rateAt returns how many units a second the customer requests at a time after the start, and until when.
func (c *customer) rateAt(at, spikeLength time.Duration) (rate float64, until time.Duration) {
	next, found := slices.BinarySearch(c.spikes, at)
	if found {
		next++
	}
	if next > 0 && at < c.spikes[next-1]+spikeLength {
		return c.spikeRate, c.spikes[next-1] + spikeLength
	}
	if next < len(c.spikes) {
		return c.rate, c.spikes[next]
	}
	return c.rate, math.MaxInt64
}

// EndpointWork returns how many units a second all endpoints can do when they are warm.
func EndpointWork(scenario *emulator.Scenario) (capacityUnits float64) {
	cores := float64(scenario.Endpoints.Count * scenario.Endpoints.Cores)
	return cores / workPerUnit(scenario.Classes).Seconds()
}

// workPerUnit returns the mean work of a unit on a core.
func workPerUnit(classes []emulator.Class) time.Duration {
	work, shares := 0.0, 0.0
	for i := range classes {
		work += classes[i].Share * float64(classes[i].Work)
		shares += classes[i].Share
	}
	return time.Duration(work / shares)
}

// quota is the token bucket of a plan as the clients reckon with it.
type quota struct{ rate, burst float64 }

// quotaOf returns a plan's token bucket. A plan that bounds the attempts in flight alone has the rate that leaves
// concurrencyHeadroom on idle endpoints.
func quotaOf(scenario *emulator.Scenario, plan *emulator.Plan) quota {
	if plan.Rate > 0 {
		return quota{plan.Rate, plan.Burst}
	}
	return quota{rate: plan.MaxConcurrent / concurrencyHeadroom / workPerUnit(scenario.Classes).Seconds()}
}

// use returns how many units a second of a customer's requests are inside the quota over the length of a run, as one
// gateway that saw all of them would count. Requests are taken as a steady stream at the customer's rate.
func (q quota) use(c *customer, length, spikeLength time.Duration) float64 {
	level, inside := q.burst, 0.0
	for at := time.Duration(0); at < length; {
		rate, until := c.rateAt(at, spikeLength)
		until = min(until, length)
		seconds := (until - at).Seconds()
		if rate <= q.rate {
			inside += rate * seconds
			level = min(q.burst, level+(q.rate-rate)*seconds)
		} else {
			fromBurst := min(level, (rate-q.rate)*seconds)
			inside += q.rate*seconds + fromBurst
			level -= fromBurst
		}
		at = until
	}
	return inside / length.Seconds()
}

// newCustomers draws customers of each plan until their use inside the quotas is the plan's share of the load.
func newCustomers(scenario *emulator.Scenario, random *rand.Rand) []customer {
	shares := 0.0
	for i := range scenario.Plans {
		shares += scenario.Plans[i].Share
	}
	load := scenario.Clients.Load * EndpointWork(scenario)
	var customers []customer
	for plan := range scenario.Plans {
		use := load * scenario.Plans[plan].Share / shares
		customers = appendPlanCustomers(customers, scenario, plan, use, random)
	}
	return customers
}

// appendPlanCustomers appends customers of a plan until their use inside the quota is the given one. The last customer
// is a steady one who uses what the others leave.
func appendPlanCustomers(
	customers []customer, scenario *emulator.Scenario, plan int, use float64, random *rand.Rand,
) []customer {
	bucket := quotaOf(scenario, &scenario.Plans[plan])
	habits := newHabitSequence(&scenario.Clients, random)
	for use > leastUse {
		next := customer{
			id:   policy.CustomerID((uint64(len(customers)) + 1) * customerIDScatter & customerIDMask),
			plan: plan,
		}
		next.setFirst, next.setSize = drawSet(scenario, &scenario.Plans[plan], random)
		next.drawRates(scenario, bucket.rate, habits.next(), random)
		nextUse := bucket.use(&next, scenario.Length.AsDuration(), scenario.Clients.SpikeLength.AsDuration())
		if nextUse > use {
			nextUse = use
			next.rate, next.spikes = use, nil
		}
		use -= nextUse
		customers = append(customers, next)
	}
	return customers
}

// drawRates draws how much a customer of some habit requests.
func (c *customer) drawRates(scenario *emulator.Scenario, quotaRate float64, kind habit, random *rand.Rand) {
	clients := &scenario.Clients
	switch kind {
	case habitGreedy:
		c.rate = clients.GreedyFactor * quotaRate
	case habitFull:
		c.rate = quotaRate * between(fullUseLeast, fullUseMost, random)
	default:
		use := clients.CalmUse * between(1-calmUseSpread, 1+calmUseSpread, random)
		c.rate = quotaRate * min(use, calmUseMost)
	}
	if kind == habitSpiky {
		c.spikeRate = clients.SpikeFactor * quotaRate
		c.spikes = drawSpikes(clients, scenario.Length.AsDuration(), random)
	}
}

// drawSpikes draws when the spikes of a customer begin. They do not overlap.
func drawSpikes(clients *emulator.Clients, length time.Duration, random *rand.Rand) []time.Duration {
	pause := clients.SpikeEvery.AsDuration() - clients.SpikeLength.AsDuration()
	var begins []time.Duration
	for at := scaled(clients.SpikeEvery.AsDuration(), random.Float64()); at < length; {
		begins = append(begins, at)
		at += clients.SpikeLength.AsDuration() + scaled(pause, between(1-spikeGapSpread, 1+spikeGapSpread, random))
	}
	return begins
}

// drawSet draws the gateways that carry a customer: some in a row, counted round. Under a ceiling there are no more of
// them than can hold two of the largest requests each of the ceiling's burst.
func drawSet(scenario *emulator.Scenario, plan *emulator.Plan, random *rand.Rand) (first, size int) {
	share := between(scenario.Clients.SetMin, scenario.Clients.SetMax, random)
	size = int(math.Round(share * float64(scenario.Gateways)))
	if plan.CeilingRate > 0 {
		size = min(size, int(plan.CeilingBurst/float64(2*scenario.Clients.MaxUnits)))
	}
	size = min(max(size, leastSetSize), scenario.Gateways)
	return random.IntN(scenario.Gateways), size
}

// drawRank draws one of count ranks from 0, of which rank r has a weight of about (r+1)^-skew.
func drawRank(count int, skew float64, random *rand.Rand) int {
	if skew <= 0 {
		return random.IntN(count)
	}
	// The inverse of the distribution function of the density x^-skew from 1 to count + 1.
	draw, end := random.Float64(), float64(count+1)
	var x float64
	if power := 1 - skew; math.Abs(power) < 1e-9 {
		x = math.Pow(end, draw)
	} else {
		x = math.Pow(1+draw*(math.Pow(end, power)-1), 1/power)
	}
	return min(int(x)-1, count-1)
}

// offeredBy adds up what customers request.
func offeredBy(scenario *emulator.Scenario, customers []customer) Offered {
	offered := Offered{Customers: len(customers), CapacityUnits: EndpointWork(scenario)}
	length, spikeLength := scenario.Length.AsDuration(), scenario.Clients.SpikeLength.AsDuration()
	unlimited := quota{rate: math.Inf(1)}
	for i := range customers {
		c := &customers[i]
		bucket := quotaOf(scenario, &scenario.Plans[c.plan])
		offered.InQuotaUnits += bucket.use(c, length, spikeLength)
		offered.RequestedUnits += unlimited.use(c, length, spikeLength)
	}
	return offered
}

// habit is how a customer makes use of its quota.
type habit uint8

const (
	habitCalm habit = iota
	habitFull
	habitGreedy
	habitSpiky
)

// habitSequence gives the habits of customers such that the share of each is kept as well as it can be also among a few
// of them: it steps round a circle by the golden ratio.
type habitSequence struct {
	clients  *emulator.Clients
	position float64
}

func newHabitSequence(clients *emulator.Clients, random *rand.Rand) *habitSequence {
	return &habitSequence{clients: clients, position: random.Float64()}
}

func (s *habitSequence) next() habit {
	_, s.position = math.Modf(s.position + math.Phi - 1)
	full := s.clients.FullShare
	greedy := full + s.clients.GreedyShare
	spiky := greedy + s.clients.SpikyShare
	switch {
	case s.position < full:
		return habitFull
	case s.position < greedy:
		return habitGreedy
	case s.position < spiky:
		return habitSpiky
	default:
		return habitCalm
	}
}

// between draws a number from least to most.
func between(least, most float64, random *rand.Rand) float64 {
	return least + (most-least)*random.Float64()
}

// mix scatters the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
