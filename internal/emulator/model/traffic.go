package model

import (
	"math"
	"time"
)

// trafficTimeConstant is the time constant of the averages in load reports: the weight of a response falls to 1/e
// within it.
const trafficTimeConstant = time.Second

// trafficMeter keeps the exponentially weighted averages of a load report: responses and errors a second, and the mean
// latency in seconds. These values follow the operators' page WIRE ("Possible values in a load report").
type trafficMeter struct {
	updated   time.Duration
	answers   float64
	errors    float64
	latencies float64 // sum, seconds
}

// record counts a response.
func (m *trafficMeter) record(now, latency time.Duration, failed bool) {
	m.decay(now)
	m.answers++
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
	if m.answers > 0 {
		latency = m.latencies / m.answers
	}
	return m.answers / trafficTimeConstant.Seconds(), m.errors / trafficTimeConstant.Seconds(), latency
}

// decay lowers the weight of all recorded responses by the time since the last update.
func (m *trafficMeter) decay(now time.Duration) {
	kept := math.Exp(-float64(max(0, now-m.updated)) / float64(trafficTimeConstant))
	m.answers *= kept
	m.errors *= kept
	m.latencies *= kept
	m.updated = max(m.updated, now)
}
