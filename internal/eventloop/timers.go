package eventloop

import (
	"container/heap"
	"time"

	"springfield/policy"
)

// timer is a timer of the engine or the time-out of an attempt. The event loop aborts attempts itself because a
// deadline on each connection would wake the process up far more often.
type timer struct {
	due     time.Duration
	attempt *attempt     // aborted when the timer is due; nil: the timer is the engine's
	engine  policy.Timer // what the engine calls the timer
}

// nextTimer returns when the next timer that is still needed is due. Most attempts finish before their time-out;
// discarding their timers saves the event loop a good part of its wake-ups.
func (l *Loop) nextTimer() (due time.Duration, ok bool) {
	for len(l.timers) > 0 {
		if l.needed(l.timers[0]) {
			return l.timers[0].due, true
		}
		l.timers.removeFirst()
	}
	return 0, false
}

// fireTimers fires the timers that are due.
func (l *Loop) fireTimers(now time.Duration) {
	l.now = now
	for len(l.timers) > 0 && l.timers[0].due <= l.now {
		t := l.timers.removeFirst()
		switch {
		case !l.needed(t):
		case t.attempt != nil:
			t.attempt.upstream.Abort(policy.StatusTimedOut)
		default:
			l.engine.TimerFired(l.now, t.engine)
		}
	}
}

// needed reports whether firing the timer would still have an effect.
func (l *Loop) needed(t *timer) bool {
	if t.attempt != nil {
		return !t.attempt.finished
	}
	return l.engine.TimerPending(t.engine)
}

// timerQueue holds timers by when they are due. It implements heap.Interface.
type timerQueue []*timer

// add inserts a timer.
func (q *timerQueue) add(t *timer) { heap.Push(q, t) }

// removeFirst removes and returns the timer that is due next.
func (q *timerQueue) removeFirst() *timer { return heap.Pop(q).(*timer) }

// Len returns the number of timers.
func (q timerQueue) Len() int { return len(q) }

// Less reports whether timer i is due before timer j.
func (q timerQueue) Less(i, j int) bool { return q[i].due < q[j].due }

// Swap exchanges two timers.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a timer; only package heap calls it.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(*timer)) }

// Pop removes the last timer; only package heap calls it.
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil // lets the timer be freed
	*q = (*q)[:last]
	return t
}
