// Package testkit provides helpers for tests of the network code: a scripted upstream server, a scripted discovery
// service, a client that writes raw bytes, and functions that wait with a timeout. Only tests import it.
package testkit

import (
	"testing"
	"time"

	"springfield/internal/invariant"
)

// init makes a violated invariant panic in every test binary that imports the package.
func init() { invariant.PanicOnViolation() }

// Timeout bounds every wait of a test.
const Timeout = 10 * time.Second

const pollInterval = time.Millisecond

// WaitFor waits until the channel has a value or is closed. It fails the test after Timeout.
func WaitFor(t testing.TB, what string, events <-chan struct{}) {
	t.Helper()
	Receive(t, what, events)
}

// Receive returns the next value of the channel. It fails the test after Timeout.
func Receive[T any](t testing.TB, what string, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(Timeout):
		t.Fatalf("timed out waiting for: %s", what)
		panic("unreachable")
	}
}

// Eventually polls until the condition holds. It fails the test after Timeout. It serves conditions that no channel
// signals.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}
