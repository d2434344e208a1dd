package gateway

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"time"
)

const (
	// drainDelay is how long new connections are accepted in a drain. It outlasts the 0.2 to 0.4 s in which they
	// still come after SIGTERM.
	drainDelay = 500 * time.Millisecond

	// killNotBefore bounds how long requests may take in a drain. After SIGTERM the process may be killed once the
	// longest deadline and 0.7 s have passed, and the protocol counts a longer deadline as this. With drainDelay and
	// exitMargin 0.1 s is left.
	killNotBefore = 3 * time.Second

	// exitMargin is for the last answers to reach their clients.
	exitMargin = 100 * time.Millisecond

	// drainPollInterval is how often a drain looks whether the last connection has ended.
	drainPollInterval = 10 * time.Millisecond
)

// shutDown drains the clients' connections and closes the server: no request that was accepted goes unanswered.
func shutDown(parts *components, listener net.Listener, served <-chan error, longestDeadline time.Duration,
	opts options) error {
	delay := cmp.Or(opts.drainDelay, drainDelay)
	startedAt := time.Now()
	parts.server.BeginDrain()
	answerBy := startedAt.Add(delay + min(longestDeadline, killNotBefore))
	parts.loop.BeginShutdown(parts.clock.FromTime(answerBy))
	time.Sleep(delay)
	// Connections in the machine's accept queue are accepted before the listener is closed.
	parts.server.StopAccepting()
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		slog.Warn("accepting failed", "err", err) // the drain goes on with the connections that are open
	}
	_ = listener.Close() // nothing is left in it

	// http.Server.Shutdown would close connections whose request is just being read.
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for !parts.server.ContinueDrain(time.Now(), time.Now().After(answerBy.Add(exitMargin))) {
		<-poll.C
	}
	return parts.server.Close()
}
