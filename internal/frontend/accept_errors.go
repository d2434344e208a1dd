package frontend

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"springfield/internal/counters"
)

// Bounds of the delay between a failed call of accept and the next call. Clients wait in the accept queue of the
// operating system meanwhile, so the delay stays far below the shortest request deadline.
const (
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 32 * time.Millisecond
)

// isPermanentAcceptError reports whether a listener can never accept again after the error. All other errors are
// temporary: accept(2) also reports errors of the pending connection and shortages of descriptors or memory.
func isPermanentAcceptError(err error) bool {
	for _, permanent := range [...]error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		if errors.Is(err, permanent) {
			return true
		}
	}
	return false
}

// acceptBackoff delays the calls of accept exponentially while they fail.
type acceptBackoff struct {
	delay time.Duration // delay after the last failure; 0 after a success
}

// reset clears the delay after a successful call.
func (b *acceptBackoff) reset() { b.delay = 0 }

// failing reports whether the last call failed.
func (b *acceptBackoff) failing() bool { return b.delay > 0 }

// wait sleeps after a failed call and doubles the delay with each consecutive failure. It logs the first failure of a
// series.
func (b *acceptBackoff) wait(err error) {
	counters.Count(counters.AcceptFailed, "")
	if b.delay == 0 {
		slog.Warn("accept failed", "err", err)
	}
	b.delay = min(maxAcceptBackoff, max(minAcceptBackoff, 2*b.delay))
	time.Sleep(b.delay)
}
