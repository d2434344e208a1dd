package measure

import (
	"maps"
	"slices"
	"time"

	"springfield/policy"
)

// endpointLoads collects the load of every endpoint that occurs in an observation.
type endpointLoads struct {
	start time.Duration
	byID  map[policy.EndpointID]*endpointLoad
}

// endpointLoad is the load of one endpoint up to now.
type endpointLoad struct {
	totals             EndpointLoad
	up                 bool          // the endpoint's process is running
	receivedThisSecond int64         // attempts received in the current second
	inFlight           int           // attempts that have been received and have not ended
	changedAt          time.Duration // when inFlight last changed
	inFlightIntegral   time.Duration // integral of inFlight over time
}

func newEndpointLoads(start time.Duration) endpointLoads {
	return endpointLoads{start: start, byID: make(map[policy.EndpointID]*endpointLoad)}
}

func (e *endpointLoads) load(id policy.EndpointID) *endpointLoad {
	load, known := e.byID[id]
	if !known {
		load = &endpointLoad{up: true, changedAt: e.start}
		load.totals.Endpoint = uint32(id)
		e.byID[id] = load
	}
	return load
}

func (e *endpointLoads) started(id policy.EndpointID) {
	load := e.load(id)
	load.up = true
	load.totals.Starts++
}

func (e *endpointLoads) stopped(id policy.EndpointID) {
	load := e.load(id)
	load.up = false
	load.totals.Stops++
}

// countAttempt counts an attempt as received but not as in flight.
func (e *endpointLoads) countAttempt(id policy.EndpointID) *endpointLoad {
	load := e.load(id)
	load.totals.Received++
	load.receivedThisSecond++
	return load
}

func (e *endpointLoads) attemptReceived(now time.Duration, id policy.EndpointID) {
	e.countAttempt(id).setInFlight(now, +1)
}

func (e *endpointLoads) attemptEnded(now time.Duration, id policy.EndpointID) {
	e.load(id).setInFlight(now, -1)
}

func (l *endpointLoad) setInFlight(now time.Duration, change int) {
	l.accumulateInFlight(now)
	l.inFlight += change
	l.totals.MaxInFlight = max(l.totals.MaxInFlight, l.inFlight)
}

// accumulateInFlight extends inFlightIntegral to the given time.
func (l *endpointLoad) accumulateInFlight(now time.Duration) {
	elapsed := max(0, now-l.changedAt)
	l.inFlightIntegral += time.Duration(l.inFlight) * elapsed
	l.changedAt = max(l.changedAt, now)
}

// endSecond returns the distribution of the current second's attempts over the endpoints that are up, and resets the
// counts for the next second.
func (e *endpointLoads) endSecond() Spread {
	counts := make([]int64, 0, len(e.byID))
	for _, load := range e.byID {
		if load.up || load.receivedThisSecond > 0 {
			counts = append(counts, load.receivedThisSecond)
		}
		load.receivedThisSecond = 0
	}
	if len(counts) == 0 {
		return Spread{}
	}
	slices.Sort(counts)
	middle := len(counts) / 2
	median := float64(counts[middle])
	if len(counts)%2 == 0 {
		median = float64(counts[middle-1]+counts[middle]) / 2
	}
	return Spread{Min: counts[0], Median: median, Max: counts[len(counts)-1]}
}

// results returns the load of all endpoints, sorted by ID.
func (e *endpointLoads) results(end time.Duration) []EndpointLoad {
	results := make([]EndpointLoad, 0, len(e.byID))
	for _, id := range slices.Sorted(maps.Keys(e.byID)) {
		load := e.byID[id]
		load.accumulateInFlight(end)
		totals := load.totals
		totals.MeanInFlight = ratio(load.inFlightIntegral.Seconds(), (end - e.start).Seconds())
		results = append(results, totals)
	}
	return results
}
