// Command gateway is an edge gateway. It enforces customer quotas in front of the endpoints that all gateways share.
// The environment variable RELAY_CONFIG names its configuration file. SIGHUP makes it reload that file, and SIGTERM
// makes it drain and exit.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"springfield/internal/config"
	"springfield/internal/gateway"
	"springfield/internal/logging"
	"springfield/internal/oserror"
)

const (
	// maxProcs is GOMAXPROCS for a gateway, which has one core.
	maxProcs = 1

	// gcPercent is GOGC for a gateway. It lets the heap grow far between collections, because the live heap stays far
	// below the memory limit. Near that limit the collector runs more often regardless of gcPercent.
	gcPercent = 400

	// logLevelVariable is the environment variable for the log level. The value "debug" logs the steps of each request
	// with its id.
	logLevelVariable = "RELAY_LOG_LEVEL"

	// logFlushTimeout limits how long the process waits at its end for log lines to be written, in case nobody reads
	// the log.
	logFlushTimeout = 200 * time.Millisecond
)

func main() {
	// SIGPIPE is ignored because a write to standard error after its reader has closed it would end the process.
	signal.Ignore(syscall.SIGPIPE)
	log := logging.NewWriter(os.Stderr)
	options := &slog.HandlerOptions{Level: logLevel(os.Getenv(logLevelVariable))}
	slog.SetDefault(slog.New(slog.NewTextHandler(log, options)))
	// This message and the following ones show how far a process that does not become ready has come.
	slog.Info("starting", "pid", os.Getpid(), "procs", runtime.GOMAXPROCS(0))
	err := run()
	if err != nil {
		slog.Error("gateway failed", "err", err)
	}
	log.Flush(logFlushTimeout) // on a failure the lines are lost; the exit status still reports the error
	if err != nil {
		os.Exit(1)
	}
}

// logLevel returns the minimum level of logged messages: debug if the value is "debug", else info.
func logLevel(value string) slog.Level {
	if value == "debug" {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// run loads the configuration and serves until SIGTERM or an interrupt. It returns after the drain that follows.
func run() error {
	reload := make(chan os.Signal, 1) // one pending signal covers all that arrive meanwhile
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var cfg *config.Config
	readFile := configReader()
	err := oserror.RetryShortage(ctx, func() (err error) {
		cfg, err = config.LoadWith(os.Getenv, readFile)
		return err
	})
	if err != nil {
		return err
	}
	slog.Info("configuration loaded", "name", cfg.Name, "endpoints", len(cfg.Known.Servers))
	runtime.GOMAXPROCS(maxProcs) // has no effect if the environment has set GOMAXPROCS to the same value
	debug.SetGCPercent(gcPercent)
	if limit, ok := cfg.RuntimeMemory(); ok {
		debug.SetMemoryLimit(limit)
	}
	return gateway.Run(ctx, cfg, reload, networkHooks())
}
