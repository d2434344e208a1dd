package virtualsoak

import (
	"cmp"
	"slices"
	"time"

	"springfield/policy"
)

// Ejection of endpoints after failures, as the policy documents it.
const (
	minEjection     = time.Second     // time without attempts after the first failure
	maxEjection     = 8 * time.Second // longest time without attempts after a failure
	maxEjectedShare = 0.5             // largest share of ready endpoints to eject
)

// endpointTable holds the endpoints of a gateway's endpoint list, with what the gateway knows of their failures. An
// endpoint is ejected at a failure unless too many others are; an ejected endpoint may get single attempts as trials,
// and returns with an answer.
type endpointTable struct {
	warmUpDuration time.Duration
	entries        []*listedEndpoint // in order of their ids
}

// listedEndpoint is an endpoint of the list.
type listedEndpoint struct {
	policy.Endpoint
	ejected      bool
	maybeEjected bool // a failure or a cancelled attempt may have ejected the endpoint
	backoff      time.Duration
	nextTrialAt  time.Duration
}

// find returns the position of an endpoint, or where it would be inserted.
func (t *endpointTable) find(id policy.EndpointID) (position int, found bool) {
	return slices.BinarySearchFunc(t.entries, id, func(entry *listedEndpoint, id policy.EndpointID) int {
		return cmp.Compare(entry.ID, id)
	})
}

// lookup returns the entry of an endpoint, or nil if it is not listed.
func (t *endpointTable) lookup(id policy.EndpointID) *listedEndpoint {
	if position, found := t.find(id); found {
		return t.entries[position]
	}
	return nil
}

// update applies an update of the endpoint list.
func (t *endpointTable) update(kind policy.UpdateKind, list []policy.Endpoint) {
	if kind == policy.UpdateFull || kind == policy.UpdateCached {
		t.entries = slices.DeleteFunc(t.entries, func(entry *listedEndpoint) bool {
			return !slices.ContainsFunc(list, func(listed policy.Endpoint) bool { return listed.ID == entry.ID })
		})
	}
	for _, entry := range list {
		t.updateEntry(entry)
	}
}

// updateEntry applies one entry of an update. An endpoint with another start time is a new process.
func (t *endpointTable) updateEntry(entry policy.Endpoint) {
	position, found := t.find(entry.ID)
	switch {
	case entry.State == policy.StateRemoved && found:
		t.entries = slices.Delete(t.entries, position, position+1)
	case entry.State == policy.StateRemoved:
	case !found:
		t.entries = slices.Insert(t.entries, position, &listedEndpoint{Endpoint: entry})
	case t.entries[position].StartedAt != entry.StartedAt:
		t.entries[position] = &listedEndpoint{Endpoint: entry}
	default:
		t.entries[position].Endpoint = entry
	}
}

func (t *endpointTable) isReady(id policy.EndpointID) bool {
	entry := t.lookup(id)
	return entry != nil && entry.State == policy.StateReady
}

// isWarm reports whether an endpoint is past its slow start.
func (t *endpointTable) isWarm(now time.Duration, entry *listedEndpoint) bool {
	return entry.StartedAt <= 0 || now >= entry.StartedAt+t.warmUpDuration
}

// recordResult applies the result of an attempt to the ejection of its endpoint.
func (t *endpointTable) recordResult(now time.Duration, result *policy.AttemptResult) {
	entry := t.lookup(result.Endpoint)
	if entry == nil {
		return
	}
	switch result.Status {
	case policy.StatusOK:
		entry.ejected, entry.maybeEjected, entry.backoff = false, false, 0
	case policy.StatusRejected, policy.StatusServerError, policy.StatusConnectFailed, policy.StatusReset:
		t.recordFailure(now, entry)
	}
}

// recordCancellation records that the gateway has cancelled an attempt. It may eject the endpoint, because the endpoint
// was silent for too long.
func (t *endpointTable) recordCancellation(id policy.EndpointID) {
	if entry := t.lookup(id); entry != nil {
		entry.maybeEjected = true
	}
}

// recordFailure ejects an endpoint, or defers the next trial of an ejected one.
func (t *endpointTable) recordFailure(now time.Duration, entry *listedEndpoint) {
	switch {
	case entry.ejected:
		entry.backoff = min(maxEjection, 2*entry.backoff)
	case t.mayEjectAnother(entry):
		entry.ejected, entry.backoff = true, minEjection
	default:
		entry.maybeEjected = true
		return
	}
	entry.nextTrialAt = now + entry.backoff
}

// mayEjectAnother reports whether maxEjectedShare certainly allows the ejection of a further endpoint.
func (t *endpointTable) mayEjectAnother(failed *listedEndpoint) bool {
	ejected, ready := 1, 0
	for _, entry := range t.entries {
		if entry.State != policy.StateReady {
			continue
		}
		ready++
		if entry != failed && (entry.ejected || entry.maybeEjected) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(ready)
}

// forward records an attempt and returns the earliest time at which the endpoint may get it, or 0 if the endpoint is
// not ejected. A request that is not idempotent may be a trial only later, because it cannot be repeated if the trial
// fails.
func (t *endpointTable) forward(now time.Duration, id policy.EndpointID, nonIdempotent bool) (earliest time.Duration) {
	entry := t.lookup(id)
	if entry == nil || !entry.ejected {
		return 0
	}
	earliest = entry.nextTrialAt
	if nonIdempotent {
		earliest += maxEjection
	}
	entry.nextTrialAt = now + entry.backoff
	return earliest
}
