package settings

import (
	"math"
	"testing"
	"time"
)

// Guards against overflows for values outside the range of time.Duration and against truncation instead of rounding.
func TestDurationRoundsAndClamps(t *testing.T) {
	const longest = 1e15 * time.Microsecond
	for _, c := range []struct {
		ms   float64
		want time.Duration
	}{
		{0, 0},
		{1.5, 1500 * time.Microsecond},
		{0.0006, time.Microsecond},
		{-2, -2 * time.Millisecond},
		{math.NaN(), 0},
		{math.Inf(1), longest},
		{math.Inf(-1), -longest},
		{1e300, longest},
	} {
		if got := Duration(c.ms); got != c.want {
			t.Errorf("Duration(%v) = %v, want %v", c.ms, got, c.want)
		}
	}
}
