package config

import (
	"testing"
	"time"

	"springfield/internal/settings"
)

// A retry with an idempotency key is safe only while the endpoint remembers the key. A dial can delay the retry's
// first byte, so the policy must use a shorter TTL.
func TestKeyTTLIsReducedByDialTimeout(t *testing.T) {
	classes := newTestConfig(t).PolicyConfig(1).Classes
	if got, want := classes[1].KeyTTL, 1200*time.Millisecond; got != want {
		t.Errorf("KeyTTL is %v, want %v: 1.5 s less a dial of 250 ms and a forwarding delay of 50 ms", got, want)
	}
	if classes[0].KeyTTL != 0 {
		t.Errorf("KeyTTL of a class without keys is %v, want 0", classes[0].KeyTTL)
	}
}

// Explicit settings must take precedence over the defaults. If a class has no deadline, the longest deadline must be
// settings.MaxDeadline.
func TestTimeoutsAreDerivedFromSettings(t *testing.T) {
	c := newTestConfig(t)
	if c.DialTimeout() != 250*time.Millisecond || c.UpstreamIdleTimeout() != 9*time.Second ||
		c.LongestDeadline() != 8*time.Second {
		t.Errorf("dial %v, idle %v, deadline %v", c.DialTimeout(), c.UpstreamIdleTimeout(), c.LongestDeadline())
	}
	c.Settings.Classes[0].HardLimitMs = 0
	if c.LongestDeadline() != settings.MaxDeadline {
		t.Errorf("a class without a deadline: deadline %v", c.LongestDeadline())
	}
	c.Settings.Limits.DialTimeoutMs, c.Settings.Limits.ConnIdleMs = 100, 5000
	if c.DialTimeout() != 100*time.Millisecond || c.UpstreamIdleTimeout() != 3*time.Second {
		t.Errorf("explicit timeouts: dial %v, idle %v", c.DialTimeout(), c.UpstreamIdleTimeout())
	}
	c = &Config{}
	if c.DialTimeout() != defaultDialTimeout || c.UpstreamIdleTimeout() != 9*time.Second || c.LongestDeadline() != 0 {
		t.Errorf("defaults: dial %v, idle %v, deadline %v", c.DialTimeout(), c.UpstreamIdleTimeout(), c.LongestDeadline())
	}
}
