package settings

import (
	"math"
	"time"
)

// maxMicroseconds bounds the absolute value of Duration's result to about 32 years.
const maxMicroseconds = 1e15

// MaxDeadline bounds the deadline that a request may state if its class has none.
const MaxDeadline = time.Hour

// Duration converts milliseconds, the unit of the settings and of the simulator, and rounds to microseconds. It clamps
// values outside the range of about ±32 years and returns 0 for NaN.
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
