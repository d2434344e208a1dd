package emulator

import (
	"time"

	"springfield/policy"
)

// Decider decides for one gateway. policy.Engine is one; the baselines are others.
type Decider interface {
	Start(now time.Duration)
	UpdateEndpoints(now time.Duration, kind policy.UpdateKind, list []policy.Endpoint)
	Submit(now time.Duration, request policy.Request)
	AttemptFinished(now time.Duration, result policy.AttemptResult)
	ClientDisconnected(now time.Duration, id policy.RequestID)
	BeginShutdown(now, answerBy time.Duration)
	TimerFired(now time.Duration, timer policy.Timer)
}

var _ Decider = (*policy.Engine)(nil)

// Truth is the true state of a deployment, which no real gateway can see. Only oracles use it.
type Truth interface {
	// Backlog is the expected time until an endpoint would begin a new request, as it was the given age ago.
	Backlog(endpoint policy.EndpointID, age time.Duration) time.Duration
	// QuotaLeft is how many units a customer has left over all gateways, as it was the given age ago.
	QuotaLeft(customer policy.CustomerID, plan int, age time.Duration) float64
}

// NewDecider returns the decider of one gateway.
type NewDecider func(cfg policy.Config, actions policy.Actions, truth Truth) Decider
