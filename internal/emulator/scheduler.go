package emulator

import (
	"sync"
	"time"
)

// Scheduler provides the current time and runs functions after a delay. Times are Unix time. Functions run one at a
// time, so the models need no locks.
type Scheduler interface {
	Now() time.Duration
	// After runs a function once the delay has passed. Functions that are due at the same time run in the order in
	// which they were scheduled. A negative delay counts as zero.
	After(delay time.Duration, run func())
}

// VirtualScheduler is a discrete-event scheduler: its clock jumps to the due time of the next function. It is not safe
// for concurrent use.
type VirtualScheduler struct {
	now      time.Duration
	pending  functionHeap
	sequence uint64
	executed int64
}

// NewVirtualScheduler returns a scheduler whose clock starts at the given Unix time.
func NewVirtualScheduler(start time.Duration) *VirtualScheduler {
	return &VirtualScheduler{now: start}
}

// Now returns the virtual time.
func (s *VirtualScheduler) Now() time.Duration { return s.now }

// After implements Scheduler.
func (s *VirtualScheduler) After(delay time.Duration, run func()) {
	s.sequence++
	s.pending.push(scheduledFunction{at: s.now + max(0, delay), sequence: s.sequence, run: run})
}

// RunUntil runs all functions that are due up to and including the given time and sets the clock to that time.
func (s *VirtualScheduler) RunUntil(end time.Duration) {
	for len(s.pending) > 0 && s.pending[0].at <= end {
		next := s.pending.pop()
		s.now = next.at
		s.executed++
		next.run()
	}
	s.now = max(s.now, end)
}

// Executed returns the number of functions that have run.
func (s *VirtualScheduler) Executed() int64 { return s.executed }

// scheduledFunction is a function that waits for its due time.
type scheduledFunction struct {
	at       time.Duration
	sequence uint64 // functions that are due at the same time run in this order
	run      func()
}

func (f scheduledFunction) before(other scheduledFunction) bool {
	return f.at < other.at || f.at == other.at && f.sequence < other.sequence
}

// functionHeap is a binary heap of functions, ordered by due time. container/heap would allocate memory for each one.
type functionHeap []scheduledFunction

func (q *functionHeap) push(f scheduledFunction) {
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

// pop removes and returns the function that is due first.
func (q *functionHeap) pop() scheduledFunction {
	queue := *q
	first, last := queue[0], len(queue)-1
	queue[0] = queue[last]
	queue[last] = scheduledFunction{} // releases the function to the garbage collector
	*q = queue[:last]
	q.siftDown()
	return first
}

// siftDown restores the heap order after the first element was replaced.
func (q functionHeap) siftDown() {
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

// WallScheduler runs functions in real time, one at a time. Other goroutines access the models through Do.
type WallScheduler struct {
	mu      sync.Mutex
	stopped bool
}

// NewWallScheduler returns a scheduler that uses the machine's clock.
func NewWallScheduler() *WallScheduler { return &WallScheduler{} }

// Now returns the time of the machine's clock.
func (s *WallScheduler) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// After implements Scheduler. Functions that are due after Stop do not run.
func (s *WallScheduler) After(delay time.Duration, run func()) {
	time.AfterFunc(max(0, delay), func() { s.Do(run) })
}

// Do runs a function while no scheduled function runs. It does nothing after Stop. A scheduled function must not call
// Do, because the two would deadlock.
func (s *WallScheduler) Do(run func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		run()
	}
}

// Stop waits for the running function to return and prevents all further ones.
func (s *WallScheduler) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}
