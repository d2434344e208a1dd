package policy

// Reason is why the engine refused or failed a request, retried it, or ejected an endpoint.
type Reason uint8

// The values of Reason.
const (
	ReasonNone            Reason = iota
	RefusedInvalid               // the request has an unknown class or no time left
	RefusedTooManyOpen           // too many requests are open at this gateway
	RefusedOverQuota             // the customer is over its quota
	RefusedHoldTooLong           // the ceiling, or pacing under overload, would delay the request for too long
	RefusedExpired               // the deadline of the request has passed
	RefusedTooLate               // under overload the request would be answered past its latency objective
	RefusedNoCapacity            // no endpoint is eligible, or too much is in flight
	RefusedNoTimeForRetry        // too little time is left after a failed attempt
	RefusedNoRetryBudget         // the retry budget is used up after a failed attempt
	RefusedAttemptsUsed          // the request has had all of its attempts
	RetriedAfterFailure          // an attempt failed
	RetriedAfterLocal            // an attempt failed on the gateway's own machine
	RetriedAfterSilence          // an attempt was cancelled because it took too long
	EjectedAfterFailure          // an endpoint failed or rejected a request
	EjectedAfterSilence          // an endpoint answered nothing for too long
	reasonCount
)

// reasonNames holds the names of the reasons in logs.
var reasonNames = [reasonCount]string{
	"none", "refused_invalid", "refused_too_many_open", "refused_over_quota", "refused_hold_too_long",
	"refused_expired", "refused_too_late", "refused_no_capacity", "refused_no_time_for_retry",
	"refused_no_retry_budget", "refused_attempts_used", "retried_after_failure", "retried_after_local",
	"retried_after_silence", "ejected_after_failure", "ejected_after_silence",
}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// reasonLog counts the reasons that have applied and keeps the last one.
type reasonLog struct {
	counts [reasonCount]uint64
	last   Reason
}

// record counts a reason and keeps it as the last one.
func (l *reasonLog) record(reason Reason) {
	l.counts[reason]++
	l.last = reason
}

// LastReason returns the reason of the last action that has one. It is meant for logs.
func (e *Engine) LastReason() Reason { return e.reasons.last }

// ReasonCount is the number of times that a reason has applied.
type ReasonCount struct {
	Reason Reason
	Count  uint64
}

// ReasonCounts returns the count of each reason that has applied.
func (e *Engine) ReasonCounts() (counts []ReasonCount) {
	for reason, count := range e.reasons.counts {
		if count > 0 {
			counts = append(counts, ReasonCount{Reason(reason), count})
		}
	}
	return counts
}
