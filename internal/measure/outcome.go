package measure

import (
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// settleQuota corrects the charged units of a try to its true units when the try has its first successful response.
func (r *Recorder) settleQuota(t *try, o *emulator.AttemptEnded) {
	if o.Status == policy.StatusOK && t.received && !t.succeeded {
		t.succeeded = true
		r.quota.settle(t)
	}
}

func (r *Recorder) answered(at time.Duration, o *emulator.RequestAnswered) {
	t, open := r.open.tries[o.Request]
	if !open || t.ended {
		return
	}
	kind := r.classifyAnswer(at, t, o)
	second := r.timeline.current()
	switch kind {
	case outcomeServed, outcomeLate:
		second.Served++
		r.served(at, t, kind)
	case outcomeSpoilt:
		second.Spoilt++
	case outcomeRejected:
		second.Rejected++
	case outcomeFailed:
		second.Failed++
	default:
		second.Missing++
	}
	r.endTry(t, kind)
}

func (r *Recorder) classifyAnswer(at time.Duration, t *try, o *emulator.RequestAnswered) outcomeKind {
	switch {
	case o.Answer == emulator.AnswerRejected:
		return outcomeRejected
	case o.Answer == emulator.AnswerFailed:
		return outcomeFailed
	case o.Answer != emulator.AnswerServed:
		return outcomeMissing
	case !o.Genuine:
		return outcomeSpoilt
	case at-t.request.submitted > r.scenario.Classes[t.request.class].Objective.AsDuration():
		return outcomeLate
	default:
		return outcomeServed
	}
}

// served records the latency and the earned value of the first genuine response to a request. Responses to other tries
// of the request earn nothing.
func (r *Recorder) served(at time.Duration, t *try, kind outcomeKind) {
	req := t.request
	if req.outcomeKind == outcomeServed || req.outcomeKind == outcomeLate {
		return
	}
	latency := at - req.submitted
	r.timeline.latency.record(latency)
	r.forEachGroup(req, func(g *group) { g.latency.record(latency) })
	if kind == outcomeLate {
		return
	}
	earned := req.value
	if !t.inQuota {
		earned *= r.scenario.Plans[req.plan].OverQuotaValue
	}
	r.forEachGroup(req, func(g *group) { g.value.addEarned(earned, t.inQuota) })
	r.timeline.at(req.submitted).EarnedValue += earned
}

func (r *Recorder) disconnected(at time.Duration, key emulator.RequestKey) {
	t, open := r.open.tries[key]
	if !open || t.ended {
		return
	}
	if at >= t.deadline { // the client has waited until its deadline
		r.timeline.current().Missing++
		r.endTry(t, outcomeMissing)
		return
	}
	r.timeline.current().Disconnected++
	r.endTry(t, outcomeDisconnected)
}

func (r *Recorder) endTry(t *try, kind outcomeKind) {
	t.ended = true
	r.tries[kind]++
	t.request.recordOutcome(kind)
	r.removeIfDone(t)
}

// expireRequests removes the requests that expire at or before the time by, which may be later than now.
func (r *Recorder) expireRequests(by, now time.Duration) {
	for class := range r.open.byClass {
		for {
			expired, found := r.open.popExpired(class, by)
			if !found {
				break
			}
			r.expire(min(expired.expiresAt, now), expired)
		}
	}
}

// expire ends the open tries of a request. A try without an answer counts as missing, and an attempt whose end was not
// observed counts as ended.
func (r *Recorder) expire(at time.Duration, expired *request) {
	for _, t := range expired.openTries {
		if !t.ended {
			r.timeline.at(min(t.deadline, at)).Missing++
			r.tries[outcomeMissing]++
			expired.recordOutcome(outcomeMissing)
		}
		for _, a := range t.inFlight {
			r.quota.attemptEnded(expired)
			r.endpoints.attemptEnded(at, a.endpoint)
		}
		delete(r.open.tries, t.key)
	}
	expired.openTries = nil
	r.forEachGroup(expired, func(g *group) { g.outcomeCounts[expired.outcomeKind]++ })
}
