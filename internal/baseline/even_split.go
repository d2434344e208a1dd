package baseline

import (
	"time"

	"springfield/policy"
)

// evenSplit admits requests by token buckets: one for each customer, with this gateway's equal part of the quota.
type evenSplit struct {
	cfg       *policy.Config
	customers map[policy.CustomerID]*tokenBucket
}

// tokenBucket holds the units that a customer may still use at this gateway.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

func newEvenSplit(cfg *policy.Config) *evenSplit {
	return &evenSplit{cfg: cfg, customers: map[policy.CustomerID]*tokenBucket{}}
}

// admit charges a request to its customer's bucket, and reports whether the bucket held enough units. The capacity of a
// bucket is at least the size of the largest request; otherwise a customer with many gateways could never send such a
// request.
func (s *evenSplit) admit(now time.Duration, r *request) bool {
	if r.Plan < 0 || r.Plan >= len(s.cfg.Plans) || s.cfg.Plans[r.Plan].QuotaRate <= 0 {
		return true
	}
	plan := &s.cfg.Plans[r.Plan]
	size := float64(max(1, r.SetSize))
	capacity := max(plan.Burst/size, s.cfg.MaxRequestUnits, 1)
	bucket := s.customers[r.Customer]
	if bucket == nil {
		bucket = &tokenBucket{tokens: capacity, updatedAt: now}
		s.customers[r.Customer] = bucket
	}
	earned := plan.QuotaRate / size * (now - bucket.updatedAt).Seconds()
	bucket.tokens, bucket.updatedAt = min(capacity, bucket.tokens+earned), now
	if bucket.tokens < r.Units {
		return false
	}
	bucket.tokens -= r.Units
	return true
}
