package config

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"
)

// A file that cannot be used may be one that is just being written: it is read again for 2 s.
const (
	rereadInterval = 100 * time.Millisecond
	maxRereads     = 20
)

// IncompatibleError says that a file is the configuration of another gateway or of another deployment.
type IncompatibleError struct {
	Field   string // what differs
	Current string // its value in the configuration in force; "": there is none
	New     string // its value in the file
}

func (e *IncompatibleError) Error() string {
	return fmt.Sprintf("incompatible configuration: %s %q in place of %q", e.Field, e.New, e.Current)
}

// Reload reads the file again. The environment variables are ignored: they are as old as the process. The error is an
// *IncompatibleError if the file belongs to another gateway or deployment.
func (c *Config) Reload() (*Config, error) {
	fresh, err := read(c.path)
	if err != nil {
		return nil, err
	}
	if _, _, err := net.SplitHostPort(fresh.Discovery); err != nil {
		return nil, fmt.Errorf("%s: the address of discovery: %w", c.path, err)
	}
	if err := c.checkCompatible(fresh); err != nil {
		return nil, fmt.Errorf("%s: %w", c.path, err)
	}
	return fresh, nil
}

// checkCompatible rejects the configuration of another gateway or deployment. A gateway keeps its name when it restarts
// and its settings for as long as it runs, so the endpoints of another deployment would be used by the wrong rules.
func (c *Config) checkCompatible(fresh *Config) error {
	if fresh.Name != "" && c.Name != "" && fresh.Name != c.Name {
		return &IncompatibleError{Field: "name", Current: c.Name, New: fresh.Name}
	}
	if err := c.checkClasses(fresh); err != nil {
		return err
	}
	return c.checkPlans(fresh)
}

func (c *Config) checkClasses(fresh *Config) error {
	current := c.Settings.Classes
	for i := range fresh.Settings.Classes {
		class := &fresh.Settings.Classes[i]
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

func (c *Config) checkPlans(fresh *Config) error {
	current := c.Settings.Contracts
	for i := range fresh.Settings.Contracts {
		plan := &fresh.Settings.Contracts[i]
		if i >= len(current) {
			return &IncompatibleError{Field: "plan", New: plan.Name}
		}
		if plan.Name != current[i].Name {
			return &IncompatibleError{Field: "plan", Current: current[i].Name, New: plan.Name}
		}
	}
	return nil
}

// ReloadOnSignal reloads the configuration at each signal until ctx ends, and passes each one that can be used to apply, with
// the time of the signal that asked for it. It reads a file that cannot be used again for a short time. Each file is
// compared with the current configuration of the start, since only the address of discovery is taken over from a new
// one.
func ReloadOnSignal(ctx context.Context, current *Config, signals <-chan os.Signal, apply func(*Config, time.Time)) {
	var reread <-chan time.Time // nil: no reread is due
	var askedAt time.Time       // when the first signal came that has not been served; zero: all have been
	rereads := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			rereads = 0
			if askedAt.IsZero() {
				askedAt = time.Now()
			}
		case <-reread:
			rereads++
		}
		reread = nil
		fresh, err := current.Reload()
		if err == nil {
			slog.Info("configuration reloaded", "discovery", fresh.Discovery)
			apply(fresh, askedAt)
			askedAt = time.Time{}
			continue
		}
		if rereads == 0 {
			slog.Warn("configuration kept", "err", err)
		}
		if rereads < maxRereads {
			reread = time.After(rereadInterval)
		} else {
			askedAt = time.Time{}
		}
	}
}
