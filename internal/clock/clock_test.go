package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"springfield/internal/clock"
)

// The wall clock may be wrong or may be stepped, which must not shift policy times. The test compares a clock created
// outside a synctest bubble with one created inside, where the wall clock starts in the year 2000.
func TestNowFollowsOnlyMonotonicClock(t *testing.T) {
	outside := clock.New().Now()
	synctest.Test(t, func(t *testing.T) {
		c := clock.New()
		begin := c.Now()
		if difference := (outside - begin).Abs(); difference > time.Second {
			t.Errorf("clocks created under different wall clocks start %v apart", difference)
		}
		time.Sleep(time.Hour)
		if passed := c.Now() - begin; passed != time.Hour {
			t.Errorf("the clock advanced by %v in one hour", passed)
		}
	})
}

// Deadlines are converted between policy times and socket deadlines. They must not change by that.
func TestConversionsAreInverse(t *testing.T) {
	c := clock.New()
	moment := time.Now().Add(time.Minute)
	if got := c.ToTime(c.FromTime(moment)); !got.Equal(moment) {
		t.Errorf("got %v, want %v", got, moment)
	}
	at := c.Now() + time.Hour
	if got := c.FromTime(c.ToTime(at)); got != at {
		t.Errorf("got %v, want %v", got, at)
	}
}

// An interval of policy time must have the same length as a socket deadline's interval.
func TestConversionsPreserveIntervals(t *testing.T) {
	c := clock.New()
	now := c.Now()
	if got := c.ToTime(now + time.Second).Sub(c.ToTime(now)); got != time.Second {
		t.Errorf("an interval of 1s became %v after the conversion", got)
	}
}
