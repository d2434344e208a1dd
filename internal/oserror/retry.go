package oserror

import (
	"context"
	"time"
)

// RetryShortage waits at most maxShortageRetries times shortageRetryDelay. The product of 5 s leaves time for the rest
// of the startup, because a gateway that is not ready after 30 s is considered failed.
const (
	shortageRetryDelay = 50 * time.Millisecond
	maxShortageRetries = 100
)

// RetryShortage calls a function until it succeeds, fails with an error other than a shortage, has exhausted its
// retries, or ctx ends. It returns the last error.
func RetryShortage(ctx context.Context, call func() error) error {
	for attempt := 0; ; attempt++ {
		err := call()
		if err == nil || !IsShortage(err) || attempt == maxShortageRetries {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(shortageRetryDelay):
		}
	}
}
