package eventloop

import (
	"testing"
	"time"

	"springfield/policy"
)

// The guard against repeats allows what the class of a request allows, and no two attempts at a time.
func TestMayRepeat(t *testing.T) {
	const ttl = time.Second
	for _, test := range []struct {
		name        string
		idempotency policy.Idempotency
		out         bool
		mayHaveRun  bool
		after       time.Duration
		want        bool
	}{
		{"first attempt", policy.NonIdempotent, false, false, 0, true},
		{"while one is out", policy.Idempotent, true, false, 0, false},
		{"after one that never ran", policy.NonIdempotent, false, false, 0, true},
		{"after one that may have run", policy.NonIdempotent, false, true, 0, false},
		{"of an idempotent request", policy.Idempotent, false, true, time.Hour, true},
		{"while the key is remembered", policy.IdempotentByKey, false, true, ttl - 1, true},
		{"once the key may be forgotten", policy.IdempotentByKey, false, true, ttl, false},
	} {
		class := policy.Class{Idempotency: test.idempotency, KeyTTL: ttl}
		call := &Call{mayHaveRun: test.mayHaveRun, ranSince: time.Hour, attempt: &attempt{finished: !test.out}}
		allowed, reason := call.mayRepeat(time.Hour+test.after, &class)
		if allowed != test.want || allowed == (reason != "") {
			t.Errorf("%s: %v, %q", test.name, allowed, reason)
		}
	}
}
