package emulator

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestVirtualSchedulerRunsInOrderOfTime(t *testing.T) {
	const start = time.Hour
	scheduler := NewVirtualScheduler(start)
	var ran []string
	note := func(name string) func() {
		return func() { ran = append(ran, name) }
	}
	scheduler.After(2*time.Second, note("third"))
	scheduler.After(time.Second, func() {
		note("first")()
		scheduler.After(-time.Second, note("second")) // due at once
	})
	scheduler.After(2*time.Second, note("fourth")) // after the one that was scheduled before it
	scheduler.After(4*time.Second, note("too late"))
	scheduler.RunUntil(start + 3*time.Second)
	if want := []string{"first", "second", "third", "fourth"}; !slices.Equal(ran, want) {
		t.Errorf("ran %v, want %v", ran, want)
	}
	if scheduler.Now() != start+3*time.Second || scheduler.Executed() != 4 {
		t.Errorf("at %v after %d functions", scheduler.Now()-start, scheduler.Executed())
	}
}

// Many functions at few different times run by time, and at the same time in the order in which they were scheduled.
func TestVirtualSchedulerKeepsTheOrderOfManyFunctions(t *testing.T) {
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
		t.Error("the functions ran in another order")
	}
}

func TestWallSchedulerRunsNothingAfterStop(t *testing.T) {
	scheduler := NewWallScheduler()
	ran := make(chan struct{})
	scheduler.After(0, func() { close(ran) })
	<-ran
	scheduler.Stop()
	scheduler.Do(func() { t.Error("ran after the scheduler was stopped") })
}

func TestDurationIsWrittenWithUnit(t *testing.T) {
	var d Duration
	if err := d.UnmarshalText([]byte("1.5s")); err != nil || d.AsDuration() != 1500*time.Millisecond {
		t.Errorf("got %v, %v", d.AsDuration(), err)
	}
	if text, err := d.MarshalText(); err != nil || string(text) != "1.5s" {
		t.Errorf("got %s, %v", text, err)
	}
	for _, text := range []string{"", "5", "soon"} {
		if err := d.UnmarshalText([]byte(text)); err == nil {
			t.Errorf("%q is no duration", text)
		}
	}
}
