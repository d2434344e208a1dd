package policy

import "time"

// simulatedGateway is one gateway of a simulatedFleet. It carries out and records its engine's actions.
type simulatedGateway struct {
	fleet    *simulatedFleet
	index    int
	engine   *Engine
	requests map[RequestID]*simulatedRequest // those without their final answer
}

// simulatedRequest is a request with its attempt in flight.
type simulatedRequest struct {
	Request
	attempts int
	inFlight int // number of the attempt in flight, or noAttempt
	endpoint EndpointID
	sentAt   time.Duration
}

const noAttempt = -1

func startSimulatedGateway(fleet *simulatedFleet, cfg Config) *simulatedGateway {
	gateway := &simulatedGateway{fleet: fleet, index: cfg.GatewayIndex, requests: map[RequestID]*simulatedRequest{}}
	gateway.engine = New(cfg, gateway)
	gateway.engine.Start(fleet.now)
	gateway.engine.UpdateEndpoints(fleet.now, UpdateCached, fleet.endpointList())
	return gateway
}

// disconnect lets the client of a request close its connection.
func (g *simulatedGateway) disconnect(request *simulatedRequest) {
	if g.requests[request.ID] == request {
		g.engine.ClientDisconnected(g.fleet.now, request.ID)
		delete(g.requests, request.ID)
	}
}

// Forward lets the endpoint serve the attempt.
func (g *simulatedGateway) Forward(id RequestID, endpoint EndpointID, giveUpAt time.Duration) {
	fleet := g.fleet
	fleet.record(g, "send", id, endpoint, int64(giveUpAt))
	request := g.requests[id]
	attempt := request.attempts
	request.attempts++
	request.inFlight, request.endpoint, request.sentAt = attempt, endpoint, fleet.now
	if attempt == 0 {
		fleet.countUsage(request)
	}
	status, latency := fleet.serve(fleet.endpoints[endpoint-firstSimulatedID], request.Units)
	if latency > giveUpAt-fleet.now {
		status, latency = StatusTimedOut, giveUpAt-fleet.now
	}
	if draw := fleet.rng.IntN(60); draw == 0 && status == StatusOK {
		fleet.after(latency/2, func() { g.engine.ResponseStarted(fleet.now, id, attempt, endpoint) })
	}
	fleet.after(latency, func() { g.finishAttempt(request, attempt, endpoint, status) })
}

// finishAttempt ends an attempt, unless it was cancelled meanwhile.
func (g *simulatedGateway) finishAttempt(
	request *simulatedRequest, attempt int, endpoint EndpointID, status Status,
) {
	if request.inFlight != attempt {
		return
	}
	request.inFlight = noAttempt
	open := g.requests[request.ID] == request
	result := AttemptResult{Request: request.ID, Attempt: attempt, Endpoint: endpoint, Status: status,
		Latency: g.fleet.now - request.sentAt, RequestDone: status == StatusOK || !open}
	if status == StatusOK || status == StatusServerError || status == StatusRejected {
		result.Usage, result.HasUsage = g.fleet.usageReading(request)
	}
	if status == StatusOK {
		delete(g.requests, request.ID)
	}
	g.engine.AttemptFinished(g.fleet.now, result)
}

// Reject ends a request.
func (g *simulatedGateway) Reject(id RequestID, retryAfter time.Duration) {
	g.fleet.record(g, "refuse", id, int64(retryAfter))
	delete(g.requests, id)
}

// Fail ends a request.
func (g *simulatedGateway) Fail(id RequestID) {
	g.fleet.record(g, "fail", id)
	delete(g.requests, id)
}

// CancelAttempt ends an attempt. Its result follows as an event of its own.
func (g *simulatedGateway) CancelAttempt(id RequestID, attempt int) {
	g.fleet.record(g, "cancel", id, attempt)
	request := g.requests[id]
	if request == nil || request.inFlight != attempt {
		return
	}
	endpoint := request.endpoint
	g.fleet.after(0, func() { g.finishAttempt(request, attempt, endpoint, StatusCancelled) })
}

// StartTimer plans a TimerFired event.
func (g *simulatedGateway) StartTimer(after time.Duration, timer Timer) {
	g.fleet.record(g, "timer", int64(after))
	g.fleet.after(after, func() { g.engine.TimerFired(g.fleet.now, timer) })
}

// WatchEndpoints is recorded alone.
func (g *simulatedGateway) WatchEndpoints(on bool) { g.fleet.record(g, "watch", on) }
