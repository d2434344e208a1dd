package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"springfield/internal/emulator/invariant"
)

const (
	stallCheckInterval = 5 * time.Millisecond

	// maxStall is the longest time for which a run tolerates that this process does not get a processor. The time limits
	// of the rules allow for no longer delays, so findings of a run with a longer stall say nothing about the gateways.
	maxStall = invariant.SocketSlack

	// maxTries is how often a run whose findings are invalid is carried out.
	maxTries = 3

	tryDirectoryMode = 0o700
)

// Run carries out a plan, and repeats it if the machine was too busy for valid findings. It returns the result of the
// last try, which may be void. It returns an error if a run could not be carried out, whereas failures of gateways are
// findings. Each try has a directory of its own in that of the options.
func Run(ctx context.Context, plan Plan, options Options) (Result, error) {
	directory := options.Directory
	for try := 1; ; try++ {
		options.Directory = filepath.Join(directory, fmt.Sprintf("try-%d", try))
		if err := os.Mkdir(options.Directory, tryDirectoryMode); err != nil {
			return Result{}, err
		}
		result, err := runOnce(ctx, plan, options)
		if err != nil || !result.Void() || try == maxTries {
			return result, err
		}
	}
}

// stallDetector measures how late this process is woken up, which shows how busy the machine is.
type stallDetector struct {
	longest time.Duration
	stop    context.CancelFunc
	stopped chan struct{}
}

// startStallDetector starts a goroutine that measures until stallDetector.end is called.
func startStallDetector() *stallDetector {
	ctx, stop := context.WithCancel(context.Background())
	d := &stallDetector{stop: stop, stopped: make(chan struct{})}
	go d.measure(ctx)
	return d
}

func (d *stallDetector) measure(ctx context.Context) {
	defer close(d.stopped)
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		d.record(now.Sub(last))
		last = now
	}
}

// record records the time between two wake-ups.
func (d *stallDetector) record(gap time.Duration) { d.longest = max(d.longest, gap-stallCheckInterval) }

// end stops the measurement and returns the longest stall.
func (d *stallDetector) end() time.Duration {
	d.stop()
	<-d.stopped // closed only once, so that end may be called again
	return d.longest
}

// Void reports whether the findings of a run are invalid because the machine was too busy.
func (r *Result) Void() bool { return len(r.Findings) > 0 && r.Stall > maxStall }
