package model

import (
	"container/heap"
	"math"
	"time"
)

// finishTolerance is the remaining work, in seconds, at which a task counts as complete. It absorbs rounding errors,
// since the scheduler's times are whole nanoseconds.
const finishTolerance = 1e-9

// processor executes tasks by processor sharing: each task has its own core while there are enough cores, and more
// tasks share the cores evenly. The model is exact: since all tasks progress equally fast, it integrates the progress
// that they have in common, and a task is complete once this progress has grown by the task's work.
//
// Work is in seconds of one core at speed 1. A core does speed x capacity share / slowdown seconds of work a second.
type processor struct {
	cores     int
	speed     float64
	slowdown  float64
	warmUp    slowStart
	updated   time.Duration // time up to which progress is computed
	progress  float64       // work done on each task since the processor was last idle, seconds
	sequence  uint64        // number of tasks started so far
	tasks     taskQueue     // tasks that are not complete
	sumOfEnds float64       // sum of endProgress over the tasks
}

// task is a request in service or a handshake.
type task struct {
	endProgress float64  // progress at which the task is complete
	sequence    uint64   // position of the task in the order in which tasks were started
	request     *request // nil for a handshake
}

// advance brings the progress up to the given time.
func (p *processor) advance(now time.Duration) {
	if len(p.tasks) > 0 && now > p.updated {
		p.progress += p.warmUp.workBetween(p.updated, now) * p.taskSpeed()
	}
	p.updated = max(p.updated, now)
}

// taskSpeed returns the seconds of work that each task gets done in a second while the processor is warm.
func (p *processor) taskSpeed() float64 {
	share := min(1, float64(p.cores)/float64(max(1, len(p.tasks))))
	return share * p.speed / p.slowdown
}

// add starts a task. The processor must have been advanced to the present time.
func (p *processor) add(work float64, request *request) {
	if len(p.tasks) == 0 {
		p.progress, p.sumOfEnds = 0, 0
	}
	p.sequence++
	added := &task{endProgress: p.progress + max(0, work), sequence: p.sequence, request: request}
	p.sumOfEnds += added.endProgress
	heap.Push(&p.tasks, added)
}

// popFinished removes and returns a task that is complete, or nil if there is none.
func (p *processor) popFinished() *task {
	if len(p.tasks) == 0 || p.tasks[0].endProgress > p.progress+finishTolerance {
		return nil
	}
	done := heap.Pop(&p.tasks).(*task)
	p.sumOfEnds -= done.endProgress
	return done
}

// timeToNextCompletion returns the time until the next task is complete if no task is added before, or false if there
// are no tasks.
func (p *processor) timeToNextCompletion() (time.Duration, bool) {
	if len(p.tasks) == 0 {
		return 0, false
	}
	remaining := p.tasks[0].endProgress - p.progress
	if remaining <= finishTolerance {
		return 0, true
	}
	return max(1, p.timeForWork(remaining/p.taskSpeed())), true
}

// timeForWork returns the time, from the last update on, that the processor takes for the work that a warm processor
// does in the given number of seconds.
func (p *processor) timeForWork(seconds float64) time.Duration {
	return secondsToDuration(p.warmUp.timeForWork(p.updated, seconds))
}

// remainingWork returns the work left in all tasks together, in seconds.
func (p *processor) remainingWork() float64 {
	return max(0, p.sumOfEnds-float64(len(p.tasks))*p.progress)
}

// clear discards all tasks.
func (p *processor) clear() {
	p.tasks = nil
	p.progress, p.sumOfEnds = 0, 0
}

// maxComputedDuration bounds durations computed from floating-point seconds, so that adding them to a time does not
// overflow.
const maxComputedDuration = 365 * 24 * time.Hour

// secondsToDuration converts seconds to a duration, rounded up and at most maxComputedDuration.
func secondsToDuration(seconds float64) time.Duration {
	if !(seconds < maxComputedDuration.Seconds()) {
		return maxComputedDuration
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// taskQueue is a heap of tasks, ordered by endProgress. Tasks with the same endProgress are in the order in which they
// started.
type taskQueue []*task

func (q taskQueue) Len() int { return len(q) }

func (q taskQueue) Less(i, j int) bool {
	return q[i].endProgress < q[j].endProgress || q[i].endProgress == q[j].endProgress && q[i].sequence < q[j].sequence
}

func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *taskQueue) Push(x any) { *q = append(*q, x.(*task)) }

// Pop implements heap.Interface.
func (q *taskQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil // lets the garbage collector free the task
	*q = old[:len(old)-1]
	return last
}
