// Package clock maps the monotonic clock onto the policy's time axis.
package clock

import "time"

// Clock yields times as the policy counts them: Unix time at the creation of the clock plus the time that
// has elapsed since then on the monotonic clock. Unix timestamps from discovery therefore lie on the same
// axis, 0 is long ago, and a step of the wall clock has no effect.
type Clock struct {
	base     time.Time     // carries the monotonic reading
	baseUnix time.Duration // base as Unix time
}

// New returns a clock that is aligned with the present Unix time.
func New() Clock {
	now := time.Now()
	return Clock{base: now, baseUnix: time.Duration(now.UnixNano())}
}

// Now returns the present time.
func (c Clock) Now() time.Duration { return c.baseUnix + time.Since(c.base) }

// ToTime converts a time of the policy to a time.Time, as deadlines of sockets take it.
func (c Clock) ToTime(at time.Duration) time.Time { return c.base.Add(at - c.baseUnix) }

// FromTime converts a time.Time to a time of the policy.
func (c Clock) FromTime(t time.Time) time.Duration { return c.baseUnix + t.Sub(c.base) }
