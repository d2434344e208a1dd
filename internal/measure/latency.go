package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of latencyHistogram, which records latencies in microseconds with three significant digits.
const (
	shortestLatency    = time.Microsecond
	longestLatency     = 10 * time.Minute
	significantFigures = 3
)

// latencyHistogram records latencies. A latency outside its range is recorded as the nearest bound of the range.
type latencyHistogram struct {
	histogram *hdrhistogram.Histogram
}

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{
		histogram: hdrhistogram.New(shortestLatency.Microseconds(), longestLatency.Microseconds(), significantFigures),
	}
}

func (h latencyHistogram) record(latency time.Duration) {
	bounded := min(max(latency, shortestLatency), longestLatency)
	if err := h.histogram.RecordValue(bounded.Microseconds()); err != nil {
		panic(err) // unreachable: the value is within the range of the histogram
	}
}

func (h latencyHistogram) reset() { h.histogram.Reset() }

func (h latencyHistogram) summary() Latency {
	count := h.histogram.TotalCount()
	if count == 0 {
		return Latency{}
	}
	values := h.histogram.ValueAtPercentilesSlice([]float64{50, 90, 99, 99.9})
	return Latency{
		Count: count,
		Mean:  h.histogram.Mean() / microsecondsPerMillisecond,
		P50:   milliseconds(values[0]),
		P90:   milliseconds(values[1]),
		P99:   milliseconds(values[2]),
		P999:  milliseconds(values[3]),
		Max:   milliseconds(h.histogram.Max()),
	}
}

const microsecondsPerMillisecond = 1000

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / microsecondsPerMillisecond
}
