package discovery

import (
	"fmt"
	"testing"
	"time"

	"springfield/policy"
)

// listed returns a list of endpoints with the given start times in milliseconds, by name.
func listed(full bool, startedMS map[string]int64) EndpointList {
	list := EndpointList{Full: full, Servers: []Instance{}}
	for id, started := range startedMS {
		list.Servers = append(list.Servers, Instance{ID: id, Addr: "127.0.0.1:1", State: stateUp, StartedMS: started})
	}
	return list
}

func startedAt(t *testing.T, update Update) time.Duration {
	t.Helper()
	if len(update.Endpoints) != 1 {
		t.Fatalf("%d endpoints", len(update.Endpoints))
	}
	return update.Endpoints[0].StartedAt
}

// This machine's wall clock may be wrong, before the process starts and while it runs. A start time within its possible
// error must not be used as a time: the endpoint counts as started when this process first learns of the start.
func TestRecentStartCountsFromWhenItIsFirstListed(t *testing.T) {
	const now = 1000 * time.Hour
	wall := time.Now()
	at := func(monotonic time.Duration) clockReading { return clockReading{monotonic: monotonic, wall: wall} }
	for _, offset := range []time.Duration{-2 * time.Hour, -time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour,
		24 * time.Hour} {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			decoder := newDecoder(nil)
			started := wall.Add(offset).UnixMilli()
			first := decoder.update(at(now), policy.UpdateFull, listed(true, map[string]int64{"a": started}))
			if got := startedAt(t, first); got != now {
				t.Errorf("in the first list: counts as started %v after the list", got-now)
			}
			later := now + 5*time.Second
			again := decoder.update(at(later), policy.UpdateFull, listed(true, map[string]int64{"a": started}))
			if got := startedAt(t, again); got != now {
				t.Errorf("listed again: counts as started %v after the first list", got-now)
			}
			restarted := decoder.update(at(later), policy.UpdateDelta, listed(false, map[string]int64{"a": started + 1}))
			if got := startedAt(t, restarted); got != later {
				t.Errorf("restarted: counts as started %v after the restart was listed", got-later)
			}
		})
	}
}

// An endpoint that has run for longer than the possible clock error started long ago, also for a new process.
// Otherwise, fleets whose endpoints all have start times would be in slow start after each restart of a gateway. A step
// of the clock must not change this.
func TestStartOlderThanClockOffsetIsLongAgo(t *testing.T) {
	decoder := newDecoder(nil)
	wall := time.Now()
	started := map[string]int64{"a": wall.Add(-maxClockOffset - time.Minute).UnixMilli()}
	for _, step := range []time.Duration{0, -time.Hour, time.Hour} {
		now := clockReading{monotonic: time.Hour, wall: wall.Add(step)}
		if got := startedAt(t, decoder.update(now, policy.UpdateFull, listed(true, started))); got != 0 {
			t.Errorf("after a clock step of %v: counts as started at %v, want 0", step, got)
		}
	}
	// A new start time of a known endpoint means a new process, even if the time is long past by the wall clock.
	const later = 2 * time.Hour
	started["a"]--
	now := clockReading{monotonic: later, wall: wall}
	if got := startedAt(t, decoder.update(now, policy.UpdateDelta, listed(false, started))); got != later {
		t.Errorf("restarted: counts as started %v before the restart was listed", later-got)
	}
}

// An endpoint without a start time must count as started long ago, so that it is not in slow start.
func TestEndpointWithoutStartTimeStartedLongAgo(t *testing.T) {
	decoder := newDecoder(nil)
	update := decoder.update(clockReading{monotonic: time.Hour}, policy.UpdateFull, listed(true, map[string]int64{"a": 0}))
	if got := startedAt(t, update); got != 0 {
		t.Errorf("counts as started at %v, want 0", got)
	}
}

// An endpoint that is unlisted for a short time, for example because of a network partition, must not count as
// restarted.
func TestStartTimeIsKeptWhileUnlisted(t *testing.T) {
	decoder := newDecoder(nil)
	const now = time.Hour
	wall := time.Now()
	started := map[string]int64{"a": wall.UnixMilli()}
	at := func(monotonic time.Duration) clockReading { return clockReading{monotonic: monotonic, wall: wall} }
	decoder.update(at(now), policy.UpdateFull, listed(true, started))
	decoder.update(at(now+time.Second), policy.UpdateFull, listed(true, nil))
	update := decoder.update(at(now+time.Minute), policy.UpdateFull, listed(true, started))
	if got := startedAt(t, update); got != now {
		t.Errorf("counts as started %v after it was first listed", got-now)
	}
}

// The remembered starts of endpoints that have left the list must not take unbounded memory.
func TestUnlistedStartsAreBoundedAndExpire(t *testing.T) {
	decoder := newDecoder(nil)
	const now = time.Hour
	wall := time.Now()
	for i := range 5 * maxUnlistedStarts {
		started := map[string]int64{fmt.Sprint(i): wall.UnixMilli()}
		decoder.update(clockReading{monotonic: now, wall: wall}, policy.UpdateFull, listed(true, started))
	}
	if got := len(decoder.starts.unlisted); got > maxUnlistedStarts {
		t.Errorf("%d starts are remembered, which exceeds the limit", got)
	}
	decoder.update(clockReading{monotonic: now + 2*unlistedRetention}, policy.UpdateFull, listed(true, nil))
	decoder.update(clockReading{monotonic: now + 4*unlistedRetention}, policy.UpdateFull, listed(true, nil))
	if unlisted, current := len(decoder.starts.unlisted), len(decoder.starts.listed); unlisted+current > 0 {
		t.Errorf("%d unlisted and %d listed starts remain after the retention time", unlisted, current)
	}
}
