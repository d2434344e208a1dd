package oserror_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"springfield/internal/oserror"
)

// An error of this machine must not be attributed to an endpoint, nor an error of an endpoint to this machine. Errors
// are wrapped as the net package wraps them.
func TestErrorsAreClassified(t *testing.T) {
	wrap := func(errno syscall.Errno) error {
		return fmt.Errorf("dial: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", errno)})
	}
	for _, test := range []struct {
		err             error
		local, shortage bool
	}{
		{wrap(syscall.EMFILE), true, true},
		{wrap(syscall.ENFILE), true, true},
		{wrap(syscall.ENOBUFS), true, true},
		{wrap(syscall.ENOMEM), true, true},
		{wrap(syscall.EADDRNOTAVAIL), true, false},
		{wrap(syscall.ENETUNREACH), true, false},
		{wrap(syscall.ECONNREFUSED), false, false},
		{wrap(syscall.EHOSTUNREACH), false, false},
		{wrap(syscall.ETIMEDOUT), false, false},
		{os.ErrDeadlineExceeded, false, false},
		{errors.New("other"), false, false},
		{nil, false, false},
	} {
		if local, shortage := oserror.IsLocal(test.err), oserror.IsShortage(test.err); local != test.local ||
			shortage != test.shortage {
			t.Errorf("%v: local is %v, shortage is %v", test.err, local, shortage)
		}
	}
}

// A temporary shortage at startup must not fail the process. Other errors must be returned at once, and a permanent
// shortage or an ended context must end the retries.
func TestOnlyShortagesAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		failing := func(failures int, err error) func() error {
			calls = 0
			return func() error {
				if calls++; calls <= failures {
					return err
				}
				return nil
			}
		}
		const maxCalls = 1_000_000
		if err := oserror.RetryShortage(t.Context(), failing(20, syscall.ENOBUFS)); err != nil || calls != 21 {
			t.Errorf("%v after %d calls", err, calls)
		}
		if err := oserror.RetryShortage(t.Context(), failing(1, syscall.EADDRINUSE)); err == nil || calls != 1 {
			t.Errorf("%v after %d calls", err, calls)
		}
		if err := oserror.RetryShortage(t.Context(), failing(maxCalls, syscall.EMFILE)); err == nil || calls >= maxCalls {
			t.Errorf("%v after %d calls", err, calls)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := oserror.RetryShortage(ctx, failing(maxCalls, syscall.EMFILE)); err == nil || calls != 1 {
			t.Errorf("%v after %d calls with an ended context", err, calls)
		}
	})
}
