package policy

import "time"

const (
	minEjection            = time.Second                  // first backoff after a failure
	maxEjection            = 8 * time.Second              // longest backoff after a failure
	maxEjectedShare        = 0.5                          // largest share of ready endpoints to eject
	rejectionLatencyFactor = 1.5                          // latency factor after a rejection or local failure
	fleetLatencySmoothing  = endpointLatencySmoothing / 4 // weight of one answer in the fleet latency
)

// recordResult updates an endpoint's limit, latency and ejection from the result of an attempt. r is nil if
// the request is already finished.
func (e *Engine) recordResult(now time.Duration, ep *endpoint, result AttemptResult, units float64,
	r *request) {
	status := result.Status
	answerLost := r != nil && status == StatusTimedOut && r.sentAt < ep.newestAnsweredSentAt
	if r != nil && status.isEndpointOutcome() && !answerLost {
		late := result.Latency.Seconds() > endpointLateThreshold*r.class.LatencyObjective.Seconds()
		// A failure lowers the limit like a late answer. An endpoint that fails part of its requests quickly always
		// has free capacity, and may never fail often enough in a row to be ejected.
		late = late && !r.responseStarted || status != StatusOK
		e.adjustLimits(now, ep, r, late, max(result.Latency, e.expectedLatency(units)))
	}
	switch status {
	case StatusOK:
		e.servedUnits += units
		e.recordLatency(now, ep, result.Latency.Seconds()/units)
		if r != nil {
			ep.newestAnsweredSentAt = max(ep.newestAnsweredSentAt, r.sentAt)
		}
		ep.ejected, ep.ejectionBackoff = false, 0
	case StatusRejected:
		ep.lastResponseAt, ep.latencyMeasuredAt = now, now
		ep.latencyPerUnit = max(ep.latencyPerUnit, e.latencyPerUnit) * rejectionLatencyFactor
		// The endpoint may already be draining, which the endpoint list shows only seconds later.
		e.recordFailure(now, ep, EjectedAfterFailure)
	case StatusLocalFailure:
		// The attempt does not count as a failure of the endpoint. The higher latency makes other endpoints
		// preferred, in case this one alone cannot be reached from the gateway.
		ep.latencyMeasuredAt = now
		ep.latencyPerUnit = max(ep.latencyPerUnit, e.latencyPerUnit) * rejectionLatencyFactor
	case StatusServerError, StatusConnectFailed, StatusReset:
		ep.lastResponseAt = now
		e.recordFailure(now, ep, EjectedAfterFailure)
	}
}

// isEndpointOutcome reports whether the outcome of an attempt says something about its endpoint.
func (s Status) isEndpointOutcome() bool {
	return s != StatusCancelled && s != StatusNotSent && s != StatusLocalFailure
}

// recordFailure ejects an endpoint at its first failure, since a healthy endpoint hardly ever fails. The
// backoff doubles with each failure while it is ejected. The share of ejected endpoints is limited, since the
// remaining endpoints would otherwise be overloaded.
func (e *Engine) recordFailure(now time.Duration, ep *endpoint, reason Reason) {
	if ep.ejected {
		ep.ejectionBackoff = min(maxEjection, 2*max(ep.ejectionBackoff, minEjection/2))
		ep.nextTrialAt = now + ep.ejectionBackoff
	} else if e.mayEjectAnother() {
		e.reasons.record(reason)
		ep.ejected, ep.ejectionBackoff, ep.nextTrialAt = true, minEjection, now+minEjection
	}
}

// mayEjectAnother reports whether maxEjectedShare allows a further ejection.
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

// trialTime is the earliest time of a trial of an ejected endpoint with the request. It is later for a
// non-idempotent request, which cannot be repeated and would be lost if the trial failed.
func (ep *endpoint) trialTime(r *request) time.Duration {
	if r.class.Idempotency == NonIdempotent {
		return ep.nextTrialAt + maxEjection
	}
	return ep.nextTrialAt
}
