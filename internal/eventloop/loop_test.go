package eventloop

import (
	"context"
	"errors"
	"testing"
	"time"

	"springfield/internal/clock"
	"springfield/internal/discovery"
	"springfield/internal/testkit"
	"springfield/internal/upstream"
	"springfield/policy"
)

// After the loop has stopped nothing drains its full queues. Senders of updates and events must not block forever.
func TestStoppedLoopDoesNotBlockSenders(t *testing.T) {
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
			t.Errorf("got error %v, want %v", err, ErrStopped)
		}
	}()
	testkit.WaitFor(t, "the senders", done)
}

// The discovery client must be able to stop while the queue of updates is full.
func TestPublishEndpointsReturnsWhenContextIsCancelled(t *testing.T) {
	loop := New(clock.New(), policy.Config{}, upstream.NewPool(upstream.Options{}))
	for range cap(loop.updates) {
		loop.updates <- endpointUpdate{}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := loop.PublishEndpoints(ctx, discovery.Update{}); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want %v", err, context.Canceled)
	}
}

// The loop must report the number and the endpoint of an attempt with its result: the engine retries only after the
// result of its current attempt, and ejects the endpoint that the result names.
func TestAttemptResultCarriesItsNumberAndEndpoint(t *testing.T) {
	loop := newTestLoop(t, nil)
	update := discovery.Update{Kind: policy.UpdateFull}
	for id := policy.EndpointID(11); id <= 13; id++ {
		update.Endpoints = append(update.Endpoints, discovery.Endpoint{
			Endpoint: policy.Endpoint{ID: id, Weight: 1, State: policy.StateReady},
			Address:  "127.0.0.1:1",
		})
	}
	if _, err := loop.PublishEndpoints(t.Context(), update); err != nil {
		t.Fatal(err)
	}
	loop.updateEndpoints(<-loop.updates)

	retriedCall := submitAt(loop, loop.now)
	rejectingEndpoint := retriedCall.attempt.endpoint
	for number := range 2 {
		if _, ok := (<-retriedCall.Commands()).(Forward); !ok || retriedCall.attempt.number != number {
			t.Fatalf("attempt %d was not forwarded: %+v", number, retriedCall.attempt)
		}
		loop.FinishAttempt(retriedCall, upstream.Result{Status: policy.StatusRejected})
		loop.handleEvent(loop.now + time.Millisecond)
		if len(retriedCall.Commands()) != 1 {
			t.Fatalf("attempt %d: no command after the result", number)
		}
	}
	for customer := range 6 {
		call := NewCall("a", policy.Request{Customer: policy.CustomerID(customer + 1), Units: 1, SetSize: 1},
			loop.now+time.Second)
		loop.Submit(call)
		loop.handleEvent(loop.now)
		if call.attempt == nil || call.attempt.endpoint == rejectingEndpoint {
			t.Errorf("endpoint %d rejected a request but got another, or none was sent: %+v", rejectingEndpoint, call.attempt)
		}
	}
}
