package policy

import "time"

const (
	minEjection      = time.Second     // first backoff of an ejected endpoint
	maxEjection      = 8 * time.Second // longest backoff
	maxEjectedShare  = 0.5             // share of the ready endpoints that may be ejected
	rejectionPenalty = 1.5             // factor on the latency of an endpoint that rejects
	fleetSmoothing   = latencySmoothing / 4
)

// recordResult learns about an endpoint from the result of an attempt. r is nil for an orphan.
func (e *Engine) recordResult(now time.Duration, ep *endpoint, res AttemptResult, units float64, r *request) {
	status := res.Status
	lost := r != nil && status == StatusTimedOut && r.sentAt < ep.newestAnswered
	if r != nil && status.tellsOfEndpoint() && !lost {
		late := res.Latency.Seconds() > endpointLateThreshold*r.class.LatencyObjective.Seconds()
		// Failures lower the limit like lateness: an endpoint that fails a part of its work fast has capacity
		// all the time, and may never fail often enough in a row to be ejected.
		late = late && !r.responseStarted || status != StatusOK
		e.adjustLimits(now, ep, r, late, max(res.Latency, e.expectedLatency(units)))
	}
	switch status {
	case StatusOK:
		e.recordLatency(now, ep, res.Latency.Seconds()/units)
		if r != nil {
			ep.newestAnswered = max(ep.newestAnswered, r.sentAt)
		}
		ep.ejected, ep.backoff = false, 0
	case StatusRejected:
		ep.lastResponse, ep.measuredAt = now, now
		ep.latencyPerUnit = max(ep.latencyPerUnit, e.latencyPerUnit) * rejectionPenalty
		// It may be draining, seconds before the endpoint list says so.
		e.recordFailure(now, ep, EjectedAfterFailure)
	case StatusLocalFailure:
		// Nothing is held against it but in comparison: if it alone cannot be reached from here, others are
		// preferred.
		ep.measuredAt = now
		ep.latencyPerUnit = max(ep.latencyPerUnit, e.latencyPerUnit) * rejectionPenalty
	case StatusServerError, StatusConnectFailed, StatusReset:
		ep.lastResponse = now
		e.recordFailure(now, ep, EjectedAfterFailure)
	}
}

// tellsOfEndpoint reports whether an attempt that ended so says something of its endpoint.
func (s Status) tellsOfEndpoint() bool {
	return s != StatusCancelled && s != StatusNotSent && s != StatusLocalFailure
}

// recordFailure ejects an endpoint at its first failure, since a healthy one makes next to none, for a time
// that doubles; but never so many endpoints that the rest would be overloaded.
func (e *Engine) recordFailure(now time.Duration, ep *endpoint, reason Reason) {
	if ep.ejected {
		ep.backoff = min(maxEjection, 2*max(ep.backoff, minEjection/2))
		ep.nextTrial = now + ep.backoff
	} else if e.mayEjectAnother() {
		e.reasons.note(reason)
		ep.ejected, ep.backoff, ep.nextTrial = true, minEjection, now+minEjection
	}
}

func (e *Engine) mayEjectAnother() bool {
	ejected, ready := 0, 0
	for _, ep := range e.endpointList {
		if ep.State == StateReady {
			ready++
			if ep.ejected {
				ejected++
			}
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(ready)
}

// trialTime is when an ejected endpoint may be tried with a request: later with one that must not run twice,
// and would be lost if the trial fails.
func (ep *endpoint) trialTime(r *request) time.Duration {
	if r.class.Idempotency == NonIdempotent {
		return ep.nextTrial + maxEjection
	}
	return ep.nextTrial
}
