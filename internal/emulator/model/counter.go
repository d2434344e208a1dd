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

// Bounds of a call to the counter.
const (
	maxCounterNameBytes = 64
	maxCounterAmount    = 1e9
	maxCounterLife      = time.Minute
	counterDigits       = 7 // to which a total is exact
)

// CounterSpec describes the shared counter.
type CounterSpec struct {
	CallsPerSecond float64       // of all parts together; 0: unlimited
	Parts          int           // names are spread over these; 0 counts as 1
	Latency        time.Duration // of a call beside its turn
	MaxWait        time.Duration // a part rejects calls whose turn would come later; 0: no bound
}

// CounterStatus tells what became of a call to the counter.
type CounterStatus uint8

// The statuses of a call.
const (
	CounterAdded    CounterStatus = iota + 1
	CounterRejected               // 503: nothing was added
	CounterInvalid                // 400: no such call, nothing was added
	CounterRefused                // the connection was refused: nothing was added
)

// CounterResult is the answer to a call.
type CounterResult struct {
	Status CounterStatus
	Total  float64 // after the call, exact to seven digits; set with CounterAdded
}

// CounterState tells whether the counter takes calls.
type CounterState uint8

// The states of the counter.
const (
	CounterUp       CounterState = iota
	CounterSilent                // stopped: calls are never answered, and nothing is added
	CounterRefusing              // stopped: connections are refused
)

// Counter is the service that keeps numbers by name for all gateways. Each of its parts serves calls in turn, at an
// even rate; an added amount is in the total from the turn of its call on. A name starts at 0 and is forgotten when the
// life that its first call gave is over. Calls that have been added are answered in their order at each part; rejected
// ones are answered at once, and a connection that carries several calls has to put its answers in order.
//
// Source: PROTOCOL ("The counter"), WIRE (Add, Total) and BENCH (parts, troubles counter_down, origin_slow, flush).
type Counter struct {
	spec      CounterSpec
	scheduler emulator.Scheduler
	random    *rand.Rand
	state     CounterState
	slowdown  float64
	numbers   map[string]*counterNumber
	freeAt    []time.Duration // when each part can begin another call
	answerAt  []time.Duration // when each part has given its answers
	stops     uint64          // so often the counter has stopped; calls from before are lost
}

type counterNumber struct{ total float64 }

// NewCounter returns a counter without names. The random numbers decide which names a flush forgets.
func NewCounter(spec CounterSpec, scheduler emulator.Scheduler, random *rand.Rand) *Counter {
	return &Counter{
		spec:      spec,
		scheduler: scheduler,
		random:    random,
		slowdown:  1,
		numbers:   map[string]*counterNumber{},
		freeAt:    make([]time.Duration, max(1, spec.Parts)),
		answerAt:  make([]time.Duration, max(1, spec.Parts)),
	}
}

// Add adds an amount to a number and has the scheduler give the total to done, which is not called before Add has
// returned. The life is that of a new name, in whole milliseconds; more than a minute counts as a minute.
func (c *Counter) Add(name string, amount float64, life time.Duration, done func(CounterResult)) {
	switch {
	case c.state == CounterSilent:
		return
	case c.state == CounterRefusing:
		c.answer(0, CounterResult{Status: CounterRefused}, done)
		return
	case !validCounterCall(name, amount, life):
		c.answer(c.latency(), CounterResult{Status: CounterInvalid}, done)
		return
	}
	part := counterPart(name, len(c.freeAt))
	turn, ok := c.takeTurn(part)
	if !ok {
		c.answer(c.latency(), CounterResult{Status: CounterRejected}, done)
		return
	}
	stops := c.stops
	c.scheduler.After(turn, func() {
		if stops != c.stops {
			return
		}
		total := c.add(name, amount, min(life, maxCounterLife))
		now := c.scheduler.Now()
		c.answerAt[part] = max(c.answerAt[part], now+c.latency())
		c.answer(c.answerAt[part]-now, CounterResult{Status: CounterAdded, Total: total}, done)
	})
}

func validCounterCall(name string, amount float64, life time.Duration) bool {
	return name != "" && len(name) <= maxCounterNameBytes &&
		math.Abs(amount) <= maxCounterAmount && life >= time.Millisecond
}

func (c *Counter) latency() time.Duration {
	return time.Duration(float64(c.spec.Latency) * c.slowdown)
}

// answer gives a result after a delay, unless the counter stops before.
func (c *Counter) answer(delay time.Duration, result CounterResult, done func(CounterResult)) {
	stops := c.stops
	c.scheduler.After(delay, func() {
		if stops == c.stops {
			done(result)
		}
	})
}

// takeTurn returns the time until a part has served the call, or false if its queue is too long.
func (c *Counter) takeTurn(part int) (turn time.Duration, ok bool) {
	if c.spec.CallsPerSecond <= 0 {
		return 0, true
	}
	now := c.scheduler.Now()
	begin := max(now, c.freeAt[part])
	if c.spec.MaxWait > 0 && begin-now > c.spec.MaxWait {
		return 0, false
	}
	perPart := c.spec.CallsPerSecond / float64(len(c.freeAt)) / c.slowdown
	c.freeAt[part] = begin + secondsToDuration(1/perPart)
	return c.freeAt[part] - now, true
}

func counterPart(name string, parts int) int {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // a hash never fails
	return int(hash.Sum64() % uint64(parts))
}

// add returns the new total. A name that is new is forgotten after its life.
func (c *Counter) add(name string, amount float64, life time.Duration) float64 {
	number := c.numbers[name]
	if number == nil {
		number = &counterNumber{}
		c.numbers[name] = number
		c.scheduler.After(life, func() {
			if c.numbers[name] == number {
				delete(c.numbers, name)
			}
		})
	}
	number.total += amount
	return roundToDigits(number.total)
}

func roundToDigits(value float64) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(value, 'g', counterDigits, 64), 64)
	if err != nil {
		return value // not reached: a formatted number can be parsed
	}
	return rounded
}

// SetState stops the counter or lets it take calls again. Calls that it holds when it stops are lost, with no answer.
func (c *Counter) SetState(state CounterState) {
	if state != CounterUp && c.state == CounterUp {
		c.stops++
		clear(c.freeAt)
		clear(c.answerAt)
	}
	c.state = state
}

// SetSlowdown makes each call take longer by a factor; 1 ends that. A factor of 0 or less counts as 1.
func (c *Counter) SetSlowdown(factor float64) {
	if factor <= 0 {
		factor = 1
	}
	c.slowdown = factor
}

// Flush forgets a share of the names; 1 forgets all of them.
func (c *Counter) Flush(share float64) {
	for _, name := range slices.Sorted(maps.Keys(c.numbers)) {
		if c.random.Float64() < share {
			delete(c.numbers, name)
		}
	}
}
