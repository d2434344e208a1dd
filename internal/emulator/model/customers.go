package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// Ranges from which the usage of customers is drawn. Usage is a share of the quota, and a spread is relative to the
// mean.
const (
	calmUseSpread  = 0.5  // calm customers use CalmUse times 1 - calmUseSpread to 1 + calmUseSpread
	maxCalmUse     = 0.95 // maximum usage of calm customers
	minFullUse     = 0.85 // minimum usage of customers who use nearly all of their quota
	maxFullUse     = 0.98 // maximum usage of customers who use nearly all of their quota
	spikeGapSpread = 0.5  // pauses between spikes are the mean times 1 - spikeGapSpread to 1 + spikeGapSpread
)

// concurrencyHeadroom is the ratio of MaxConcurrent to the attempts that a customer at its quota keeps in flight on
// idle endpoints. It defines the quota rate of a plan that has no rate.
const concurrencyHeadroom = 2

// minSetSize is the minimum number of gateways that carry a customer. A smaller deployment uses all of its gateways.
const minSetSize = 2

// minRemainingUse is the in-quota load of a plan, in units a second, below which no further customer is added.
const minRemainingUse = 1e-9

// Customer ids are numbers below 2^33 that do not reveal the order in which the customers were drawn.
const (
	customerIDMask       = 1<<33 - 1
	customerIDMultiplier = 0x9e3779b1 // odd, so that all ids differ
)

// customer sends requests at one rate, and at another rate during its spikes.
type customer struct {
	id                policy.CustomerID
	plan              int             // index of the plan in Scenario.Plans
	rate              float64         // units a second outside of spikes
	spikeRate         float64         // units a second in spikes
	spikeStarts       []time.Duration // starts of the spikes, counted from the start of the load, in order
	setFirst, setSize int             // gateways that carry the customer: setSize of them in a row from setFirst
}

// rateAt returns the units a second that the customer requests at a time after the start of the load, and the time
// until which it keeps this rate.
func (c *customer) rateAt(at, spikeLength time.Duration) (rate float64, until time.Duration) {
	next, found := slices.BinarySearch(c.spikeStarts, at)
	if found {
		next++
	}
	if next > 0 && at < c.spikeStarts[next-1]+spikeLength {
		return c.spikeRate, c.spikeStarts[next-1] + spikeLength
	}
	if next < len(c.spikeStarts) {
		return c.rate, c.spikeStarts[next]
	}
	return c.rate, math.MaxInt64
}

// EndpointCapacity returns how many units a second all endpoints together can process when they are warm.
func EndpointCapacity(scenario *emulator.Scenario) (capacityUnits float64) {
	cores := float64(scenario.Endpoints.Count * scenario.Endpoints.Cores)
	return cores / workPerUnit(scenario.Classes).Seconds()
}

// workPerUnit returns the mean work of a unit on a core at speed 1.
func workPerUnit(classes []emulator.Class) time.Duration {
	work, shares := 0.0, 0.0
	for i := range classes {
		work += classes[i].Share * float64(classes[i].Work)
		shares += classes[i].Share
	}
	return time.Duration(work / shares)
}

// quota is the token bucket of a plan, with a rate in units a second and a burst in units. It serves to calculate which
// part of a customer's load is within the quota.
type quota struct{ rate, burst float64 }

// quotaOf returns the token bucket of a plan. A plan that limits only the attempts in flight gets the rate at which its
// customers keep MaxConcurrent / concurrencyHeadroom attempts in flight on idle endpoints.
func quotaOf(scenario *emulator.Scenario, plan *emulator.Plan) quota {
	if plan.Rate > 0 {
		return quota{plan.Rate, plan.Burst}
	}
	return quota{rate: plan.MaxConcurrent / concurrencyHeadroom / workPerUnit(scenario.Classes).Seconds()}
}

// inQuotaRate returns how many units a second of a customer's requests are within the quota, averaged over the length
// of a run. The quota is counted over all gateways together, and requests are treated as a continuous flow at the
// customer's rate.
func (q quota) inQuotaRate(c *customer, length, spikeLength time.Duration) float64 {
	level, inQuota := q.burst, 0.0
	for at := time.Duration(0); at < length; {
		rate, until := c.rateAt(at, spikeLength)
		until = min(until, length)
		seconds := (until - at).Seconds()
		if rate <= q.rate {
			inQuota += rate * seconds
			level = min(q.burst, level+(q.rate-rate)*seconds)
		} else {
			fromBurst := min(level, (rate-q.rate)*seconds)
			inQuota += q.rate*seconds + fromBurst
			level -= fromBurst
		}
		at = until
	}
	return inQuota / length.Seconds()
}

// newCustomers draws customers of each plan until their in-quota usage equals the plan's share of the load.
func newCustomers(scenario *emulator.Scenario, random *rand.Rand) []customer {
	shares := 0.0
	for i := range scenario.Plans {
		shares += scenario.Plans[i].Share
	}
	load := scenario.Clients.Load * EndpointCapacity(scenario)
	var customers []customer
	for plan := range scenario.Plans {
		use := load * scenario.Plans[plan].Share / shares
		customers = appendPlanCustomers(customers, scenario, plan, use, random)
	}
	return customers
}

