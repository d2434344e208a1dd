// Package counters counts events such as the reasons why connections close, attempts end and requests are refused. The
// gateway logs the counts when it exits and exposes them nowhere else. At the debug level each event is also logged as
// it occurs.
package counters

import (
	"context"
	"log/slog"
	"sync/atomic"
)

// Event identifies a counted event.
type Event uint8

// The events that are counted.
const (
	ConnectionAccepted Event = iota
	AcceptFailed
	AcceptDelayed      // the connections of clients were at their limit, and a new one had to wait for room
	MemoryDelayed      // the memory for large requests was in use, and a request had to wait for some
	CloseEvicted       // a client connection was closed to make room for another
	CloseDrained       // a client connection was closed because the gateway shuts down
	CloseByTimeout     // a client connection was idle too long, or a request on it did not complete in time
	CloseClientGone    // the client closed the connection
	CloseLast          // a client connection was closed after its last response
	AttemptOK          // the endpoint responded with status 200
	AttemptServerError // the endpoint responded with another status
	AttemptRejected    // the endpoint rejected the attempt without executing it
	AttemptTimedOut
	AttemptConnectFailed
	AttemptReset
	AttemptCancelled
	AttemptNotSent
	AttemptLocalFailure
	SendRefusedAborted  // an attempt was not sent because it was aborted
	SendRefusedEndpoint // an attempt was not sent because its endpoint is draining or removed
	SendRefusedDeadline // an attempt was not sent because its deadline had passed
	SendRefusedClient   // an attempt was not sent because its client had disconnected
	RequestServed
	RequestRejected
	RequestFailed
	RequestAbandoned // the client disconnected before the response
	RequestInvalid
	RequestEvicted       // an incomplete request was rejected to make room for another connection
	RequestWithoutRoom   // a request was rejected because there was no room for its connection
	RequestWithoutMemory // a request was rejected because there was no memory for it
	RequestHidesClose    // a request was rejected because so much was sent behind it that its client may have left
	ListPublished
	WatchEnded
	eventCount
)

var eventNames = [eventCount]string{
	ConnectionAccepted: "connection_accepted", AcceptFailed: "accept_failed", AcceptDelayed: "accept_delayed",
	MemoryDelayed: "memory_delayed",
	CloseEvicted:  "close_evicted", CloseDrained: "close_drained", CloseByTimeout: "close_by_timeout",
	CloseClientGone: "close_client_gone", CloseLast: "close_last",
	AttemptOK: "attempt_ok", AttemptServerError: "attempt_server_error", AttemptRejected: "attempt_rejected",
	AttemptTimedOut: "attempt_timed_out", AttemptConnectFailed: "attempt_connect_failed",
	AttemptReset: "attempt_reset", AttemptCancelled: "attempt_cancelled", AttemptNotSent: "attempt_not_sent",
	AttemptLocalFailure: "attempt_local_failure",
	SendRefusedAborted:  "send_refused_aborted", SendRefusedEndpoint: "send_refused_endpoint",
	SendRefusedDeadline: "send_refused_deadline", SendRefusedClient: "send_refused_client",
	RequestServed: "request_served", RequestRejected: "request_rejected", RequestFailed: "request_failed",
	RequestAbandoned: "request_abandoned", RequestInvalid: "request_invalid",
	RequestEvicted: "request_evicted", RequestWithoutRoom: "request_without_room",
	RequestWithoutMemory: "request_without_memory",
	RequestHidesClose:    "request_hides_close",
	ListPublished:        "list_published", WatchEnded: "watch_ended",
}

// String returns the name of the event.
func (e Event) String() string { return eventNames[e] }

var counts [eventCount]atomic.Uint64

// Count increments the counter of an event. At the debug level it also logs the event with the ID of the client's
// request, which may be empty.
func Count(event Event, requestID string) {
	counts[event].Add(1)
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug(event.String(), "request", requestID)
	}
}

// Value returns the number of times an event has occurred.
func Value(event Event) uint64 { return counts[event].Load() }

// Summary returns the nonzero counts as alternating keys and values for a log line.
func Summary() []any {
	var attributes []any
	for event := range eventCount {
		if count := Value(event); count > 0 {
			attributes = append(attributes, event.String(), count)
		}
	}
	return attributes
}
