package policy

import "time"

// simulatedGateway is a gateway of a simulatedFleet. It implements Actions and records each of them.
type simulatedGateway struct {
	fleet    *simulatedFleet
	index    int
	engine   *Engine
	requests map[RequestID]*simulatedRequest // requests without a final answer
}

// simulatedRequest holds a request and its attempt in flight.
type simulatedRequest struct {
	Request
	attempts int
	inFlight int // number of the attempt in flight, or noAttempt
	endpoint EndpointID
	sentAt   time.Duration
}

// noAttempt is the attempt number of a request without an attempt in flight.
const noAttempt = -1

func startSimulatedGateway(fleet *simulatedFleet, cfg Config) *simulatedGateway {
	gateway := &simulatedGateway{fleet: fleet, index: cfg.GatewayIndex, requests: map[RequestID]*simulatedRequest{}}
	gateway.engine = New(cfg, gateway)
	gateway.engine.Start(fleet.now)
	gateway.engine.UpdateEndpoints(fleet.now, UpdateCached, fleet.endpointList())
	return gateway
}

// disconnect tells the engine that the client has disconnected, unless the request has its final answer.
func (g *simulatedGateway) disconnect(request *simulatedRequest) {
	if g.requests[request.ID] == request {
		g.engine.ClientDisconnected(g.fleet.now, request.ID)
		delete(g.requests, request.ID)
	}
}

// Forward starts an attempt at the endpoint and schedules its end. One in sixty successful responses is streamed.
func (g *simulatedGateway) Forward(id RequestID, endpoint EndpointID, giveUpAt time.Duration) {
	fleet := g.fleet
	fleet.record(g, "send", id, endpoint, int64(giveUpAt))
	request := g.requests[id]
	attempt := request.attempts
	request.attempts++
	request.inFlight, request.endpoint, request.sentAt = attempt, endpoint, fleet.now
	if attempt == 0 {
		fleet.recordUsage(request)
	}
	status, latency := fleet.serveAttempt(fleet.endpoints[endpoint-firstSimulatedID], request.Units)
	if latency > giveUpAt-fleet.now {
		status, latency = StatusTimedOut, giveUpAt-fleet.now
	}
	if draw := fleet.rng.IntN(60); draw == 0 && status == StatusOK {
		fleet.after(latency/2, func() { g.engine.ResponseStarted(fleet.now, id, attempt, endpoint) })
	}
	fleet.after(latency, func() { g.finishAttempt(request, attempt, endpoint, status) })
}

// finishAttempt ends an attempt, unless it has ended already.
func (g *simulatedGateway) finishAttempt(
	request *simulatedRequest, attempt int, endpoint EndpointID, status Status,
) {
	if request.inFlight != attempt {
		return
	}
	request.inFlight = noAttempt
	hasClient := g.requests[request.ID] == request
	result := AttemptResult{Request: request.ID, Attempt: attempt, Endpoint: endpoint, Status: status,
		Latency: g.fleet.now - request.sentAt, RequestDone: status == StatusOK || !hasClient}
	if status == StatusOK || status == StatusServerError || status == StatusRejected {
		result.Usage, result.HasUsage = g.fleet.usageReading(request)
	}
	if status == StatusOK {
		delete(g.requests, request.ID)
	}
	g.engine.AttemptFinished(g.fleet.now, result)
}

// Reject gives a request its final answer.
func (g *simulatedGateway) Reject(id RequestID, retryAfter time.Duration) {
	g.fleet.record(g, "refuse", id, int64(retryAfter))
	delete(g.requests, id)
}

// Fail gives a request its final answer.
func (g *simulatedGateway) Fail(id RequestID) {
	g.fleet.record(g, "fail", id)
	delete(g.requests, id)
}

// CancelAttempt ends an attempt. Its result follows as a separate event.
func (g *simulatedGateway) CancelAttempt(id RequestID, attempt int) {
	g.fleet.record(g, "cancel", id, attempt)
	request := g.requests[id]
	if request == nil || request.inFlight != attempt {
		return
	}
	endpoint := request.endpoint
	g.fleet.after(0, func() { g.finishAttempt(request, attempt, endpoint, StatusCancelled) })
}

// StartTimer schedules a TimerFired event.
func (g *simulatedGateway) StartTimer(after time.Duration, timer Timer) {
	g.fleet.record(g, "timer", int64(after))
	g.fleet.after(after, func() { g.engine.TimerFired(g.fleet.now, timer) })
}

// WatchEndpoints only records the action: list updates do not depend on it.
func (g *simulatedGateway) WatchEndpoints(on bool) { g.fleet.record(g, "watch", on) }
