package emulator

import (
	"sync"
	"time"
)

// Scheduler gives the time and runs functions later. Times are Unix time. Functions run one at a time, so that the
// models need no locks.
type Scheduler interface {
	Now() time.Duration
	// After runs a function once the delay has passed. Functions that are due at the same time run in the order in
	// which they were scheduled. A negative delay counts as none.
	After(delay time.Duration, run func())
}

// VirtualScheduler is a discrete-event scheduler: its time jumps from one function to the next. It is not safe for
// concurrent use.
type VirtualScheduler struct {
	now      time.Duration
	pending  scheduledQueue
	sequence uint64
	executed int64
}

// NewVirtualScheduler returns a scheduler whose time begins at start.
func NewVirtualScheduler(start time.Duration) *VirtualScheduler {
	return &VirtualScheduler{now: start}
}

// Now returns the virtual time.
func (s *VirtualScheduler) Now() time.Duration { return s.now }

// After schedules a function.
func (s *VirtualScheduler) After(delay time.Duration, run func()) {
	s.sequence++
	s.pending.push(scheduled{at: s.now + max(0, delay), sequence: s.sequence, run: run})
}

// RunUntil runs all functions that are due up to the given time, which is then the present one.
func (s *VirtualScheduler) RunUntil(end time.Duration) {
	for len(s.pending) > 0 && s.pending[0].at <= end {
		next := s.pending.pop()
		s.now = next.at
		s.executed++
		next.run()
	}
	s.now = max(s.now, end)
}

// Executed returns how many functions have run.
func (s *VirtualScheduler) Executed() int64 { return s.executed }

type scheduled struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (f scheduled) before(other scheduled) bool {
	return f.at < other.at || f.at == other.at && f.sequence < other.sequence
}

// scheduledQueue is a binary heap. container/heap would allocate for each function.
type scheduledQueue []scheduled

func (q *scheduledQueue) push(f scheduled) {
	*q = append(*q, f)
	queue := *q
	child := len(queue) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !queue[child].before(queue[parent]) {
			break
		}
		queue[child], queue[parent] = queue[parent], queue[child]
		child = parent
	}
}

// pop removes the function that is due first.
func (q *scheduledQueue) pop() scheduled {
	queue := *q
	first, last := queue[0], len(queue)-1
	queue[0] = queue[last]
	queue[last] = scheduled{} // frees the function
	*q = queue[:last]
	q.sink()
	return first
}

// sink restores the order after the first element was replaced.
func (q scheduledQueue) sink() {
	parent := 0
	for {
		child := 2*parent + 1
		if child >= len(q) {
			return
		}
		if child+1 < len(q) && q[child+1].before(q[child]) {
			child++
		}
		if !q[child].before(q[parent]) {
			return
		}
		q[parent], q[child] = q[child], q[parent]
		parent = child
	}
}

// WallScheduler runs functions in real time, one at a time. Other goroutines enter the models through Do.
type WallScheduler struct {
	mu      sync.Mutex
	stopped bool
}

// NewWallScheduler returns a scheduler on the machine's clock.
func NewWallScheduler() *WallScheduler { return &WallScheduler{} }

// Now returns the time of the machine's clock.
func (s *WallScheduler) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// After schedules a function. It does not run if the scheduler is stopped before.
func (s *WallScheduler) After(delay time.Duration, run func()) {
	time.AfterFunc(max(0, delay), func() { s.Do(run) })
}

// Do runs a function between two scheduled ones, unless the scheduler has been stopped. A scheduled function must not
// call it.
func (s *WallScheduler) Do(run func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		run()
	}
}

// Stop waits for the function that runs and lets no more of them run.
func (s *WallScheduler) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}
