package emulator

import (
	"container/heap"
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
	heap.Push(&s.pending, scheduled{at: s.now + max(0, delay), sequence: s.sequence, run: run})
}

// RunUntil runs all functions that are due up to the given time, which is then the present one.
func (s *VirtualScheduler) RunUntil(end time.Duration) {
	for len(s.pending) > 0 && s.pending[0].at <= end {
		next := heap.Pop(&s.pending).(scheduled)
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

type scheduledQueue []scheduled

func (q scheduledQueue) Len() int { return len(q) }

func (q scheduledQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q scheduledQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *scheduledQueue) Push(x any) { *q = append(*q, x.(scheduled)) }

// Pop implements heap.Interface.
func (q *scheduledQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = scheduled{} // frees the function
	*q = old[:len(old)-1]
	return last
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
