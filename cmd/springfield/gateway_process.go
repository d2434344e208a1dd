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

// gatewayProcessName is the command by which this program runs as a gateway.
const gatewayProcessName = "gateway-process"

// The limits of a gateway's process are those of cmd/gateway.
const (
	maxProcs          = 1
	gcPercent         = 400
	heapShare         = 0.75
	bytesPerMB        = 1 << 20
	reloadQueueLength = 1 // one that is pending stands for all that come meanwhile
)

type gatewayProcessCommand struct{}

// Run is a gateway until SIGTERM or an interrupt, set up as in cmd/gateway.
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
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(cfg.Limits.MemoryMB) * bytesPerMB))
	}
	return gateway.Run(ctx, cfg, reload, gateway.NetworkHooks{})
}
