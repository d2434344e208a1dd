package loopback

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"springfield/internal/emulator/model"
	"springfield/policy"
)

// unsolicitedDelay is the time between a response and the unsolicited response that follows it.
const unsolicitedDelay = 3 * time.Millisecond

// response is an HTTP response of an endpoint.
type response struct {
	status           int
	header           []string // complete header lines without CRLF
	body             string
	closesConnection bool      // the endpoint closes the connection after the response
	truncated        bool      // only the first half of the body is sent
	unsolicited      *response // a second response that no request has asked for; nil: none
	fault            byteFault // fault in the transmission of the response; the zero value is no fault
}

// encode returns the bytes of the response as they are sent without a byteFault.
func (r *response) encode() []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	for _, line := range r.header {
		text.WriteString(line + "\r\n")
	}
	fmt.Fprintf(&text, "Content-Type: text/plain\r\nContent-Length: %d\r\n", len(r.body))
	if r.closesConnection && !r.truncated {
		text.WriteString("Connection: close\r\n")
	}
	text.WriteString("\r\n")
	body := r.body
	if r.truncated {
		body = body[:len(body)/2]
	}
	text.WriteString(body)
	return text.Bytes()
}

// newResponse returns the response to an attempt. While the fault of spoilt answers is active, some responses are
// truncated and others are followed by an unsolicited response.
func (w *World) newResponse(a *attempt, result model.JobResult) *response {
	r := &response{header: w.responseHeaderLines(a, result)}
	switch result {
	case model.JobRejected:
		r.status = http.StatusServiceUnavailable
		r.closesConnection = !a.conn.admitted
		return r
	case model.JobError:
		r.status = http.StatusInternalServerError
		return r
	}
	r.status = http.StatusOK
	r.body = fmt.Sprintf("endpoint %d made this for request %016x, attempt %d\n",
		a.conn.endpoint.id, uint64(a.request.arrival.Request), a.number)
	w.spoilResponse(r)
	if !r.truncated { // a truncated response that is sent twice could be read as one complete response
		r.fault = w.drawByteFault(w.attemptRandom)
	}
	if r.fault.truncates() {
		r.closesConnection = true
	}
	if !r.truncated && !r.fault.truncates() {
		a.request.bodies = append(a.request.bodies, r.body)
	}
	return r
}

// spoilResponse truncates a response or adds an unsolicited one, with the probability spoiltShare.
func (w *World) spoilResponse(r *response) {
	if w.attemptRandom.Float64() >= w.spoiltShare {
		return
	}
	if w.attemptRandom.IntN(2) == 0 {
		r.truncated, r.closesConnection = true, true
		return
	}
	r.unsolicited = &response{status: http.StatusOK, body: "nobody has asked for this\n"}
}

// responseHeaderLines returns the header lines that report a rejection, the customer's usage, the billed units and the
// endpoint's load.
func (w *World) responseHeaderLines(a *attempt, result model.JobResult) []string {
	var lines []string
	if result == model.JobRejected {
		lines = append(lines, "Srv-Declined: 1")
	}
	clientArrival := &a.request.arrival
	rate := w.scenario.Plans[clientArrival.Plan].Rate
	if share, ok := w.meter.Reading(w.scheduler.Now(), clientArrival.Customer, rate); ok {
		lines = append(lines, "Usage-Percent: "+formatDecimal(share*percent))
	}
	if w.scenario.Meter.Settled && result == model.JobServed && !a.request.billed {
		a.request.billed = true
		lines = append(lines, "Billed-Units: "+formatDecimal(clientArrival.TrueUnits))
	}
	if load := a.conn.endpoint.server.Load(); load.Present {
		lines = append(lines, "Srv-Load: "+formatLoadReport(load))
	}
	return lines
}

// percent is the number of percent in a share of 1.
const percent = 100

// formatLoadReport formats a load report with the columns that model.Settings names.
func formatLoadReport(load policy.LoadReport) string {
	return strings.Join([]string{
		"inflight=" + formatDecimal(load.InFlight),
		"queue=" + formatDecimal(load.Queued),
		"util=" + formatDecimal(load.Utilization),
	}, ",")
}

// formatDecimal formats a number with at most four decimals and without an exponent.
func formatDecimal(value float64) string {
	const decimals = 4
	text := strconv.FormatFloat(value, 'f', decimals, 64)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
}

// parseSeconds parses a decimal number of seconds. It returns 0 if the text is not a number.
func parseSeconds(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
