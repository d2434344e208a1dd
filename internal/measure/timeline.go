package measure

import (
	"math"
	"time"
)

// worstWindowSeconds is the length of the window that Service.WorstTenSeconds looks for.
const worstWindowSeconds = 10

// timeline gathers the seconds of a run. What happens before its begin counts in its first second.
type timeline struct {
	start   time.Duration
	plans   int
	seconds []Second
	latency latencyHistogram // of the last of the seconds
}

func newTimeline(start time.Duration, plans int) timeline {
	t := timeline{start: start, plans: plans, latency: newLatencyHistogram()}
	t.beginSecond()
	return t
}

// beginSecond adds a second.
func (t *timeline) beginSecond() {
	t.seconds = append(t.seconds, Second{Second: len(t.seconds), Plans: make([]PlanSecond, t.plans)})
}

// advance ends all seconds that are over.
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

// current returns the second that is under way.
func (t *timeline) current() *Second { return &t.seconds[len(t.seconds)-1] }

// at returns the second of a time, or the nearest one.
func (t *timeline) at(when time.Duration) *Second {
	index := int((when - t.start) / time.Second)
	return &t.seconds[min(max(0, index), len(t.seconds)-1)]
}

// worstWindow returns the lowest share of value earned over value requested in any window of the first seconds, which
// are the seconds of the load. A shorter load is one window.
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
