package gateway

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"time"
)

const (
	// drainDelay is how long a drain accepts new connections. It is longer than the 0.2 to 0.4 s for which new
	// connections still arrive after SIGTERM.
	drainDelay = 500 * time.Millisecond

	// maxDrainDuration limits the time that open requests have to finish after drainDelay. After SIGTERM the process may
	// be killed once the longest request deadline plus 0.7 s have passed, where the protocol counts a deadline of more
	// than 3 s as 3 s. After drainDelay and exitMargin 0.1 s of the 0.7 s is left.
	maxDrainDuration = 3 * time.Second

	// exitMargin is the time for the last responses to reach their clients.
	exitMargin = 100 * time.Millisecond

	// drainPollInterval is the interval at which a drain checks whether the last connection has ended.
	drainPollInterval = 10 * time.Millisecond
)

// shutDown drains the client connections and closes the server. Every accepted request is answered before that.
func shutDown(parts *components, listener net.Listener, served <-chan error, longestDeadline time.Duration,
	opts options) error {
	delay := cmp.Or(opts.drainDelay, drainDelay)
	startedAt := time.Now()
	parts.server.BeginDrain()
	answerDeadline := startedAt.Add(delay + min(longestDeadline, maxDrainDuration))
	parts.loop.BeginShutdown(parts.clock.FromTime(answerDeadline))
	time.Sleep(delay)
	// Connections in the accept queue of the operating system are accepted before the listener is closed.
	parts.server.StopAccepting(answerDeadline)
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		slog.Warn("accepting failed", "err", err) // the drain goes on with the open connections
	}
	_ = listener.Close() // its accept queue is empty

	// http.Server.Shutdown is not used because it closes connections whose request is still being read.
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for !parts.server.ContinueDrain(time.Now(), time.Now().After(answerDeadline.Add(exitMargin))) {
		<-poll.C
	}
	return parts.server.Close()
}
