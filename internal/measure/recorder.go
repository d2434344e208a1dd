package measure

import (
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// Recorder observes a run and computes its Result. It stores only the accumulated results, the requests whose last
// deadline has not passed, and the quotas of the customers. It is not safe for concurrent use.
type Recorder struct {
	scenario  *emulator.Scenario
	start     time.Duration
	lastEvent time.Duration // time of the latest event of a request or an attempt

	open         openRequests
	quota        *quota
	idealGateway *singleGateway // decides which first tries count as requested inside their quota

	overall      group
	plans        []group
	classes      []group
	tries        [outcomeKinds]int64
	attempts     Attempts
	endpoints    endpointLoads
	timeline     timeline
	faults       []FaultSpan
	activeFaults []activeFault
}

var _ emulator.Observer = (*Recorder)(nil)

// NewRecorder returns a recorder for a run of the scenario whose load begins at start.
func NewRecorder(scenario *emulator.Scenario, start time.Duration) *Recorder {
	recorder := &Recorder{
		scenario:     scenario,
		start:        start,
		lastEvent:    start,
		open:         newOpenRequests(len(scenario.Classes)),
		quota:        newQuota(scenario),
		idealGateway: newSingleGateway(scenario),
		overall:      newGroup(""),
		endpoints:    newEndpointLoads(start),
		timeline:     newTimeline(start, len(scenario.Plans)),
	}
	for i := range scenario.Plans {
		recorder.plans = append(recorder.plans, newGroup(scenario.Plans[i].Name))
	}
	for i := range scenario.Classes {
		recorder.classes = append(recorder.classes, newGroup(scenario.Classes[i].Name))
	}
	return recorder
}

// Observe implements emulator.Observer.
func (r *Recorder) Observe(at time.Duration, observation emulator.Observation) {
	r.expireRequests(at, at)
	r.timeline.advance(at, &r.endpoints)
	switch o := observation.(type) {
	case emulator.RequestSubmitted:
		r.lastEvent = at
		r.submitted(at, &o)
	case emulator.AttemptForwarded:
		r.lastEvent = at
		r.forwarded(&o)
	case emulator.AttemptReceived:
		r.lastEvent = at
		r.received(at, &o)
	case emulator.AttemptEnded:
		r.lastEvent = at
		r.attemptEnded(at, &o)
	case emulator.RequestAnswered:
		r.lastEvent = at
		r.answered(at, &o)
	case emulator.ClientDisconnected:
		r.lastEvent = at
		r.disconnected(at, o.Request)
	case emulator.EndpointStarted:
		r.endpoints.started(o.Endpoint)
	case emulator.EndpointStopped:
		r.endpoints.stopped(o.Endpoint)
	case emulator.EndpointOverloaded:
		r.endpoints.load(o.Endpoint).totals.Overloads++
	case emulator.FaultChanged:
		r.faultChanged(at, o)
	}
}

func (r *Recorder) submitted(at time.Duration, o *emulator.RequestSubmitted) {
	second := r.timeline.current()
	second.Tries++
	second.Plans[o.Plan].RequestedUnits += o.Units
	req, known := r.open.requests[o.Original]
	if o.Original == o.Request {
		req = r.newRequest(at, o)
		second.Requests++
	} else {
		r.attempts.ClientRetries++
		if !known {
			return // the request's last deadline has passed
		}
	}
	r.open.addTry(&try{key: o.Request, request: req, deadline: o.Deadline, units: o.Units, trueUnits: o.Units})
}

func (r *Recorder) newRequest(at time.Duration, o *emulator.RequestSubmitted) *request {
	plan, class := &r.scenario.Plans[o.Plan], &r.scenario.Classes[o.Class]
	opened := &request{
		key:       o.Original,
		customer:  o.Customer,
		plan:      o.Plan,
		class:     o.Class,
		submitted: at,
		expiresAt: at + class.Deadline.AsDuration() + expiryGrace,
		value:     class.Value * plan.Price * o.Units,
	}
	r.open.addRequest(opened)
	second := r.timeline.current()
	if r.idealGateway.admits(at, o) {
		second.RequestedInQuotaValue += opened.value
		second.RequestedValue += opened.value
		r.forEachGroup(opened, func(g *group) { g.value.addRequestedInQuota(opened.value) })
	} else {
		reduced := opened.value * plan.OverQuotaValue
		second.RequestedValue += reduced
		r.forEachGroup(opened, func(g *group) { g.value.addRequestedOverQuota(reduced) })
	}
	return opened
}

// forEachGroup calls update for the groups that a request belongs to: the whole run, its plan and its class.
func (r *Recorder) forEachGroup(req *request, update func(*group)) {
	update(&r.overall)
	update(&r.plans[req.plan])
	update(&r.classes[req.class])
}

func (r *Recorder) forwarded(o *emulator.AttemptForwarded) {
	second := r.timeline.current()
	second.Forwarded++
	r.attempts.Forwarded++
	if o.NewConnection {
		second.NewConnections++
		r.attempts.NewConnections++
		r.endpoints.load(o.Endpoint).totals.NewConnections++
	}
	t, open := r.open.tries[o.Request]
	if !open {
		return
	}
	if t.forwarded {
		second.Retries++
		r.attempts.Retries++
	}
	t.forwarded = true
	t.pending++
}

func (r *Recorder) received(at time.Duration, o *emulator.AttemptReceived) {
	r.attempts.Received++
	t, open := r.open.tries[o.Request]
	if !open {
		r.endpoints.countAttempt(o.Endpoint)
		return
	}
	if !t.received {
		r.chargeQuota(at, t, o.Units)
	}
	t.inFlight = append(t.inFlight, attempt{number: o.Attempt, endpoint: o.Endpoint})
	r.quota.attemptReceived(t.request)
	r.endpoints.attemptReceived(at, o.Endpoint)
}

// chargeQuota charges a try whose first attempt has reached an endpoint, and records the use inside or over the quota.
func (r *Recorder) chargeQuota(at time.Duration, t *try, trueUnits float64) {
	t.received = true
	t.trueUnits = trueUnits
	t.inQuota = r.quota.charge(at, t)
	plan := &r.timeline.current().Plans[t.request.plan]
	if t.inQuota {
		plan.InQuotaUnits += t.units
		return
	}
	plan.OverQuotaUnits += t.units
	cost := t.request.value * r.scenario.Plans[t.request.plan].OverQuotaCost
	r.forEachGroup(t.request, func(g *group) { g.value.addOverQuotaCost(cost) })
}

func (r *Recorder) attemptEnded(at time.Duration, o *emulator.AttemptEnded) {
	if o.Executed {
		r.attempts.Executed++
		r.endpoints.load(o.Endpoint).totals.Executed++
	}
	t, open := r.open.tries[o.Request]
	if !open {
		return
	}
	if o.Status != policy.StatusNotSent {
		t.pending = max(0, t.pending-1)
	}
	if t.removeAttempt(o.Attempt) {
		r.quota.attemptEnded(t.request)
		r.endpoints.attemptEnded(at, o.Endpoint)
	}
	r.settleQuota(t, o)
	r.removeIfDone(t)
}

// removeIfDone removes a try that has ended, unless one of its attempts may still reach an endpoint and take units.
func (r *Recorder) removeIfDone(t *try) {
	if t.ended && t.pending == 0 && len(t.inFlight) == 0 {
		r.open.removeTry(t)
	}
}
