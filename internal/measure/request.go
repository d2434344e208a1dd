package measure

import (
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// expiryGrace is how long a request is kept after its last deadline, so that a slightly late answer or the end of an
// attempt is still attributed to it.
const expiryGrace = time.Second

// outcomeKind is the way in which a request or a try has ended.
type outcomeKind uint8

const (
	outcomeMissing outcomeKind = iota // there is no answer, or none yet
	outcomeServed
	outcomeLate
	outcomeSpoilt
	outcomeRejected
	outcomeFailed
	outcomeDisconnected
	outcomeKinds // number of kinds
)

// request is a client's first try with its retries. It is kept until its last deadline has passed.
type request struct {
	key         emulator.RequestKey
	customer    policy.CustomerID
	plan        int
	class       int
	submitted   time.Duration
	expiresAt   time.Duration
	value       float64
	outcomeKind outcomeKind // outcome of the served try, or of the try that ended last if none is served
	openTries   []*try
}

// recordOutcome updates the outcome of the request when one of its tries ends. A served request remains served.
func (r *request) recordOutcome(kind outcomeKind) {
	if r.outcomeKind != outcomeServed && r.outcomeKind != outcomeLate {
		r.outcomeKind = kind
	}
}

// try is one try of a client at one gateway. It is kept until it and its attempts have ended.
type try struct {
	key       emulator.RequestKey
	request   *request
	deadline  time.Duration
	units     float64 // estimated size that the request states
	trueUnits float64 // true size; equal to units until an attempt has been received
	received  bool    // an attempt has reached an endpoint and has taken the units
	inQuota   bool    // the units were inside the quota when the first attempt was received
	forwarded bool    // an attempt has been sent
	pending   int     // number of attempts that were sent and have not ended
	succeeded bool    // an attempt has had a successful response
	ended     bool    // the client has its answer or has disconnected
	inFlight  []attempt
}

// attempt is an attempt that has reached its endpoint and has not ended.
type attempt struct {
	number   int
	endpoint policy.EndpointID
}

// removeAttempt removes an attempt from those in flight, and reports whether it was one of them.
func (t *try) removeAttempt(number int) bool {
	index := slices.IndexFunc(t.inFlight, func(a attempt) bool { return a.number == number })
	if index < 0 {
		return false
	}
	t.inFlight = slices.Delete(t.inFlight, index, index+1)
	return true
}

// openRequests holds the requests whose last deadline has not passed, and their open tries.
type openRequests struct {
	requests map[emulator.RequestKey]*request
	tries    map[emulator.RequestKey]*try
	byClass  [][]*request // requests of each class in order of expiry, since a class has one deadline
}

func newOpenRequests(classes int) openRequests {
	return openRequests{
		requests: make(map[emulator.RequestKey]*request),
		tries:    make(map[emulator.RequestKey]*try),
		byClass:  make([][]*request, classes),
	}
}

func (o *openRequests) addRequest(r *request) {
	o.requests[r.key] = r
	o.byClass[r.class] = append(o.byClass[r.class], r)
}

func (o *openRequests) addTry(t *try) {
	o.tries[t.key] = t
	t.request.openTries = append(t.request.openTries, t)
}

func (o *openRequests) removeTry(t *try) {
	delete(o.tries, t.key)
	open := t.request.openTries
	t.request.openTries = slices.DeleteFunc(open, func(other *try) bool { return other == t })
}

// popExpired removes and returns the oldest request of a class if it expires by the given time.
func (o *openRequests) popExpired(class int, by time.Duration) (*request, bool) {
	queue := o.byClass[class]
	if len(queue) == 0 || queue[0].expiresAt > by {
		return nil, false
	}
	oldest := queue[0]
	queue[0] = nil // allows the request to be garbage-collected
	o.byClass[class] = queue[1:]
	delete(o.requests, oldest.key)
	return oldest, true
}
