// Package testkit holds what the tests of the network code share: a scripted upstream server, a scripted
// discovery service, a client that writes raw bytes, and functions that wait with a time limit. Only tests
// import it.
package testkit

import (
	"testing"
	"time"

	"springfield/internal/invariant"
)

// In tests a violated invariant ends the process.
func init() { invariant.PanicOnViolation() }

// Timeout is the limit for anything that a test waits for.
const Timeout = 10 * time.Second

const pollInterval = time.Millisecond

// WaitFor waits for a value on the channel, or for its closing, and ends the test when neither comes in time.
func WaitFor(t testing.TB, what string, events <-chan struct{}) {
	t.Helper()
	Receive(t, what, events)
}

// Receive returns the next value of the channel and ends the test when none comes in time.
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

// Eventually polls until the condition holds and ends the test when that takes too long. It is for
// conditions of which no channel informs.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}
