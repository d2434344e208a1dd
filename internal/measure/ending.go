package measure

import (
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// settleQuota corrects the quota once a try has got its first good response.
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
	end := r.endingOf(at, t, o)
	second := r.timeline.current()
	switch end {
	case endingServed, endingLate:
		second.Served++
		r.served(at, t, end)
	case endingSpoilt:
		second.Spoilt++
	case endingRejected:
		second.Rejected++
	case endingFailed:
		second.Failed++
	default:
		second.Missing++
	}
	r.endTry(t, end)
}

func (r *Recorder) endingOf(at time.Duration, t *try, o *emulator.RequestAnswered) ending {
	switch {
	case o.Answer == emulator.AnswerRejected:
		return endingRejected
	case o.Answer == emulator.AnswerFailed:
		return endingFailed
	case o.Answer != emulator.AnswerServed:
		return endingMissing
	case !o.Genuine:
		return endingSpoilt
	case at-t.request.submitted > r.scenario.Classes[t.request.class].Objective.AsDuration():
		return endingLate
	default:
		return endingServed
	}
}

// served books the first genuine response to a request. Another one, to a later try, earns nothing.
func (r *Recorder) served(at time.Duration, t *try, end ending) {
	owner := t.request
	if owner.ending == endingServed || owner.ending == endingLate {
		return
	}
	latency := at - owner.submitted
	r.timeline.latency.record(latency)
	r.eachGroup(owner, func(g *group) { g.latency.record(latency) })
	if end == endingLate {
		return
	}
	earned := owner.value
	if !t.inQuota {
		earned *= r.scenario.Plans[owner.plan].OverQuotaValue
	}
	r.eachGroup(owner, func(g *group) { g.value.earn(earned, t.inQuota) })
	r.timeline.at(owner.submitted).EarnedValue += earned
}

func (r *Recorder) disconnected(at time.Duration, key emulator.RequestKey) {
	t, open := r.open.tries[key]
	if !open || t.ended {
		return
	}
	if at >= t.deadline { // the client has waited as long as it would
		r.timeline.current().Missing++
		r.endTry(t, endingMissing)
		return
	}
	r.timeline.current().Disconnected++
	r.endTry(t, endingDisconnected)
}

func (r *Recorder) endTry(t *try, end ending) {
	t.ended = true
	r.tries[end]++
	t.request.settleEnding(end)
	r.removeIfOver(t)
}

// expireRequests takes out the requests that expire by a time, which may lie after the present one.
func (r *Recorder) expireRequests(by, now time.Duration) {
	for class := range r.open.byClass {
		for {
			expired, found := r.open.nextExpired(class, by)
			if !found {
				break
			}
			r.expire(min(expired.expiresAt, now), expired)
		}
	}
}

// expire ends what is open of a request. What was not answered is missing, and an attempt that no one has seen the
// end of counts as ended.
func (r *Recorder) expire(at time.Duration, expired *request) {
	for _, t := range expired.openTries {
		if !t.ended {
			r.timeline.at(min(t.deadline, at)).Missing++
			r.tries[endingMissing]++
			expired.settleEnding(endingMissing)
		}
		for _, a := range t.inFlight {
			r.quota.attemptEnded(expired)
			r.endpoints.attemptEnded(at, a.endpoint)
		}
		delete(r.open.tries, t.key)
	}
	expired.openTries = nil
	r.eachGroup(expired, func(g *group) { g.endings[expired.ending]++ })
}
