package oserror

import (
	"context"
	"time"
)

// A shortage at the start of the process is waited out for shortageRetries times shortagePause: a gateway counts as
// failed when it is not ready after 30 s.
const (
	shortagePause   = 50 * time.Millisecond
	shortageRetries = 100
)

// RetryShortage calls a function until it succeeds, fails for another reason than a shortage, has been called for some
// seconds, or ctx ends. It returns the last error.
func RetryShortage(ctx context.Context, call func() error) error {
	for attempt := 0; ; attempt++ {
		err := call()
		if err == nil || !IsShortage(err) || attempt == shortageRetries {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(shortagePause):
		}
	}
}
