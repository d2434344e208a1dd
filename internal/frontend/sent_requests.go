package frontend

import (
	"hash/maphash"
	"sync"
	"time"
)

// sentRequests remembers the IDs of requests that were sent to an endpoint and must not run twice, so that such a
// request is not sent again when it comes again under its ID. An ID is remembered for at least one period, unless more
// than limit requests are sent in that time. Only hashes are kept, which bounds the memory.
type sentRequests struct {
	limit  int
	period time.Duration
	seed   maphash.Seed

	mu        sync.Mutex
	current   map[uint64]struct{}
	previous  map[uint64]struct{}
	currentAt time.Time // start of the current period
}

func newSentRequests(limit int, period time.Duration) *sentRequests {
	return &sentRequests{limit: max(1, limit), period: period, seed: maphash.MakeSeed(), current: map[uint64]struct{}{}}
}

// add remembers an ID.
func (s *sentRequests) add(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.current[maphash.String(s.seed, id)] = struct{}{}
}

// contains reports whether an ID is remembered.
func (s *sentRequests) contains(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	hash := maphash.String(s.seed, id)
	_, isCurrent := s.current[hash]
	_, isPrevious := s.previous[hash]
	return isCurrent || isPrevious
}

// rotate begins a new period if the current one is over or its IDs are too many. The caller holds s.mu.
func (s *sentRequests) rotate(now time.Time) {
	elapsed := now.Sub(s.currentAt)
	if elapsed < s.period && len(s.current) < s.limit {
		return
	}
	s.previous, s.current, s.currentAt = s.current, map[uint64]struct{}{}, now
	if elapsed >= 2*s.period {
		s.previous = nil
	}
}
