package policy

// Reason tells why the engine has refused or failed a request, retried it, or ejected an endpoint.
type Reason uint8

// The reasons.
const (
	ReasonNone            Reason = iota
	RefusedInvalid               // its class is unknown or it has no time
	RefusedTooManyOpen           // too many requests are open at this gateway
	RefusedOverQuota             // its customer is over the quota
	RefusedHoldTooLong           // it would be held too long for the ceiling or under overload
	RefusedExpired               // its time is up
	RefusedTooLate               // under overload it would be answered past its objective
	RefusedNoCapacity            // no endpoint may take it, or too much is in flight
	RefusedNoTimeForRetry        // after a failed attempt too little time is left
	RefusedNoRetryBudget         // after a failed attempt the retry budget is used up
	RefusedAttemptsUsed          // it has had all of its attempts
	RetriedAfterFailure          // an attempt has failed
	RetriedAfterLocal            // an attempt has failed on this machine
	RetriedAfterSilence          // an attempt was cancelled since it took too long
	EjectedAfterFailure          // an endpoint has failed or rejected a request
	EjectedAfterSilence          // an endpoint has answered nothing for too long
	reasonCount
)

// reasonNames are the names of the reasons in logs.
var reasonNames = [reasonCount]string{
	"none", "refused_invalid", "refused_too_many_open", "refused_over_quota", "refused_hold_too_long",
	"refused_expired", "refused_too_late", "refused_no_capacity", "refused_no_time_for_retry",
	"refused_no_retry_budget", "refused_attempts_used", "retried_after_failure", "retried_after_local",
	"retried_after_silence", "ejected_after_failure", "ejected_after_silence",
}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// reasonLog counts reasons and remembers the last one.
type reasonLog struct {
	counts [reasonCount]uint64
	last   Reason
}

func (l *reasonLog) record(reason Reason) {
	l.counts[reason]++
	l.last = reason
}

// LastReason returns the reason of the last action that has one, for the log.
func (e *Engine) LastReason() Reason { return e.reasons.last }

// ReasonCount is how often a reason has applied.
type ReasonCount struct {
	Reason Reason
	Count  uint64
}

// ReasonCounts returns the reasons that have applied.
func (e *Engine) ReasonCounts() (counts []ReasonCount) {
	for reason, count := range e.reasons.counts {
		if count > 0 {
			counts = append(counts, ReasonCount{Reason(reason), count})
		}
	}
	return counts
}
