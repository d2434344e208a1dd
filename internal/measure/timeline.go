package measure

import (
	"math"
	"time"
)

// worstWindowSeconds is the length of the windows of Service.WorstTenSeconds.
const worstWindowSeconds = 10

// timeline collects the results of each second of a run. Events before its start count in the first second.
type timeline struct {
	start   time.Duration
	plans   int // number of plans
	seconds []Second
	latency latencyHistogram // latencies of the current second
}

func newTimeline(start time.Duration, plans int) timeline {
	t := timeline{start: start, plans: plans, latency: newLatencyHistogram()}
	t.beginSecond()
	return t
}

// beginSecond appends a new second.
func (t *timeline) beginSecond() {
	t.seconds = append(t.seconds, Second{Second: len(t.seconds), Plans: make([]PlanSecond, t.plans)})
}

// advance ends all seconds that are over at the time now, and begins the current second.
func (t *timeline) advance(now time.Duration, endpoints *endpointLoads) {
	for now >= t.start+time.Duration(len(t.seconds))*time.Second {
		t.endSecond(endpoints)
		t.beginSecond()
	}
}

func (t *timeline) endSecond(endpoints *endpointLoads) {
	second := t.current()
	second.EndpointAttempts = endpoints.endSecond()
	second.Latency = t.latency.summary()
	t.latency.reset()
}

// current returns the current second.
func (t *timeline) current() *Second { return &t.seconds[len(t.seconds)-1] }

// at returns the second that contains a time, or the nearest one that exists.
func (t *timeline) at(when time.Duration) *Second {
	index := int((when - t.start) / time.Second)
	return &t.seconds[min(max(0, index), len(t.seconds)-1)]
}

// worstWindow returns the lowest ratio of earned value to requested value in any window of worstWindowSeconds. The
// seconds are those of the load. A shorter load is a single window.
func worstWindow(seconds []Second) float64 {
	length := min(worstWindowSeconds, len(seconds))
	worst := math.Inf(1)
	for first := 0; first+length <= len(seconds); first++ {
		requested, earned := 0.0, 0.0
		for i := first; i < first+length; i++ {
			requested += seconds[i].RequestedValue
			earned += seconds[i].EarnedValue
		}
		worst = min(worst, valueShare(earned, requested))
	}
	return min(1, worst)
}
