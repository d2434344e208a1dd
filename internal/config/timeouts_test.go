package config

import (
	"testing"
	"time"

	"springfield/internal/settings"
)

// A request with an idempotency key may be sent again only while endpoints discard the key, counted up to the first
// byte, which a dial may delay.
func TestKeyTTLAllowsForADial(t *testing.T) {
	classes := newTestConfig(t).PolicyConfig(1).Classes
	if got, want := classes[1].KeyTTL, 1200*time.Millisecond; got != want {
		t.Errorf("keys are discarded for %v, want %v: 1.5 s less a dial of 250 ms and the delay before it", got, want)
	}
	if classes[0].KeyTTL != 0 {
		t.Errorf("below zero: %v", classes[0].KeyTTL)
	}
}

func TestTimeoutsFollowTheSettings(t *testing.T) {
	c := newTestConfig(t)
	if c.DialTimeout() != 250*time.Millisecond || c.UpstreamIdleTimeout() != 9*time.Second ||
		c.LongestDeadline() != 8*time.Second {
		t.Errorf("dial %v, idle %v, deadline %v", c.DialTimeout(), c.UpstreamIdleTimeout(), c.LongestDeadline())
	}
	c.Settings.Classes[0].HardLimitMs = 0
	if c.LongestDeadline() != settings.MaxDeadline {
		t.Errorf("a class without a limit: deadline %v", c.LongestDeadline())
	}
	c.Settings.Limits.DialTimeoutMs, c.Settings.Limits.ConnIdleMs = 100, 5000
	if c.DialTimeout() != 100*time.Millisecond || c.UpstreamIdleTimeout() != 3*time.Second {
		t.Errorf("as set: dial %v, idle %v", c.DialTimeout(), c.UpstreamIdleTimeout())
	}
	c = &Config{}
	if c.DialTimeout() != defaultDialTimeout || c.UpstreamIdleTimeout() != 9*time.Second || c.LongestDeadline() != 0 {
		t.Errorf("by default: dial %v, idle %v, deadline %v", c.DialTimeout(), c.UpstreamIdleTimeout(), c.LongestDeadline())
	}
}
