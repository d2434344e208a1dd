package model

import (
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
)

// otherGatewayRetryShare is the share of retries that go through another gateway although the gateway of the previous
// try has answered.
const otherGatewayRetryShare = 0.5

// backoffJitter is the relative spread of backoffs: they are drawn uniformly from 1 - backoffJitter to 1 +
// backoffJitter times the nominal backoff.
const backoffJitter = 0.5

// Retry returns a client's next try after the final answer to the previous one. It returns false if there is none:
// the previous try was served, the retries are used up, the client's last deadline or early disconnect would come
// first, or the class does not allow a repeat. Retry does not change the workload, and equal arguments give equal
// tries.
func (w *Workload) Retry(
	previous Arrival, answer emulator.Answer, retryAfter, now time.Duration,
) (Arrival, bool) {
	if previous.Try >= w.scenario.Clients.Retries {
		return Arrival{}, false
	}
	random := w.retryRandom(previous)
	next := previous
	next.Try++
	next.Request = previous.Original + emulator.RequestKey(next.Try)
	next.At = now + w.retryDelay(previous.Try, retryAfter, random)
	if !w.mayRetry(&next, answer) {
		return Arrival{}, false
	}
	if answer == emulator.AnswerMissing || random.Float64() < otherGatewayRetryShare {
		next.Gateway = otherGateway(&previous, w.scenario.Gateways, random)
	}
	deadline := w.scenario.Classes[next.Class].Deadline.AsDuration()
	next.Deadline = min(next.At+w.drawPatience(deadline, random), next.LastDeadline)
	return next, true
}

// mayRetry reports whether a client sends the next try after the given answer to the previous one.
func (w *Workload) mayRetry(next *Arrival, answer emulator.Answer) bool {
	if next.At >= next.LastDeadline || next.AbandonAt != 0 && next.At >= next.AbandonAt {
		return false
	}
	switch answer {
	case emulator.AnswerRejected:
		return true
	case emulator.AnswerFailed, emulator.AnswerMissing:
		return w.isRepeatSafe(next)
	default: // a served request needs no retry
		return false
	}
}

// isRepeatSafe reports whether the next try is harmless although an earlier try may have been executed.
func (w *Workload) isRepeatSafe(next *Arrival) bool {
	class := &w.scenario.Classes[next.Class]
	switch class.Idempotency {
	case idempotencyRepeatable:
		return true
	case idempotencyByKey:
		firstAt := next.LastDeadline - class.Deadline.AsDuration()
		return class.Scope == scopeAll && next.At-firstAt < class.KeyTTL.AsDuration()
	default:
		return false
	}
}

// retryDelay draws how long a client waits before its next try: an exponential backoff or, if that is longer, the
// Retry-After of the answer up to Limits.MaxRetryAfter. The Retry-After counts only if Limits.RetryAfter is set.
func (w *Workload) retryDelay(try int, retryAfter time.Duration, random *rand.Rand) time.Duration {
	factor := float64(uint64(1)<<try) * uniform(1-backoffJitter, 1+backoffJitter, random)
	backoff := scaleDuration(w.scenario.Clients.RetryDelay.AsDuration(), factor)
	if !w.scenario.Limits.RetryAfter {
		return backoff
	}
	return max(backoff, min(retryAfter, w.scenario.Limits.MaxRetryAfter.AsDuration()))
}

// Redirect returns the gateway to which the load balancer in front of the gateways routes a request: the request's
// own gateway or, if that is down, another one of the customer's set that is up. If the whole set is down, Redirect
// returns the request's own gateway.
func (w *Workload) Redirect(arrival *Arrival, isUp func(gateway int) bool) int {
	if isUp(arrival.Gateway) {
		return arrival.Gateway
	}
	offset := int(splitMix64(w.seed^uint64(arrival.Request)) % uint64(arrival.SetSize))
	for i := range arrival.SetSize {
		gateway := (arrival.SetFirst + (offset+i)%arrival.SetSize) % w.scenario.Gateways
		if isUp(gateway) {
			return gateway
		}
	}
	return arrival.Gateway
}

// otherGateway draws another gateway of the customer's set. It returns the previous gateway if the set has no other.
func otherGateway(previous *Arrival, gateways int, random *rand.Rand) int {
	if previous.SetSize < 2 {
		return previous.Gateway
	}
	position := (previous.Gateway - previous.SetFirst + gateways) % gateways
	position = (position + 1 + random.IntN(previous.SetSize-1)) % previous.SetSize
	return (previous.SetFirst + position) % gateways
}

// retryRandom returns the random number generator for the retry of a try. It depends only on the seed and on the key
// of that try.
func (w *Workload) retryRandom(previous Arrival) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed^uint64(StreamRetries), splitMix64(uint64(previous.Request))))
}
