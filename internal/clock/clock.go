// Package clock maps the monotonic clock onto the policy's time axis.
package clock

import "time"

// origin is the policy's time when a clock is created. It is far above zero, which the policy takes for long ago.
const origin = 1000 * time.Hour

// Clock yields times as the policy counts them. They follow the monotonic clock alone: the wall clock may be wrong, or
// be stepped while the process runs.
type Clock struct {
	base time.Time // carries the monotonic reading
}

// New returns a clock that begins now.
func New() Clock { return Clock{base: time.Now()} }

// Now returns the present time.
func (c Clock) Now() time.Duration { return origin + time.Since(c.base) }

// ToTime converts a time of the policy to a time.Time, as deadlines of sockets take it.
func (c Clock) ToTime(at time.Duration) time.Time { return c.base.Add(at - origin) }

// FromTime converts a time.Time to a time of the policy.
func (c Clock) FromTime(t time.Time) time.Duration { return origin + t.Sub(c.base) }
