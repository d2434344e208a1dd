package config

import (
	"time"

	"springfield/internal/settings"
	"springfield/policy"
)

const (
	defaultDialTimeout       = 250 * time.Millisecond
	defaultServerIdleTimeout = 15 * time.Second

	// maxForwardDelay bounds the time from the policy's decision to forward a request until its first byte is written
	// to a connection, not counting the dial.
	maxForwardDelay = 50 * time.Millisecond
)

// DialTimeout returns the time limit for opening a connection to an endpoint.
func (c *Config) DialTimeout() time.Duration {
	if timeout := settings.Duration(c.Settings.Limits.DialTimeoutMs); timeout > 0 {
		return timeout
	}
	return defaultDialTimeout
}

// UpstreamIdleTimeout returns how long a connection to an endpoint may be idle. It is three fifths of the endpoint's
// own idle timeout, so that the gateway closes the connection first.
func (c *Config) UpstreamIdleTimeout() time.Duration {
	serverTimeout := settings.Duration(c.Settings.Limits.ConnIdleMs)
	if serverTimeout <= 0 {
		serverTimeout = defaultServerIdleTimeout
	}
	return serverTimeout * 3 / 5
}

// LongestDeadline returns the longest time that a client of any class waits for its response. Requests of a class
// without a deadline state their own, which settings.MaxDeadline bounds.
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

// PolicyConfig returns the policy configuration for real connections. It reduces each KeyTTL by the longest time
// between a decision and the first byte of its attempt, so that a retry arrives while endpoints remember its key.
func (c *Config) PolicyConfig(seed uint64) policy.Config {
	config := settings.PolicyConfig(&c.Settings, seed)
	for i := range config.Classes {
		class := &config.Classes[i]
		class.KeyTTL = max(0, class.KeyTTL-c.DialTimeout()-maxForwardDelay)
	}
	config.MaxCustomers = c.maxCustomers()
	return config
}
