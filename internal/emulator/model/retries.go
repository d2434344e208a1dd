package model

import (
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
)

// retryElsewhere is the share of the retries that come through another gateway although the client's gateway answers.
const retryElsewhere = 0.5

// backoffJitter makes backoffs random: they are the usual one times 1 - this to 1 + this.
const backoffJitter = 0.5

// Retry returns a client's next try after a final answer to the previous one, and false if there is none: it was
// served, the client has no retries, time or interest left, or its class forbids another try. It changes nothing in
// the workload, and the same arguments give the same try.
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
	if answer == emulator.AnswerMissing || random.Float64() < retryElsewhere {
		next.Gateway = otherGateway(&previous, w.scenario.Gateways, random)
	}
	deadline := w.scenario.Classes[next.Class].Deadline.AsDuration()
	next.Deadline = min(next.At+w.drawPatience(deadline, random), next.LastDeadline)
	return next, true
}

// mayRetry tells whether a client sends a further try after the given answer to the one before.
func (w *Workload) mayRetry(next *Arrival, answer emulator.Answer) bool {
	if next.At >= next.LastDeadline || next.AbandonAt != 0 && next.At >= next.AbandonAt {
		return false
	}
	switch answer {
	case emulator.AnswerRejected:
		return true
	case emulator.AnswerFailed, emulator.AnswerMissing:
		return w.mayRepeat(next)
	default: // served
		return false
	}
}

// mayRepeat tells whether a try does no harm although one before it may have been executed.
func (w *Workload) mayRepeat(next *Arrival) bool {
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

// retryDelay draws how long a client waits before its next try: a backoff, and the Retry-After as far as it is heeded.
func (w *Workload) retryDelay(try int, retryAfter time.Duration, random *rand.Rand) time.Duration {
	factor := float64(uint64(1)<<try) * between(1-backoffJitter, 1+backoffJitter, random)
	backoff := scaled(w.scenario.Clients.RetryDelay.AsDuration(), factor)
	if !w.scenario.Limits.RetryAfter {
		return backoff
	}
	return max(backoff, min(retryAfter, w.scenario.Limits.MaxRetryAfter.AsDuration()))
}

// Redirect returns the gateway to which the front takes a request: its own, or if that is down another one of the
// customer's set that is up. If all of them are down it is the request's own.
func (w *Workload) Redirect(arrival *Arrival, isUp func(gateway int) bool) int {
	if isUp(arrival.Gateway) {
		return arrival.Gateway
	}
	offset := int(mix(w.seed^uint64(arrival.Request)) % uint64(arrival.SetSize))
	for i := range arrival.SetSize {
		gateway := (arrival.SetFirst + (offset+i)%arrival.SetSize) % w.scenario.Gateways
		if isUp(gateway) {
			return gateway
		}
	}
	return arrival.Gateway
}

// otherGateway draws another gateway of the customer's set, if there is one.
func otherGateway(previous *Arrival, gateways int, random *rand.Rand) int {
	if previous.SetSize < 2 {
		return previous.Gateway
	}
	position := (previous.Gateway - previous.SetFirst + gateways) % gateways
	position = (position + 1 + random.IntN(previous.SetSize-1)) % previous.SetSize
	return (previous.SetFirst + position) % gateways
}

// retryRandom returns the random numbers of the try that follows the previous one. They depend on nothing else.
func (w *Workload) retryRandom(previous Arrival) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed^streamRetries, mix(uint64(previous.Request))))
}
