package measure

import (
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// expiryGrace is how long after its last deadline a request is kept, so that an answer that is barely late, or an
// attempt that ends after it, still finds it.
const expiryGrace = time.Second

// outcomeKind is how a request or a try has ended.
type outcomeKind uint8

const (
	outcomeMissing outcomeKind = iota // not answered, at least not yet
	outcomeServed
	outcomeLate
	outcomeSpoilt
	outcomeRejected
	outcomeFailed
	outcomeDisconnected
	outcomeKinds
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
	outcomeKind outcomeKind // the best that its tries have come to, or else the last
	openTries   []*try
}

// recordOutcome takes in the end of one of the tries. A served request stays served.
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
	units     float64 // the guess
	trueUnits float64 // known once received
	received  bool    // an attempt has reached an endpoint, and has taken the units
	inQuota   bool    // known once received
	forwarded bool    // an attempt has been sent
	pending   int     // attempts that were sent and have not ended
	succeeded bool    // an attempt has got a good response
	ended     bool    // the client has its answer or has gone
	inFlight  []attempt
}

// attempt is one that has reached its endpoint and not ended.
type attempt struct {
	number   int
	endpoint policy.EndpointID
}

// removeAttempt takes an attempt off the list of those in flight, and tells whether it was on it.
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
	byClass  [][]*request // in order of expiry, since the requests of a class live equally long
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

// popExpired takes out a request of the class that expires by a time, if there is one.
func (o *openRequests) popExpired(class int, by time.Duration) (*request, bool) {
	queue := o.byClass[class]
	if len(queue) == 0 || queue[0].expiresAt > by {
		return nil, false
	}
	oldest := queue[0]
	queue[0] = nil // frees it
	o.byClass[class] = queue[1:]
	delete(o.requests, oldest.key)
	return oldest, true
}
