package config

import (
	"time"

	"springfield/internal/settings"
	"springfield/policy"
)

const (
	defaultDialTimeout       = 250 * time.Millisecond
	defaultServerIdleTimeout = 15 * time.Second

	// maxForwardDelay bounds the time from the policy's decision to forward a request to its first byte on a
	// connection, besides the time of a dial.
	maxForwardDelay = 50 * time.Millisecond
)

// DialTimeout returns the time limit for opening a connection to an endpoint.
func (c *Config) DialTimeout() time.Duration {
	if timeout := settings.Duration(c.Settings.Limits.DialTimeoutMs); timeout > 0 {
		return timeout
	}
	return defaultDialTimeout
}

// UpstreamIdleTimeout returns how long a connection to an endpoint may be idle: three fifths of the time after which
// the endpoint closes it.
func (c *Config) UpstreamIdleTimeout() time.Duration {
	serverTimeout := settings.Duration(c.Settings.Limits.ConnIdleMs)
	if serverTimeout <= 0 {
		serverTimeout = defaultServerIdleTimeout
	}
	return serverTimeout * 3 / 5
}

// LongestDeadline returns the longest time that a client of any class waits for its response. Where a class has no
// deadline of its own, requests state one, up to settings.MaxDeadline.
func (c *Config) LongestDeadline() time.Duration {
	var longest time.Duration
	for i := range c.Settings.Classes {
		deadline := settings.Duration(c.Settings.Classes[i].HardLimitMs)
		if deadline <= 0 {
			return settings.MaxDeadline
		}
		longest = max(longest, deadline)
	}
	return longest
}

// PolicyConfig returns the policy's configuration for real connections. An attempt may wait for a dial, so the time in
// which endpoints discard repeated idempotency keys is shorter for the policy by the longest such delay.
func (c *Config) PolicyConfig(seed uint64) policy.Config {
	config := settings.PolicyConfig(&c.Settings, seed)
	for i := range config.Classes {
		class := &config.Classes[i]
		class.KeyTTL = max(0, class.KeyTTL-c.DialTimeout()-maxForwardDelay)
	}
	return config
}
