package frontend

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"springfield/internal/counters"
)

// Pauses before another call of accept after one that has failed. Clients wait in the machine's accept queue
// meanwhile, so the pauses stay far below the shortest deadlines.
const (
	minAcceptPause = time.Millisecond
	maxAcceptPause = 32 * time.Millisecond
)

// acceptIsOver reports whether a listener can never accept again after the error. All other errors pass: accept(2)
// reports errors of the connection that was to be accepted, and a lack of descriptors or memory.
func acceptIsOver(err error) bool {
	for _, final := range [...]error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, final) {
			return true
		}
	}
	return false
}

// acceptRetry paces the calls of accept while they fail.
type acceptRetry struct {
	pause time.Duration // before the next call; 0: the last one succeeded
}

// succeeded ends a series of failures.
func (r *acceptRetry) succeeded() { r.pause = 0 }

// wait pauses after a failure, longer each time in a row. The first failure of a series is logged.
func (r *acceptRetry) wait(err error) {
	counters.Count(counters.AcceptFailed, "")
	if r.pause == 0 {
		slog.Warn("accept failed", "err", err)
	}
	r.pause = min(maxAcceptPause, max(minAcceptPause, 2*r.pause))
	time.Sleep(r.pause)
}
