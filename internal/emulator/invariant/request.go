package invariant

import (
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// attempt is the state of an attempt of a request.
type attempt struct {
	number    int
	endpoint  policy.EndpointID
	startedAt time.Duration
	ended     bool
	status    policy.Status // valid once the attempt has ended
}

// possiblyExecuted reports whether the gateway must assume that the attempt was or will be executed. Source: PROTOCOL,
// "Edge nodes to listing servers", the table of outcomes.
func (a *attempt) possiblyExecuted() bool {
	if !a.ended {
		return true
	}
	switch a.status {
	case policy.StatusRejected, policy.StatusConnectFailed, policy.StatusNotSent, policy.StatusLocalFailure:
		return false
	default:
		return true
	}
}

// request is the state of a tracked request: one that is open or was closed recently.
type request struct {
	key                emulator.RequestKey
	gateway            int
	class              int
	plan               int
	customer           policy.CustomerID
	units              float64
	deadline           time.Duration
	submissionSequence uint64 // sequence number of the observation that submitted it
	attempts           []attempt

	answered       bool // the final answer was observed, which may be AnswerMissing
	answeredAt     time.Duration
	missing        bool // the final answer is AnswerMissing; the request is lost unless the gateway was killed
	lossChecked    bool // checkLoss has decided whether the request is lost
	disconnected   bool
	disconnectedAt time.Duration
	received       bool // an attempt has reached an endpoint, so the ceiling was charged

	due   time.Duration // time after which advance checks the request
	index int           // position in the requestHeap
}

// insertAttempt adds an attempt after those that started before it or at the same time. It returns the index of the
// attempt.
func (r *request) insertAttempt(added attempt) int {
	index := len(r.attempts)
	for index > 0 && r.attempts[index-1].startedAt > added.startedAt {
		index--
	}
	r.attempts = slices.Insert(r.attempts, index, added)
	return index
}

// attemptIndex returns the index of the attempt with a number.
func (r *request) attemptIndex(number int) int {
	return slices.IndexFunc(r.attempts, func(a attempt) bool { return a.number == number })
}

// attemptsUntil returns the attempts that started no later than a time.
func (r *request) attemptsUntil(at time.Duration) []attempt {
	count := len(r.attempts)
	for count > 0 && r.attempts[count-1].startedAt > at {
		count--
	}
	return r.attempts[:count]
}

// inFlight reports whether any attempt has not ended.
func (r *request) inFlight() bool {
	for i := range r.attempts {
		if !r.attempts[i].ended {
			return true
		}
	}
	return false
}

// closed reports whether the client needs no further answer and all attempts have ended.
func (r *request) closed() bool {
	return (r.answered || r.disconnected) && !r.inFlight()
}

// handleAttemptEnded records the end of an attempt.
func (r *request) handleAttemptEnded(number int, status policy.Status) {
	for i := len(r.attempts) - 1; i >= 0; i-- {
		if r.attempts[i].number == number && !r.attempts[i].ended {
			r.attempts[i].ended = true
			r.attempts[i].status = status
			return
		}
	}
}

// requestHeap is a min-heap of requests by due time. It implements heap.Interface.
type requestHeap []*request

func (q requestHeap) Len() int { return len(q) }

func (q requestHeap) Less(i, j int) bool {
	return q[i].due < q[j].due || q[i].due == q[j].due && q[i].submissionSequence < q[j].submissionSequence
}

func (q requestHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *requestHeap) Push(x any) {
	added := x.(*request)
	added.index = len(*q)
	*q = append(*q, added)
}

// Pop implements heap.Interface.
func (q *requestHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
