// Command gateway is an edge gateway: it holds customers to their quotas in front of the endpoints that all gateways
// share. The environment variable RELAY_CONFIG names its configuration file. SIGHUP makes it read that file again, and
// SIGTERM makes it drain and exit.
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
	// maxProcs is the number of cores that a gateway has.
	maxProcs = 1

	// gcPercent lets the heap grow far before it is collected, because it stays far below the memory limit. Near the
	// limit the collector works harder.
	gcPercent = 400

	// heapShare is the part of the memory limit that the Go runtime may use.
	heapShare = 0.75

	bytesPerMB = 1 << 20

	// logLevelVariable may be "debug", which logs the steps of each request by its id.
	logLevelVariable = "RELAY_LOG_LEVEL"

	// logFlushTimeout bounds how long the end of the process waits for a log that is not read.
	logFlushTimeout = 200 * time.Millisecond
)

func main() {
	// A write to standard error whose reader has gone would end the process.
	signal.Ignore(syscall.SIGPIPE)
	log := logging.NewWriter(os.Stderr)
	options := &slog.HandlerOptions{Level: logLevel(os.Getenv(logLevelVariable))}
	slog.SetDefault(slog.New(slog.NewTextHandler(log, options)))
	// This line and the next ones of a start tell how far a process has come that does not get ready.
	slog.Info("starting", "pid", os.Getpid(), "procs", runtime.GOMAXPROCS(0))
	err := run()
	if err != nil {
		slog.Error("gateway failed", "err", err)
	}
	log.Flush(logFlushTimeout) // if it fails the lines are lost; the exit status tells of the error all the same
	if err != nil {
		os.Exit(1)
	}
}

// logLevel returns the least level that is logged: info, or debug where the variable says so.
func logLevel(text string) slog.Level {
	if text == "debug" {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// run serves until SIGTERM or an interrupt and the drain that follows.
func run() error {
	reload := make(chan os.Signal, 1) // one that is pending stands for all that come meanwhile
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var cfg *config.Config
	err := oserror.RetryShortage(ctx, func() (err error) {
		cfg, err = config.Load(os.Getenv)
		return err
	})
	if err != nil {
		return err
	}
	slog.Info("configuration loaded", "name", cfg.Name, "endpoints", len(cfg.Known.Servers))
	runtime.GOMAXPROCS(maxProcs) // does nothing where the environment has set it
	debug.SetGCPercent(gcPercent)
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(cfg.Limits.MemoryMB) * bytesPerMB))
	}
	return gateway.Run(ctx, cfg, reload, networkHooks())
}
