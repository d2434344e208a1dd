package emulator

import (
	"time"

	"springfield/policy"
)

// Decider takes the admission, endpoint selection and retry decisions of one gateway. policy.Engine and the baselines
// implement it.
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

// GroundTruth provides the true state of a deployment, which no real gateway can see. Only the oracle baselines use it.
type GroundTruth interface {
	// Backlog returns the time after which an endpoint is expected to begin a new request. An age above zero asks for
	// the value of that long ago.
	Backlog(endpoint policy.EndpointID, age time.Duration) time.Duration
	// QuotaLeft returns how many units of its quota a customer has left across all gateways. An age above zero asks
	// for the value of that long ago.
	QuotaLeft(customer policy.CustomerID, plan int, age time.Duration) float64
}

// NewDecider creates the decider of one gateway. The decider carries out its decisions by calling actions.
type NewDecider func(cfg policy.Config, actions policy.Actions, groundTruth GroundTruth) Decider
