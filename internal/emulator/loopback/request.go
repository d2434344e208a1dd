package loopback

import (
	"fmt"
	"net/http"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/internal/settings"
)

const (
	requestIDHeader = "Req-Id"

	// requestRetention is how long a request is kept after its final outcome, so that late attempts are recognized.
	requestRetention = 30 * time.Second
)

// request is one try of a client: a first request or a retry. Its fields are accessed only in the scheduler, except the
// message, which does not change.
type request struct {
	arrival            model.Arrival // the try, routed by the load balancer in front of the gateways
	message            message
	transmission       transmission // form in which the client sends the message; does not change once it is sent
	inFlight           []*attempt
	attempts           int
	bodies             []string // bodies of the complete responses that endpoints made for the request
	metered            bool     // the meter has recorded the request's units
	billed             bool     // a response has reported the request's true units
	submissionObserved bool     // emulator.RequestSubmitted has been observed
	resent             bool     // the request was sent once more because the gateway had not read it
	leavesOnFailure    bool     // the client disconnects when an endpoint rejects or resets an attempt
	firstAttemptAt     time.Duration
	departure          departure // safe for concurrent use
}

// message is an HTTP request without its Req-Deadline header. Gateways pass method, path and body on unchanged.
type message struct {
	method, path, body string
	header             []string // complete header lines without CRLF
}

// newMessage returns the message of a request in the form of the gateways' HTTP protocol. The Req-Deadline header is
// added when the message is encoded.
func newMessage(scenario *emulator.Scenario, arrival *model.Arrival) message {
	class := &scenario.Classes[arrival.Class]
	m := message{
		method: http.MethodPost,
		path:   fmt.Sprintf("/%s/%016x", class.Name, uint64(arrival.Customer)),
		header: []string{
			fmt.Sprintf("%s: %016x", requestIDHeader, uint64(arrival.Request)),
			"Plan: " + scenario.Plans[arrival.Plan].Name,
			fmt.Sprintf("Quota-Info: units=%s,spread=%d,first=%d",
				formatDecimal(arrival.Units), arrival.SetSize, arrival.SetFirst),
		},
	}
	switch class.Idempotency {
	case settings.RepeatIdempotent:
		m.method = http.MethodGet
	case settings.RepeatDeduplicated:
		// A first try and its retries are the same operation, so they have the same key.
		m.header = append(m.header, fmt.Sprintf("Idempotency-Key: %016x", uint64(arrival.Original)))
	}
	if m.method == http.MethodPost {
		m.body = fmt.Sprintf("request %016x", uint64(arrival.Request))
	}
	return m
}

// encode returns the bytes that a client sends in the usual form. wait is how long the client waits for the answer,
// which it states in the Req-Deadline header.
func (m *message) encode(wait time.Duration) []byte { return (&transmission{}).encode(m, wait) }

// matches reports whether a received attempt carries the message unchanged.
func (m *message) matches(received receivedRequest) bool {
	head := received.head
	return head.Method == m.method && head.URL.RequestURI() == m.path && received.body == m.body
}
