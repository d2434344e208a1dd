package discovery

import (
	"fmt"
	"testing"
	"time"

	"springfield/policy"
)

// listed returns a list of endpoints with the given start times, in milliseconds, by their names.
func listed(full bool, startedMS map[string]int64) EndpointList {
	list := EndpointList{Full: full, Servers: []Instance{}}
	for id, started := range startedMS {
		list.Servers = append(list.Servers, Instance{ID: id, Addr: "127.0.0.1:1", State: stateUp, StartedMS: started})
	}
	return list
}

func startOf(t *testing.T, update Update) time.Duration {
	t.Helper()
	if len(update.Endpoints) != 1 {
		t.Fatalf("%d endpoints", len(update.Endpoints))
	}
	return update.Endpoints[0].StartedAt
}

// The wall clock of this machine may be wrong, before the process starts and while it runs: what a start time says
// against it is not used within its possible error. An endpoint counts as started when this process learns of the
// start.
func TestStartTimeIsWhenTheStartIsLearnt(t *testing.T) {
	const now = 1000 * time.Hour
	wall := time.Now()
	at := func(monotonic time.Duration) moment { return moment{monotonic: monotonic, wall: wall} }
	for _, offset := range []time.Duration{-2 * time.Hour, -time.Hour, -5 * time.Second, 0, 5 * time.Second, time.Hour,
		24 * time.Hour} {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			decoder := newDecoder(nil)
			started := wall.Add(offset).UnixMilli()
			first := decoder.update(at(now), policy.UpdateFull, listed(true, map[string]int64{"a": started}))
			if got := startOf(t, first); got != now {
				t.Errorf("in the first list: started %v after it", got-now)
			}
			later := now + 5*time.Second
			again := decoder.update(at(later), policy.UpdateFull, listed(true, map[string]int64{"a": started}))
			if got := startOf(t, again); got != now {
				t.Errorf("listed again: started %v after the first list", got-now)
			}
			restarted := decoder.update(at(later), policy.UpdateDelta, listed(false, map[string]int64{"a": started + 1}))
			if got := startOf(t, restarted); got != later {
				t.Errorf("restarted: started %v after that", got-later)
			}
		})
	}
}

// An endpoint that has run for longer than the clock can be wrong has started long ago, also for a new process: fleets
// whose endpoints all have start times would otherwise be in slow start after each restart of a gateway. That stays so
// when the clock is stepped.
func TestOldStartIsLongAgo(t *testing.T) {
	decoder := newDecoder(nil)
	wall := time.Now()
	started := map[string]int64{"a": wall.Add(-maxClockError - time.Minute).UnixMilli()}
	for _, step := range []time.Duration{0, -time.Hour, time.Hour} {
		now := moment{monotonic: time.Hour, wall: wall.Add(step)}
		if got := startOf(t, decoder.update(now, policy.UpdateFull, listed(true, started))); got != 0 {
			t.Errorf("after a step of %v: started at %v", step, got)
		}
	}
	// Another start of a known endpoint is a new process, also where the clock takes it for long past.
	const later = 2 * time.Hour
	started["a"]--
	now := moment{monotonic: later, wall: wall}
	if got := startOf(t, decoder.update(now, policy.UpdateDelta, listed(false, started))); got != later {
		t.Errorf("restarted: started %v before", later-got)
	}
}

// An endpoint without a start time has run for long.
func TestEndpointWithoutStartTimeHasRunForLong(t *testing.T) {
	decoder := newDecoder(nil)
	update := decoder.update(moment{monotonic: time.Hour}, policy.UpdateFull, listed(true, map[string]int64{"a": 0}))
	if got := startOf(t, update); got != 0 {
		t.Errorf("started at %v", got)
	}
}

// An endpoint that was unlisted for a short time, as behind a partition, has not started anew.
func TestStartIsRememberedWhileUnlisted(t *testing.T) {
	decoder := newDecoder(nil)
	const now = time.Hour
	wall := time.Now()
	started := map[string]int64{"a": wall.UnixMilli()}
	at := func(monotonic time.Duration) moment { return moment{monotonic: monotonic, wall: wall} }
	decoder.update(at(now), policy.UpdateFull, listed(true, started))
	decoder.update(at(now+time.Second), policy.UpdateFull, listed(true, nil))
	update := decoder.update(at(now+time.Minute), policy.UpdateFull, listed(true, started))
	if got := startOf(t, update); got != now {
		t.Errorf("started %v after it was first listed", got-now)
	}
}

// What is remembered of endpoints that have left does not grow without end.
func TestDepartedStartsAreForgotten(t *testing.T) {
	decoder := newDecoder(nil)
	const now = time.Hour
	wall := time.Now()
	for i := range 5 * maxDepartedStarts {
		started := map[string]int64{fmt.Sprint(i): wall.UnixMilli()}
		decoder.update(moment{monotonic: now, wall: wall}, policy.UpdateFull, listed(true, started))
	}
	if got := len(decoder.starts.departed); got > maxDepartedStarts {
		t.Errorf("%d are remembered", got)
	}
	decoder.update(moment{monotonic: now + 2*departedMemory}, policy.UpdateFull, listed(true, nil))
	decoder.update(moment{monotonic: now + 4*departedMemory}, policy.UpdateFull, listed(true, nil))
	if departed, current := len(decoder.starts.departed), len(decoder.starts.listed); departed+current > 0 {
		t.Errorf("%d and %d are remembered after a long time", departed, current)
	}
}
