package clock_test

import (
	"testing"
	"time"

	"springfield/internal/clock"
)

func TestNowIsUnixTime(t *testing.T) {
	c := clock.New()
	before := time.Duration(time.Now().UnixNano())
	now := c.Now()
	if difference := (now - before).Abs(); difference > time.Second {
		t.Errorf("the clock is %v off the Unix time", difference)
	}
	if later := c.Now(); later < now {
		t.Errorf("the clock went back from %v to %v", now, later)
	}
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
