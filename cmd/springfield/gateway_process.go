package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"springfield/internal/config"
	"springfield/internal/gateway"
)

// gatewayProcessName is the name of the command that runs this program as a gateway.
const gatewayProcessName = "gateway-process"

// These are the settings of a gateway process. They are the same as in cmd/gateway.
const (
	maxProcs          = 1   // GOMAXPROCS
	gcPercent         = 400 // GOGC
	reloadQueueLength = 1   // one pending reload covers all signals that arrive before it starts
)

type gatewayProcessCommand struct{}

// Run runs a gateway until SIGTERM or an interrupt, with the process settings of cmd/gateway.
func (*gatewayProcessCommand) Run(parent context.Context, env *environment) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(env.stderr, nil)))
	reload := make(chan os.Signal, reloadQueueLength)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(parent, syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return &inputError{err}
	}
	runtime.GOMAXPROCS(maxProcs)
	debug.SetGCPercent(gcPercent)
	if limit, ok := cfg.RuntimeMemory(); ok {
		debug.SetMemoryLimit(limit)
	}
	return gateway.Run(ctx, cfg, reload, gateway.NetworkHooks{})
}
