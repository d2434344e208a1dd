package config

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"
)

// An unusable file may only be partly written yet, so ReloadOnSignal reads it again for up to 2 s.
const (
	retryInterval = 100 * time.Millisecond
	maxRetries    = 20
)

// IncompatibleError reports that a file is the configuration of another gateway or deployment.
type IncompatibleError struct {
	Field   string // field that differs
	Current string // value in the active configuration, or "" if it has none
	New     string // value in the file
}

func (e *IncompatibleError) Error() string {
	return fmt.Sprintf("incompatible configuration: %s is %q, want %q", e.Field, e.New, e.Current)
}

// Reload reads the file again. It ignores the environment variables, which cannot change after the process has started.
// The error wraps an *IncompatibleError if the file belongs to another gateway or deployment.
func (c *Config) Reload() (*Config, error) {
	reloaded, err := readWith(c.readFile, c.path)
	if err != nil {
		return nil, err
	}
	if _, _, err := net.SplitHostPort(reloaded.Discovery); err != nil {
		return nil, fmt.Errorf("%s: discovery address: %w", c.path, err)
	}
	if err := c.checkCompatible(reloaded); err != nil {
		return nil, fmt.Errorf("%s: %w", c.path, err)
	}
	return reloaded, nil
}

// checkCompatible rejects the configuration of another gateway or deployment. A gateway keeps its name across restarts
// and its settings until it exits, so it would apply the wrong settings to the endpoints of another deployment.
func (c *Config) checkCompatible(reloaded *Config) error {
	if reloaded.Name != "" && c.Name != "" && reloaded.Name != c.Name {
		return &IncompatibleError{Field: "name", Current: c.Name, New: reloaded.Name}
	}
	if err := c.checkClasses(reloaded); err != nil {
		return err
	}
	return c.checkPlans(reloaded)
}

func (c *Config) checkClasses(reloaded *Config) error {
	current := c.Settings.Classes
	for i := range reloaded.Settings.Classes {
		class := &reloaded.Settings.Classes[i]
		if i >= len(current) {
			return &IncompatibleError{Field: "class", New: class.Name}
		}
		if class.Name != current[i].Name {
			return &IncompatibleError{Field: "class", Current: current[i].Name, New: class.Name}
		}
		if class.Repeat != current[i].Repeat {
			return &IncompatibleError{Field: "repeat rule of class " + class.Name, Current: current[i].Repeat,
				New: class.Repeat}
		}
	}
	return nil
}

func (c *Config) checkPlans(reloaded *Config) error {
	current := c.Settings.Contracts
	for i := range reloaded.Settings.Contracts {
		plan := &reloaded.Settings.Contracts[i]
		if i >= len(current) {
			return &IncompatibleError{Field: "plan", New: plan.Name}
		}
		if plan.Name != current[i].Name {
			return &IncompatibleError{Field: "plan", Current: current[i].Name, New: plan.Name}
		}
	}
	return nil
}

// ReloadOnSignal reloads the configuration on each signal until ctx ends. It passes each usable configuration to apply,
// with the time of the signal that requested it, and retries an unusable file for a short time. Each file is compared
// with the configuration at startup, because a reload changes only the discovery address.
func ReloadOnSignal(ctx context.Context, current *Config, signals <-chan os.Signal, apply func(*Config, time.Time)) {
	var retry <-chan time.Time // fires when the next retry is due; nil if no retry is scheduled
	var requestedAt time.Time  // arrival of the first pending signal; zero if none is pending
	retries := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			retries = 0
			if requestedAt.IsZero() {
				requestedAt = time.Now()
			}
		case <-retry:
			retries++
		}
		retry = nil
		reloaded, err := current.Reload()
		if err == nil {
			slog.Info("configuration reloaded", "discovery", reloaded.Discovery)
			apply(reloaded, requestedAt)
			requestedAt = time.Time{}
			continue
		}
		if retries == 0 {
			slog.Warn("configuration kept", "err", err)
		}
		if retries < maxRetries {
			retry = time.After(retryInterval)
		} else {
			requestedAt = time.Time{}
		}
	}
}
