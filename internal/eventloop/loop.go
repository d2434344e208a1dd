// Package eventloop runs the policy engine. One goroutine owns the engine: it passes every event on to the engine and
// carries out the actions that the engine requests. It does no I/O and waits only for its own channels.
package eventloop

import (
	"context"
	"errors"
	"time"

	"springfield/internal/clock"
	"springfield/internal/upstream"
	"springfield/policy"
)

// ErrStopped is returned for an update that is published after the event loop has stopped.
var ErrStopped = errors.New("the event loop has stopped")

const (
	eventCapacity  = 1024
	updateCapacity = 16
)

// Loop is the event loop of a gateway. Its methods may be called from any goroutine.
type Loop struct {
	clock   clock.Clock
	pool    *upstream.Pool
	events  chan event
	updates chan endpointUpdate // handled before events
	stopped chan struct{}       // closed when Run returns

	// The goroutine that calls Run owns the fields below.
	engine           *policy.Engine
	classes          []policy.Class
	calls            map[policy.RequestID]*Call // open calls
	lastRequestID    policy.RequestID
	endpoints        map[policy.EndpointID]*upstream.Endpoint
	holders          map[string]addressHolder // by address
	timers           timerQueue
	compactTimersAt  int           // number of timers at which they are compacted
	now              time.Duration // when the current event was received
	shutdownDeadline time.Duration // time by which every call must end; 0 if no shutdown has begun
}

// New returns an event loop that creates its endpoints in the pool. Run starts it.
func New(c clock.Clock, config policy.Config, pool *upstream.Pool) *Loop {
	l := &Loop{
		clock:     c,
		pool:      pool,
		events:    make(chan event, eventCapacity),
		updates:   make(chan endpointUpdate, updateCapacity),
		stopped:   make(chan struct{}),
		calls:     map[policy.RequestID]*Call{},
		endpoints: map[policy.EndpointID]*upstream.Endpoint{},
		holders:   map[string]addressHolder{},
		classes:   config.Classes,
	}
	l.engine = policy.New(config, actions{l})
	return l
}

// DecisionCounts returns how often the engine has decided for each reason, as attributes of a log line. It blocks until
// Run has returned.
func (l *Loop) DecisionCounts() []any {
	<-l.stopped
	var attributes []any
	for _, counted := range l.engine.ReasonCounts() {
		attributes = append(attributes, counted.Reason.String(), counted.Count)
	}
	return attributes
}

// Run handles events until ctx ends. It must be called once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	l.now = l.clock.Now()
	l.engine.Start(l.now)
	wakeTimer := time.NewTimer(time.Hour)
	defer wakeTimer.Stop()
	var wakeAt time.Duration // when wakeTimer is due; 0 if it is not set for a queued timer
	for {
		if due, ok := l.nextTimer(); ok && due != wakeAt {
			wakeAt = due
			wakeTimer.Reset(wakeAt - l.clock.Now())
		}
		select {
		case update := <-l.updates:
			l.updateEndpoints(update)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case update := <-l.updates:
			l.updateEndpoints(update)
		case e := <-l.events:
			l.now = l.clock.Now()
			e.apply(l)
		case <-wakeTimer.C:
			wakeAt = 0
			l.fireTimers(l.clock.Now())
		}
	}
}
