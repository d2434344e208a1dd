// Package counters counts why connections close, attempts end and requests are refused. The counts are shown once, at
// the end of the process; nothing on the wire tells of them. At the debug level each event is also logged as it occurs.
package counters

import (
	"context"
	"log/slog"
	"sync/atomic"
)

// Event names something that is counted.
type Event uint8

// The events.
const (
	ConnectionAccepted Event = iota
	AcceptFailed
	CloseEvicted       // a connection of a client makes room for another
	CloseDrained       // the gateway shuts down
	CloseByTimeout     // idle, or a request on it did not become complete
	CloseClientGone    // the client has gone
	CloseLast          // after its last response
	AttemptOK          // an attempt was answered with 200
	AttemptServerError // answered otherwise
	AttemptRejected    // the endpoint did not run it
	AttemptTimedOut
	AttemptConnectFailed
	AttemptReset
	AttemptCancelled
	AttemptNotSent
	AttemptLocalFailure
	SendRefusedAborted  // an attempt was not sent since it was aborted,
	SendRefusedEndpoint // since its endpoint drains or has gone,
	SendRefusedDeadline // since its time was up,
	SendRefusedClient   // or since its client has gone
	RequestServed
	RequestRejected
	RequestFailed
	RequestAbandoned // its client has gone
	RequestInvalid
	ListPublished
	WatchEnded
	eventCount
)

var names = [eventCount]string{
	ConnectionAccepted: "connection_accepted", AcceptFailed: "accept_failed",
	CloseEvicted: "close_evicted", CloseDrained: "close_drained", CloseByTimeout: "close_by_timeout",
	CloseClientGone: "close_client_gone", CloseLast: "close_last",
	AttemptOK: "attempt_ok", AttemptServerError: "attempt_server_error", AttemptRejected: "attempt_rejected",
	AttemptTimedOut: "attempt_timed_out", AttemptConnectFailed: "attempt_connect_failed",
	AttemptReset: "attempt_reset", AttemptCancelled: "attempt_cancelled", AttemptNotSent: "attempt_not_sent",
	AttemptLocalFailure: "attempt_local_failure",
	SendRefusedAborted:  "send_refused_aborted", SendRefusedEndpoint: "send_refused_endpoint",
	SendRefusedDeadline: "send_refused_deadline", SendRefusedClient: "send_refused_client",
	RequestServed: "request_served", RequestRejected: "request_rejected", RequestFailed: "request_failed",
	RequestAbandoned: "request_abandoned", RequestInvalid: "request_invalid",
	ListPublished: "list_published", WatchEnded: "watch_ended",
}

// String returns the name of the event.
func (e Event) String() string { return names[e] }

var counts [eventCount]atomic.Uint64

// Count counts an event, and logs it at the debug level with the id of the client's request, if there is one.
func Count(event Event, requestID string) {
	counts[event].Add(1)
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug(event.String(), "request", requestID)
	}
}

// Of returns how often an event has occurred.
func Of(event Event) uint64 { return counts[event].Load() }

// Summary returns the counts of all events that have occurred, as attributes of a log line.
func Summary() []any {
	var attributes []any
	for event := range eventCount {
		if count := Of(event); count > 0 {
			attributes = append(attributes, event.String(), count)
		}
	}
	return attributes
}
