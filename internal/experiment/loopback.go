package experiment

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/invariant"
	"springfield/internal/emulator/loopback"
	"springfield/internal/measure"
)

// LoopbackOptions configures the gateway processes of loopback runs. Virtual runs do not use them.
type LoopbackOptions struct {
	Gateway     string       // path of the gateway program
	GatewayArgs []string     // arguments of the gateway program, usually none
	Directory   string       // for configurations and logs; "" selects a temporary directory for each run
	Logger      *slog.Logger // logger of the runs; nil selects slog.Default()
}

// ErrNoGateway is returned for a loopback run without the path of a gateway program.
var ErrNoGateway = errors.New("no gateway program is given")

const directoryMode = 0o755

// ProcessError is returned for a loopback run in which gateway processes failed in a way that no rule covers.
type ProcessError struct {
	Crashes         int
	NotReady        int
	UnknownRequests int64 // requests at endpoints that no client had sent
}

// Error returns the number of failures of each kind.
func (e *ProcessError) Error() string {
	return fmt.Sprintf("%d gateway processes crashed, %d were not ready in time, %d unknown requests reached endpoints",
		e.Crashes, e.NotReady, e.UnknownRequests)
}

// newLoopbackRunFunc returns a RunFunc that runs gateway processes on loopback sockets.
func newLoopbackRunFunc(options LoopbackOptions) RunFunc {
	return func(ctx context.Context, run Run) (result measure.Result, report invariant.Report, err error) {
		if run.Decider != Springfield {
			return result, report, &UnknownDeciderError{Name: run.Decider}
		}
		if options.Gateway == "" {
			return result, report, ErrNoGateway
		}
		directory, remove, err := runDirectory(options.Directory, run)
		if err != nil {
			return result, report, err
		}
		defer remove()
		recorder := measure.NewLoadRecorder(&run.Scenario)
		checker := invariant.NewChecker(&run.Scenario, invariant.WithSlack(invariant.SocketSlack),
			invariant.WithTransit(invariant.SocketTransit))
		summary, runErr := loopback.Run(ctx, loopback.Options{
			Scenario:    run.Scenario,
			Seed:        run.Seed,
			Gateway:     options.Gateway,
			GatewayArgs: options.GatewayArgs,
			Directory:   directory,
			Observer:    emulator.Observers{recorder, checker},
			Logger:      options.Logger,
		})
		end := time.Duration(time.Now().UnixNano())
		result, report = recorder.Result(end), checker.Finish(end)
		return result, report, loopbackRunError(&summary, report, runErr)
	}
}

// loopbackRunError returns the reason why a run has no valid result, or nil if it has one. Unanswered requests do not
// invalidate a run whose report contains a broken rule, because the report shows them.
func loopbackRunError(summary *loopback.Summary, report invariant.Report, err error) error {
	switch {
	case summary.GatewayCrashes > 0 || summary.ReadinessTimeouts > 0 || summary.UnknownRequests > 0:
		failure := &ProcessError{Crashes: summary.GatewayCrashes, NotReady: summary.ReadinessTimeouts,
			UnknownRequests: summary.UnknownRequests}
		return errors.Join(failure, err)
	case errors.Is(err, loopback.ErrUnanswered) && !report.Passed():
		return nil
	default:
		return err
	}
}

// runDirectory creates the directory of a run. The returned function removes a temporary directory and keeps one in
// parent.
func runDirectory(parent string, run Run) (directory string, remove func(), err error) {
	if parent != "" {
		name := fmt.Sprintf("%s-size%g-seed%d", run.Scenario.Name, run.Size, run.Seed)
		directory = filepath.Join(parent, name)
		return directory, func() {}, os.MkdirAll(directory, directoryMode)
	}
	directory, err = os.MkdirTemp("", "springfield-experiment-")
	return directory, func() { _ = os.RemoveAll(directory) }, err // an error leaves files only in os.TempDir
}
