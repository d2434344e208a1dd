package model

import (
	"math"
	"time"
)

// trafficTimeConstant is the time in which the weight of a response in the averages of load reports falls to 1/e.
const trafficTimeConstant = time.Second

// trafficMeter keeps the exponentially weighted averages of a load report: responses and errors a second, and the mean
// latency in seconds. Source: WIRE, "Possible values in a load report".
type trafficMeter struct {
	updated   time.Duration // time to which the weights of the responses refer
	responses float64       // weighted number of responses
	errors    float64       // weighted number of responses that are errors
	latencies float64       // weighted sum of the latencies, seconds
}

// record counts a response.
func (m *trafficMeter) record(now, latency time.Duration, failed bool) {
	m.decay(now)
	m.responses++
	m.latencies += latency.Seconds()
	if failed {
		m.errors++
	}
}

// read returns responses a second, errors a second and the mean latency in seconds. The latency is -1 if there were no
// responses.
func (m *trafficMeter) read(now time.Duration) (rate, errorRate, latency float64) {
	m.decay(now)
	latency = -1
	if m.responses > 0 {
		latency = m.latencies / m.responses
	}
	return m.responses / trafficTimeConstant.Seconds(), m.errors / trafficTimeConstant.Seconds(), latency
}

// decay lowers the weight of all recorded responses by the time since the last update.
func (m *trafficMeter) decay(now time.Duration) {
	kept := math.Exp(-float64(max(0, now-m.updated)) / float64(trafficTimeConstant))
	m.responses *= kept
	m.errors *= kept
	m.latencies *= kept
	m.updated = max(m.updated, now)
}
