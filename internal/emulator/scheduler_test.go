package emulator

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against functions that run out of order, run past the end time, or are lost when a function schedules another
// one with a negative delay.
func TestVirtualSchedulerRunsFunctionsInTimeOrder(t *testing.T) {
	const start = time.Hour
	scheduler := NewVirtualScheduler(start)
	var ran []string
	record := func(name string) func() {
		return func() { ran = append(ran, name) }
	}
	scheduler.After(2*time.Second, record("third"))
	scheduler.After(time.Second, func() {
		record("first")()
		scheduler.After(-time.Second, record("second")) // a negative delay counts as zero
	})
	scheduler.After(2*time.Second, record("fourth")) // due with "third", but scheduled later
	scheduler.After(4*time.Second, record("too late"))
	scheduler.RunUntil(start + 3*time.Second)
	if want := []string{"first", "second", "third", "fourth"}; !slices.Equal(ran, want) {
		t.Errorf("ran %v, want %v", ran, want)
	}
	if scheduler.Now() != start+3*time.Second || scheduler.Executed() != 4 {
		t.Errorf("time = %v after %d functions, want 3s after 4", scheduler.Now()-start, scheduler.Executed())
	}
}

// Guards against a heap that breaks the order of many functions with few distinct due times. Functions that are due at
// the same time must run in the order in which they were scheduled.
func TestVirtualSchedulerKeepsSchedulingOrderForEqualTimes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	scheduler := NewVirtualScheduler(0)
	type due struct {
		at     time.Duration
		number int
	}
	var want, ran []due
	for number := range 5000 {
		next := due{time.Duration(random.IntN(50)) * time.Millisecond, number}
		want = append(want, next)
		scheduler.After(next.at, func() { ran = append(ran, next) })
	}
	slices.SortStableFunc(want, func(a, b due) int { return int(a.at - b.at) })
	scheduler.RunUntil(time.Second)
	if !slices.Equal(ran, want) {
		t.Error("functions did not run in the order of due time and scheduling")
	}
}

// Guards against functions that still run after Stop, when the models may already be gone.
func TestWallSchedulerRunsNothingAfterStop(t *testing.T) {
	scheduler := NewWallScheduler()
	ran := make(chan struct{})
	scheduler.After(0, func() { close(ran) })
	<-ran
	scheduler.Stop()
	scheduler.Do(func() { t.Error("a function ran after the scheduler was stopped") })
}

// Guards against durations without a unit in scenario files, which would be ambiguous.
func TestDurationRequiresUnit(t *testing.T) {
	var d Duration
	if err := d.UnmarshalText([]byte("1.5s")); err != nil || d.AsDuration() != 1500*time.Millisecond {
		t.Errorf("UnmarshalText(1.5s) = %v, %v", d.AsDuration(), err)
	}
	if text, err := d.MarshalText(); err != nil || string(text) != "1.5s" {
		t.Errorf("MarshalText() = %q, %v; want 1.5s", text, err)
	}
	for _, text := range []string{"", "5", "soon"} {
		if err := d.UnmarshalText([]byte(text)); err == nil {
			t.Errorf("UnmarshalText(%q) returned no error", text)
		}
	}
}
