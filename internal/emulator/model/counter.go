package model

import (
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"springfield/internal/emulator"
)

// Limits of the counter's interface. A call whose name or amount exceeds its limit is invalid, and a longer TTL counts
// as maxCounterTTL.
const (
	maxCounterNameBytes      = 64
	maxCounterAmount         = 1e9 // bound on the absolute value of an amount
	maxCounterTTL            = time.Minute
	counterSignificantDigits = 7 // decimal digits to which the total in an answer is rounded
)

// CounterSpec describes the shared counter.
type CounterSpec struct {
	CallsPerSecond float64       // capacity of all shards together; 0: unlimited
	Shards         int           // number of shards that the names are hashed to; 0 counts as 1
	Latency        time.Duration // latency of a call in addition to its time in the queue
	MaxWait        time.Duration // longest wait in a shard's queue, beyond which calls are rejected; 0: unlimited
}

// CounterStatus is the outcome of a call to the counter.
type CounterStatus uint8

// The outcomes of a call to the counter.
const (
	CounterAdded    CounterStatus = iota + 1
	CounterRejected               // status 503: the queue of the shard is too long, and nothing was added
	CounterInvalid                // status 400: the arguments are invalid, and nothing was added
	CounterRefused                // the connection was refused, and nothing was added
)

// CounterResult is the answer to a call to the counter.
type CounterResult struct {
	Status CounterStatus
	Total  float64 // total after the call, to seven significant digits; set only with CounterAdded
}

// CounterState is the availability of the counter.
type CounterState uint8

// The states of the counter.
const (
	CounterUp       CounterState = iota
	CounterSilent                // stopped; calls are never answered, and nothing is added
	CounterRefusing              // stopped; connections are refused
)

// Counter models the service that keeps named totals for all gateways. Each shard serves its calls first in, first
// out, at a fixed rate; an amount is part of the total from the time at which its call is served. A total starts at 0
// and expires when the TTL that its first call gave has passed. Each shard answers the calls that have added an
// amount in order. Rejected calls are answered at once, so that a connection with several calls has to put the
// answers in order.
//
// Sources: PROTOCOL, "The counter"; WIRE, Add and Total; BENCH, parts of the counter (called shards here) and the
// faults counter_down, origin_slow and flush.
type Counter struct {
	spec         CounterSpec
	scheduler    emulator.Scheduler
	random       *rand.Rand
	state        CounterState
	slowdown     float64                  // factor by which calls take longer than usual
	entries      map[string]*counterEntry // by name
	shardFreeAt  []time.Duration          // by shard: when it can start the next call
	lastAnswerAt []time.Duration          // by shard: when the last of its answers is due
	stopCount    uint64                   // how often the counter has stopped; calls from before a stop are lost
}

// counterEntry is the total of one name. A name whose total has expired or was deleted gets a new entry.
type counterEntry struct{ total float64 }

// NewCounter returns a counter without totals. The random numbers determine which totals a flush deletes.
func NewCounter(spec CounterSpec, scheduler emulator.Scheduler, random *rand.Rand) *Counter {
	return &Counter{
		spec:         spec,
		scheduler:    scheduler,
		random:       random,
		slowdown:     1,
		entries:      map[string]*counterEntry{},
		shardFreeAt:  make([]time.Duration, max(1, spec.Shards)),
		lastAnswerAt: make([]time.Duration, max(1, spec.Shards)),
	}
}

