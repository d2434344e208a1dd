package settings

import (
	"math"
	"time"
)

// maxMicroseconds bounds the result of Duration either way, to about 32 years.
const maxMicroseconds = 1e15

// MaxDeadline bounds what a request may state as its deadline where its class has none of its own.
const MaxDeadline = time.Hour

// Duration converts milliseconds, as the settings and the simulator give them, rounded to microseconds.
// Numbers too large for a time are limited, and NaN gives 0.
func Duration(ms float64) time.Duration {
	switch us := ms * 1000; {
	case math.IsNaN(us):
		return 0
	case us > maxMicroseconds:
		return maxMicroseconds * time.Microsecond
	case us < -maxMicroseconds:
		return -maxMicroseconds * time.Microsecond
	default:
		return time.Duration(math.Round(us)) * time.Microsecond
	}
}