// appendPlanCustomers appends customers of a plan until their in-quota usage adds up to inQuotaRate. The last customer
// has a constant rate that makes up the remainder.
func appendPlanCustomers(
	customers []customer, scenario *emulator.Scenario, plan int, inQuotaRate float64, random *rand.Rand,
) []customer {
	bucket := quotaOf(scenario, &scenario.Plans[plan])
	patterns := newPatternSequence(&scenario.Clients, random)
	for inQuotaRate > minRemainingUse {
		next := customer{
			id:   policy.CustomerID((uint64(len(customers)) + 1) * customerIDMultiplier & customerIDMask),
			plan: plan,
		}
		next.setFirst, next.setSize = drawSet(scenario, &scenario.Plans[plan], random)
		next.drawRates(scenario, bucket.rate, patterns.next(), random)
		nextUse := bucket.inQuotaRate(&next, scenario.Length.AsDuration(), scenario.Clients.SpikeLength.AsDuration())
		if nextUse > inQuotaRate {
			nextUse = inQuotaRate
			next.rate, next.spikeStarts = inQuotaRate, nil
		}
		inQuotaRate -= nextUse
		customers = append(customers, next)
	}
	return customers
}

// drawRates draws the rates and spikes of a customer with the given usage pattern.
func (c *customer) drawRates(scenario *emulator.Scenario, quotaRate float64, pattern usagePattern, random *rand.Rand) {
	clients := &scenario.Clients
	switch pattern {
	case patternGreedy:
		c.rate = clients.GreedyFactor * quotaRate
	case patternFull:
		c.rate = quotaRate * uniform(minFullUse, maxFullUse, random)
	default:
		use := clients.CalmUse * uniform(1-calmUseSpread, 1+calmUseSpread, random)
		c.rate = quotaRate * min(use, maxCalmUse)
	}
	if pattern == patternSpiky {
		c.spikeRate = clients.SpikeFactor * quotaRate
		c.spikeStarts = drawSpikes(clients, scenario.Length.AsDuration(), random)
	}
}

// drawSpikes draws when the spikes of a customer start. Spikes do not overlap.
func drawSpikes(clients *emulator.Clients, length time.Duration, random *rand.Rand) []time.Duration {
	pause := clients.SpikeEvery.AsDuration() - clients.SpikeLength.AsDuration()
	var starts []time.Duration
	for at := scaleDuration(clients.SpikeEvery.AsDuration(), random.Float64()); at < length; {
		starts = append(starts, at)
		at += clients.SpikeLength.AsDuration() + scaleDuration(pause, uniform(1-spikeGapSpread, 1+spikeGapSpread, random))
	}
	return starts
}

// drawSet draws the gateways that carry a customer: consecutive numbers, which wrap around. With a ceiling, the set is
// small enough that each gateway's part of the ceiling's burst holds two requests of the largest size, but it has at
// least minSetSize gateways.
func drawSet(scenario *emulator.Scenario, plan *emulator.Plan, random *rand.Rand) (first, size int) {
	share := uniform(scenario.Clients.SetMin, scenario.Clients.SetMax, random)
	size = int(math.Round(share * float64(scenario.Gateways)))
	if plan.CeilingRate > 0 {
		size = min(size, int(plan.CeilingBurst/float64(2*scenario.Clients.MaxUnits)))
	}
	size = min(max(size, minSetSize), scenario.Gateways)
	return random.IntN(scenario.Gateways), size
}

// drawRank draws a rank from 0 to count - 1. The probability of rank r is about proportional to (r+1)^-skew.
func drawRank(count int, skew float64, random *rand.Rand) int {
	if skew <= 0 {
		return random.IntN(count)
	}
	// x is the inverse of the distribution function of the density x^-skew on the range 1 to count + 1.
	draw, end := random.Float64(), float64(count+1)
	var x float64
	if power := 1 - skew; math.Abs(power) < 1e-9 {
		x = math.Pow(end, draw)
	} else {
		x = math.Pow(1+draw*(math.Pow(end, power)-1), 1/power)
	}
	return min(int(x)-1, count-1)
}

// offeredLoad adds up the load that the customers offer.
func offeredLoad(scenario *emulator.Scenario, customers []customer) Offered {
	offered := Offered{Customers: len(customers), CapacityUnits: EndpointCapacity(scenario)}
	length, spikeLength := scenario.Length.AsDuration(), scenario.Clients.SpikeLength.AsDuration()
	unlimited := quota{rate: math.Inf(1)}
	for i := range customers {
		c := &customers[i]
		bucket := quotaOf(scenario, &scenario.Plans[c.plan])
		offered.InQuotaUnits += bucket.inQuotaRate(c, length, spikeLength)
		offered.RequestedUnits += unlimited.inQuotaRate(c, length, spikeLength)
	}
	return offered
}

// usagePattern is how a customer uses its quota.
type usagePattern uint8

// The usage patterns of customers.
const (
	patternCalm   usagePattern = iota // stays below the quota
	patternFull                       // uses nearly all of the quota
	patternGreedy                     // exceeds the quota all the time
	patternSpiky                      // exceeds the quota in spikes, and is calm between them
)

// patternSequence generates the usage patterns of successive customers. It draws from a low-discrepancy sequence, the
// multiples of the golden ratio modulo 1 from a random start, so that even a few customers have each pattern at about
// its share.
type patternSequence struct {
	clients  *emulator.Clients
	position float64 // current element of the sequence, from 0 to 1
}

func newPatternSequence(clients *emulator.Clients, random *rand.Rand) *patternSequence {
	return &patternSequence{clients: clients, position: random.Float64()}
}

func (s *patternSequence) next() usagePattern {
	_, s.position = math.Modf(s.position + math.Phi - 1)
	full := s.clients.FullShare
	greedy := full + s.clients.GreedyShare
	spiky := greedy + s.clients.SpikyShare
	switch {
	case s.position < full:
		return patternFull
	case s.position < greedy:
		return patternGreedy
	case s.position < spiky:
		return patternSpiky
	default:
		return patternCalm
	}
}

// uniform draws a number uniformly from minimum to maximum.
func uniform(minimum, maximum float64, random *rand.Rand) float64 {
	return minimum + (maximum-minimum)*random.Float64()
}

// splitMix64 hashes a number with the finalizer of SplitMix64.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
