package eventloop

import (
	"context"
	"errors"
	"testing"

	"springfield/internal/clock"
	"springfield/internal/discovery"
	"springfield/internal/testkit"
	"springfield/internal/upstream"
	"springfield/policy"
)

// Neither updates nor events may block their senders for ever once nobody handles them.
func TestStoppedLoopBlocksNobody(t *testing.T) {
	loop := New(clock.New(), policy.Config{}, upstream.NewPool(upstream.Options{}))
	ctx, stop := context.WithCancel(t.Context())
	stop()
	loop.Run(ctx)
	for range cap(loop.updates) {
		loop.updates <- endpointUpdate{}
	}
	for range cap(loop.events) {
		loop.events <- clientDisconnected{}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		loop.BeginShutdown(0)
		if _, err := loop.PublishEndpoints(t.Context(), discovery.Update{}); !errors.Is(err, ErrStopped) {
			t.Errorf("got %v, want %v", err, ErrStopped)
		}
	}()
	testkit.WaitFor(t, "the senders", done)
}

func TestPublishEndpointsEndsWithItsContext(t *testing.T) {
	loop := New(clock.New(), policy.Config{}, upstream.NewPool(upstream.Options{}))
	for range cap(loop.updates) {
		loop.updates <- endpointUpdate{}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := loop.PublishEndpoints(ctx, discovery.Update{}); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
}
