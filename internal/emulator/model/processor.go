package model

import (
	"container/heap"
	"math"
	"time"
)

// finishTolerance is the work, in seconds, by which a task may be short of its end and still count as finished. It
// absorbs rounding; the scheduler counts in nanoseconds.
const finishTolerance = 1e-9

// processor does tasks by processor sharing: up to the number of cores each has a core of its own, and more of them
// share the cores evenly. It is exact: as all tasks progress equally fast, it is enough to integrate the progress of
// one and to finish each task once the progress has grown by its work.
//
// Work is in seconds of one core at speed 1; what a core does in a second is speed x warmth / slowdown.
type processor struct {
	cores    int
	speed    float64
	slowdown float64
	start    slowStart
	updated  time.Duration
	progress float64 // of each task, since the processor was last without tasks
	sequence uint64
	tasks    taskQueue
	sumOfEnd float64 // over the tasks
}

// task is a request in service or a handshake.
type task struct {
	end      float64 // the progress at which it is finished
	sequence uint64
	request  *request // nil: a handshake
}

// advance brings the progress up to the given time.
func (p *processor) advance(now time.Duration) {
	if len(p.tasks) > 0 && now > p.updated {
		p.progress += p.start.workBetween(p.updated, now) * p.taskSpeed()
	}
	p.updated = max(p.updated, now)
}

// taskSpeed is what a task gets done in a second of a warm processor.
func (p *processor) taskSpeed() float64 {
	share := min(1, float64(p.cores)/float64(max(1, len(p.tasks))))
	return share * p.speed / p.slowdown
}

// add begins a task. The processor has been advanced to the present time.
func (p *processor) add(work float64, request *request) {
	if len(p.tasks) == 0 {
		p.progress, p.sumOfEnd = 0, 0
	}
	p.sequence++
	added := &task{end: p.progress + max(0, work), sequence: p.sequence, request: request}
	p.sumOfEnd += added.end
	heap.Push(&p.tasks, added)
}

// finished removes a task that has been finished and returns it, or nil if there is none.
func (p *processor) finished() *task {
	if len(p.tasks) == 0 || p.tasks[0].end > p.progress+finishTolerance {
		return nil
	}
	done := heap.Pop(&p.tasks).(*task)
	p.sumOfEnd -= done.end
	return done
}

// untilNextEnd returns the time until the next task is finished if no other is added, and false without tasks.
func (p *processor) untilNextEnd() (time.Duration, bool) {
	if len(p.tasks) == 0 {
		return 0, false
	}
	missing := p.tasks[0].end - p.progress
	if missing <= finishTolerance {
		return 0, true
	}
	return max(1, p.timeFor(missing/p.taskSpeed())), true
}

// timeFor returns how long the processor takes for an amount of work that a warm one at speed 1 does in the given
// number of seconds.
func (p *processor) timeFor(seconds float64) time.Duration {
	return secondsToDuration(p.start.timeFor(p.updated, seconds))
}

// remaining returns the work that is left of all tasks.
func (p *processor) remaining() float64 {
	return max(0, p.sumOfEnd-float64(len(p.tasks))*p.progress)
}

// clear drops all tasks.
func (p *processor) clear() {
	p.tasks = nil
	p.progress, p.sumOfEnd = 0, 0
}

// longestDuration bounds durations that are computed, so that adding them to a time does not overflow.
const longestDuration = 365 * 24 * time.Hour

// secondsToDuration rounds up.
func secondsToDuration(seconds float64) time.Duration {
	if !(seconds < longestDuration.Seconds()) {
		return longestDuration
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// taskQueue is a heap by end; tasks with the same end are in the order in which they began.
type taskQueue []*task

func (q taskQueue) Len() int { return len(q) }

func (q taskQueue) Less(i, j int) bool {
	return q[i].end < q[j].end || q[i].end == q[j].end && q[i].sequence < q[j].sequence
}

func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *taskQueue) Push(x any) { *q = append(*q, x.(*task)) }

// Pop implements heap.Interface.
func (q *taskQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil // frees the task
	*q = old[:len(old)-1]
	return last
}
