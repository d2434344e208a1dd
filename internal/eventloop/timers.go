package eventloop

import (
	"container/heap"
	"slices"
	"time"

	"springfield/policy"
)

// timer is a timer of the engine or the timeout of an attempt. The event loop times out attempts itself, because a
// deadline on each connection would wake the process up far more often.
type timer struct {
	dueAt   time.Duration
	attempt *attempt     // attempt to abort when the timer is due; nil for a timer of the engine
	engine  policy.Timer // the engine's value for the timer; used only if attempt is nil
}

// minTimersToCompact is the number of timers below which those that are no longer pending are not looked for.
const minTimersToCompact = 256

// compactTimers removes the timers that are no longer pending once there may be as many of them as pending ones. Most
// attempts finish long before their timeouts, whose timers would otherwise take up memory until then.
func (l *Loop) compactTimers() {
	if len(l.timers) < l.compactTimersAt {
		return
	}
	l.timers = slices.DeleteFunc(l.timers, func(t *timer) bool { return !l.isPending(t) })
	heap.Init(&l.timers)
	l.compactTimersAt = max(minTimersToCompact, 2*len(l.timers))
}

// nextTimer returns when the next pending timer is due. It discards timers that are no longer pending: most attempts
// finish before their timeout, and discarding their timers avoids many wake-ups of the event loop.
func (l *Loop) nextTimer() (dueAt time.Duration, ok bool) {
	l.compactTimers()
	for len(l.timers) > 0 {
		if l.isPending(l.timers[0]) {
			return l.timers[0].dueAt, true
		}
		l.timers.removeFirst()
	}
	return 0, false
}

// fireTimers fires the timers that are due.
func (l *Loop) fireTimers(now time.Duration) {
	l.now = now
	for len(l.timers) > 0 && l.timers[0].dueAt <= l.now {
		t := l.timers.removeFirst()
		switch {
		case !l.isPending(t):
		case t.attempt != nil:
			t.attempt.upstream.Abort(policy.StatusTimedOut)
		default:
			l.engine.TimerFired(l.now, t.engine)
		}
	}
}

// isPending reports whether firing the timer would still have an effect.
func (l *Loop) isPending(t *timer) bool {
	if t.attempt != nil {
		return !t.attempt.finished
	}
	return l.engine.TimerPending(t.engine)
}

// timerQueue is a heap of timers ordered by when they are due. It implements heap.Interface.
type timerQueue []*timer

// add inserts a timer.
func (q *timerQueue) add(t *timer) { heap.Push(q, t) }

// removeFirst removes and returns the timer that is due next.
func (q *timerQueue) removeFirst() *timer { return heap.Pop(q).(*timer) }

// Len returns the number of timers.
func (q timerQueue) Len() int { return len(q) }

// Less reports whether timer i is due before timer j.
func (q timerQueue) Less(i, j int) bool { return q[i].dueAt < q[j].dueAt }

// Swap exchanges two timers.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a timer. Only package heap calls it.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(*timer)) }

// Pop removes and returns the last timer. Only package heap calls it.
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil // allows the timer to be garbage-collected
	*q = (*q)[:last]
	return t
}