// Add adds an amount to the total of a name and has the scheduler pass the result to done, which is not called before
// Add has returned. The TTL applies if the name is new. It is given in whole milliseconds, at least one; a TTL above a
// minute counts as a minute.
func (c *Counter) Add(name string, amount float64, ttl time.Duration, done func(CounterResult)) {
	switch {
	case c.state == CounterSilent:
		return
	case c.state == CounterRefusing:
		c.answer(0, CounterResult{Status: CounterRefused}, done)
		return
	case !validCounterCall(name, amount, ttl):
		c.answer(c.latency(), CounterResult{Status: CounterInvalid}, done)
		return
	}
	shard := counterShard(name, len(c.shardFreeAt))
	wait, ok := c.enqueue(shard)
	if !ok {
		c.answer(c.latency(), CounterResult{Status: CounterRejected}, done)
		return
	}
	stopCount := c.stopCount
	c.scheduler.After(wait, func() {
		if stopCount != c.stopCount {
			return
		}
		total := c.add(name, amount, min(ttl, maxCounterTTL))
		now := c.scheduler.Now()
		c.lastAnswerAt[shard] = max(c.lastAnswerAt[shard], now+c.latency())
		c.answer(c.lastAnswerAt[shard]-now, CounterResult{Status: CounterAdded, Total: total}, done)
	})
}

// validCounterCall reports whether the arguments of Add are within the limits of the counter.
func validCounterCall(name string, amount float64, ttl time.Duration) bool {
	return name != "" && len(name) <= maxCounterNameBytes &&
		math.Abs(amount) <= maxCounterAmount && ttl >= time.Millisecond
}

func (c *Counter) latency() time.Duration {
	return time.Duration(float64(c.spec.Latency) * c.slowdown)
}

// answer passes a result to done after a delay, unless the counter stops before.
func (c *Counter) answer(delay time.Duration, result CounterResult, done func(CounterResult)) {
	stopCount := c.stopCount
	c.scheduler.After(delay, func() {
		if stopCount == c.stopCount {
			done(result)
		}
	})
}

// enqueue adds a call to the queue of a shard. It returns the time until the shard has served the call, or false if
// the queue is too long.
func (c *Counter) enqueue(shard int) (wait time.Duration, ok bool) {
	if c.spec.CallsPerSecond <= 0 {
		return 0, true
	}
	now := c.scheduler.Now()
	begin := max(now, c.shardFreeAt[shard])
	if c.spec.MaxWait > 0 && begin-now > c.spec.MaxWait {
		return 0, false
	}
	shardCallRate := c.spec.CallsPerSecond / float64(len(c.shardFreeAt)) / c.slowdown
	c.shardFreeAt[shard] = begin + secondsToDuration(1/shardCallRate)
	return c.shardFreeAt[shard] - now, true
}

// counterShard returns the shard, counted from 0, that holds the total of a name.
func counterShard(name string, shards int) int {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // Write of a hash never returns an error
	return int(hash.Sum64() % uint64(shards))
}

// add adds an amount and returns the new total. The total of a new name expires after the TTL.
func (c *Counter) add(name string, amount float64, ttl time.Duration) float64 {
	entry := c.entries[name]
	if entry == nil {
		entry = &counterEntry{}
		c.entries[name] = entry
		c.scheduler.After(ttl, func() {
			if c.entries[name] == entry {
				delete(c.entries, name)
			}
		})
	}
	entry.total += amount
	return roundToDigits(entry.total)
}

func roundToDigits(value float64) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(value, 'g', counterSignificantDigits, 64), 64)
	if err != nil {
		return value // not reached, since a formatted number can always be parsed
	}
	return rounded
}

// SetState stops the counter or makes it available again. Calls that it holds when it stops are lost without an
// answer.
func (c *Counter) SetState(state CounterState) {
	if state != CounterUp && c.state == CounterUp {
		c.stopCount++
		clear(c.shardFreeAt)
		clear(c.lastAnswerAt)
	}
	c.state = state
}

// SetSlowdown multiplies the time that each call takes by a factor. A factor of 1 restores the usual time, and a
// factor of 0 or less counts as 1.
func (c *Counter) SetSlowdown(factor float64) {
	if factor <= 0 {
		factor = 1
	}
	c.slowdown = factor
}

// Flush deletes a random share of the totals; a share of 1 deletes all of them.
func (c *Counter) Flush(share float64) {
	for _, name := range slices.Sorted(maps.Keys(c.entries)) {
		if c.random.Float64() < share {
			delete(c.entries, name)
		}
	}
}
