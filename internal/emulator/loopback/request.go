package loopback

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/internal/settings"
)

const (
	requestIDHeader = "Req-Id"

	// requestRetention is how long a request is known after its final answer, for attempts that come late.
	requestRetention = 30 * time.Second
)

// request is one try of a client. Its fields belong to the scheduler, but for the message, which does not change.
type request struct {
	arrival            model.Arrival // its gateway is the one that the front has brought it to
	message            message
	inFlight           []*attempt
	attempts           int
	bodies             []string // of the complete answers that endpoints made for it
	metered            bool     // its units have been taken
	billed             bool     // an answer has carried its true units
	submissionObserved bool     // as submitted
	resent             bool     // it was sent once more because it had not been read
}

// message is the part of a request that gateways pass on unchanged, and the rest of its head.
type message struct {
	method, path, body string
	header             []string // complete lines without their ends
}

// newMessage writes a request as PROTOCOL-springfield.md has it. Its Req-Deadline is added when it is sent.
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
		// All tries of a client are the same operation.
		m.header = append(m.header, fmt.Sprintf("Idempotency-Key: %016x", uint64(arrival.Original)))
	}
	if m.method == http.MethodPost {
		m.body = fmt.Sprintf("request %016x", uint64(arrival.Request))
	}
	return m
}

// encode returns the message as a client writes it. The client waits for the given time.
func (m *message) encode(wait time.Duration) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: origin.svc\r\n", m.method, m.path)
	for _, line := range m.header {
		text.WriteString(line + "\r\n")
	}
	fmt.Fprintf(&text, "Req-Deadline: %.3f\r\n", wait.Seconds())
	if m.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(m.body))
	}
	text.WriteString("\r\n" + m.body)
	return text.Bytes()
}

// matches reports whether an attempt carries the message unchanged.
func (m *message) matches(received receivedRequest) bool {
	head := received.head
	return head.Method == m.method && head.URL.RequestURI() == m.path && received.body == m.body
}
