package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"springfield/internal/clock"
)

// The times of a clock do not depend on the wall clock: it may be wrong, and be stepped. In the bubble of a test the
// wall clock reads the year 2000.
func TestNowFollowsTheMonotonicClockAlone(t *testing.T) {
	outside := clock.New().Now()
	synctest.Test(t, func(t *testing.T) {
		c := clock.New()
		begin := c.Now()
		if difference := (outside - begin).Abs(); difference > time.Second {
			t.Errorf("clocks of different wall clocks begin %v apart", difference)
		}
		time.Sleep(time.Hour)
		if passed := c.Now() - begin; passed != time.Hour {
			t.Errorf("%v passed in an hour", passed)
		}
	})
}

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

func TestConversionsKeepDistances(t *testing.T) {
	c := clock.New()
	now := c.Now()
	if got := c.ToTime(now + time.Second).Sub(c.ToTime(now)); got != time.Second {
		t.Errorf("times a second apart are %v apart after the conversion", got)
	}
}
