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

// unsolicitedDelay is how much later than the answer a second one comes that nobody has asked for.
const unsolicitedDelay = 3 * time.Millisecond

// response is what an endpoint writes.
type response struct {
	status           int
	header           []string // complete lines without their ends
	body             string
	closesConnection bool      // the connection ends with it
	truncated        bool      // it ends in the middle of the body
	unsolicited      *response // a second answer on the same connection; nil: none
	fault            byteFault // of its bytes
}

// encode returns the response as it is written.
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

// newResponse returns the response to an attempt. If spoilt answers are a fault of the moment, some end early and
// others are followed by one that nobody has asked for.
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
	if !r.truncated { // what is cut short and then doubled would be another whole response
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

// spoilResponse spoils a share of the answers.
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

// responseHeaderLines returns the lines that tell of usage, bill and load.
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

const percent = 100

// formatLoadReport returns a load report with the columns that the settings name (model.Settings).
func formatLoadReport(load policy.LoadReport) string {
	return strings.Join([]string{
		"inflight=" + formatDecimal(load.InFlight),
		"queue=" + formatDecimal(load.Queued),
		"util=" + formatDecimal(load.Utilization),
	}, ",")
}

// formatDecimal formats a number with at most four decimals and no exponent.
func formatDecimal(value float64) string {
	const decimals = 4
	text := strconv.FormatFloat(value, 'f', decimals, 64)
	return strings.TrimSuffix(strings.TrimRight(text, "0"), ".")
}

// parseSeconds parses a decimal number of seconds. It is 0 if the text is none.
func parseSeconds(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
