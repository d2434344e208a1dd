// Package clock converts between the monotonic clock and policy time, a time.Duration that package policy uses as its
// time base.
package clock

import "time"

// startTime is the policy time at which a clock is created. It is far above zero because the policy treats zero as a
// time in the distant past.
const startTime = 1000 * time.Hour

// Clock returns policy times. They follow only the monotonic clock, because the wall clock may be wrong or may be
// stepped while the process runs.
type Clock struct {
	base time.Time // creation time of the clock, with its monotonic reading
}

// New returns a clock that starts now.
func New() Clock { return Clock{base: time.Now()} }

// Now returns the current policy time.
func (c Clock) Now() time.Duration { return startTime + time.Since(c.base) }

// ToTime converts a policy time to a time.Time, which socket deadlines require.
func (c Clock) ToTime(at time.Duration) time.Time { return c.base.Add(at - startTime) }

// FromTime converts a time.Time to a policy time.
func (c Clock) FromTime(t time.Time) time.Duration { return startTime + t.Sub(c.base) }
