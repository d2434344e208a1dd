package policy

import "time"

const (
	minEjection            = time.Second     // first backoff of an ejected endpoint
	maxEjection            = 8 * time.Second // longest backoff
	maxEjectedShare        = 0.5             // share of the ready endpoints that may be ejected
	rejectionLatencyFactor = 1.5             // factor on the latency of an endpoint that rejects
	fleetLatencySmoothing  = endpointLatencySmoothing / 4
)

// recordResult learns about an endpoint from the result of an attempt. r is nil for an orphan.
func (e *Engine) recordResult(now time.Duration, ep *endpoint, result AttemptResult, units float64,
	r *request) {
	status := result.Status
	answerLost := r != nil && status == StatusTimedOut && r.sentAt < ep.newestAnsweredSentAt
	if r != nil && status.isEndpointOutcome() && !answerLost {
		late := result.Latency.Seconds() > endpointLateThreshold*r.class.LatencyObjective.Seconds()
		// Failures lower the limit like lateness: an endpoint that fails a part of its work fast has capacity
		// all the time, and may never fail often enough in a row to be ejected.
		late = late && !r.responseStarted || status != StatusOK
		e.adjustLimits(now, ep, r, late, max(result.Latency, e.expectedLatency(units)))
	}
	switch status {
	case StatusOK:
		e.recordLatency(now, ep, result.Latency.Seconds()/units)
		if r != nil {
			ep.newestAnsweredSentAt = max(ep.newestAnsweredSentAt, r.sentAt)
		}
		ep.ejected, ep.ejectionBackoff = false, 0
	case StatusRejected:
		ep.lastResponseAt, ep.latencyMeasuredAt = now, now
		ep.latencyPerUnit = max(ep.latencyPerUnit, e.latencyPerUnit) * rejectionLatencyFactor
		// It may be draining, seconds before the endpoint list says so.
		e.recordFailure(now, ep, EjectedAfterFailure)
	case StatusLocalFailure:
		// Nothing is held against it but in comparison: if it alone cannot be reached from here, others are
		// preferred.
		ep.latencyMeasuredAt = now
		ep.latencyPerUnit = max(ep.latencyPerUnit, e.latencyPerUnit) * rejectionLatencyFactor
	case StatusServerError, StatusConnectFailed, StatusReset:
		ep.lastResponseAt = now
		e.recordFailure(now, ep, EjectedAfterFailure)
	}
}

// isEndpointOutcome reports whether an attempt that ended so says something of its endpoint.
func (s Status) isEndpointOutcome() bool {
	return s != StatusCancelled && s != StatusNotSent && s != StatusLocalFailure
}

// recordFailure ejects an endpoint at its first failure, since a healthy one makes next to none, for a time
// that doubles; but never so many endpoints that the rest would be overloaded.
func (e *Engine) recordFailure(now time.Duration, ep *endpoint, reason Reason) {
	if ep.ejected {
		ep.ejectionBackoff = min(maxEjection, 2*max(ep.ejectionBackoff, minEjection/2))
		ep.nextTrialAt = now + ep.ejectionBackoff
	} else if e.mayEjectAnother() {
		e.reasons.record(reason)
		ep.ejected, ep.ejectionBackoff, ep.nextTrialAt = true, minEjection, now+minEjection
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
		return ep.nextTrialAt + maxEjection
	}
	return ep.nextTrialAt
}
