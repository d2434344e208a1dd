package invariant

import (
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// attempt is an attempt of a request.
type attempt struct {
	number   int
	endpoint policy.EndpointID
	begunAt  time.Duration
	ended    bool
	status   policy.Status // once it has ended
}

// mayHaveRun tells whether the gateway has to assume that the attempt was executed, or may be yet. See the table of
// outcomes in PROTOCOL, "Edge nodes to listing servers".
func (a *attempt) mayHaveRun() bool {
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

// request is a request that is open or ended a moment ago.
type request struct {
	key        emulator.RequestKey
	gateway    int
	class      int
	plan       int
	customer   policy.CustomerID
	units      float64
	deadline   time.Duration
	submission uint64 // position of its submission among the observations
	attempts   []attempt

	answered       bool // has its final answer, perhaps a missing one
	answeredAt     time.Duration
	missing        bool // the final answer is AnswerMissing, which is lost unless the gateway was killed
	judged         bool // it is decided whether the request is lost
	disconnected   bool
	disconnectedAt time.Duration
	received       bool // an attempt has reached an endpoint

	due   time.Duration // when it is looked at again
	index int           // position in its requestQueue
}

// inFlight tells whether an attempt has not ended.
func (r *request) inFlight() bool {
	for i := range r.attempts {
		if !r.attempts[i].ended {
			return true
		}
	}
	return false
}

// closed tells whether nothing more is owed to the client and nothing more is expected from the endpoints.
func (r *request) closed() bool {
	return (r.answered || r.disconnected) && !r.inFlight()
}

// endAttempt records the end of an attempt.
func (r *request) endAttempt(number int, status policy.Status) {
	for i := len(r.attempts) - 1; i >= 0; i-- {
		if r.attempts[i].number == number && !r.attempts[i].ended {
			r.attempts[i].ended = true
			r.attempts[i].status = status
			return
		}
	}
}

// requestQueue orders requests by when they are due. It implements heap.Interface.
type requestQueue []*request

func (q requestQueue) Len() int { return len(q) }

func (q requestQueue) Less(i, j int) bool {
	return q[i].due < q[j].due || q[i].due == q[j].due && q[i].submission < q[j].submission
}

func (q requestQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *requestQueue) Push(x any) {
	added := x.(*request)
	added.index = len(*q)
	*q = append(*q, added)
}

// Pop implements heap.Interface.
func (q *requestQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
