package eventloop

import (
	"testing"
	"time"

	"springfield/policy"
)

// The guard must allow another attempt only where the idempotency class of the request permits it, and never two
// attempts at a time. Otherwise a request could be executed twice.
func TestAttemptGuardFollowsIdempotencyClass(t *testing.T) {
	const ttl = time.Second
	for _, test := range []struct {
		name        string
		idempotency policy.Idempotency
		inFlight    bool
		mayHaveRun  bool
		elapsed     time.Duration
		want        bool
	}{
		{"first attempt", policy.NonIdempotent, false, false, 0, true},
		{"while another is in flight", policy.Idempotent, true, false, 0, false},
		{"after one that was not executed", policy.NonIdempotent, false, false, 0, true},
		{"after one that may have been executed", policy.NonIdempotent, false, true, 0, false},
		{"idempotent request", policy.Idempotent, false, true, time.Hour, true},
		{"before the idempotency key expires", policy.IdempotentByKey, false, true, ttl - 1, true},
		{"after the idempotency key may have expired", policy.IdempotentByKey, false, true, ttl, false},
	} {
		class := policy.Class{Idempotency: test.idempotency, KeyTTL: ttl}
		call := &Call{mayHaveRun: test.mayHaveRun, mayHaveRunSince: time.Hour, attempt: &attempt{finished: !test.inFlight}}
		allowed, reason := call.attemptAllowed(time.Hour+test.elapsed, &class)
		if allowed != test.want || allowed == (reason != "") {
			t.Errorf("%s: allowed %v, reason %q", test.name, allowed, reason)
		}
	}
}
