package virtual

import (
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// endpoint is an upstream server with what the world knows around the model of its machine.
type endpoint struct {
	id          policy.EndpointID
	zone, cell  int
	server      *model.Server
	incarnation int        // of its process; connections to an earlier one are gone
	active      []*attempt // that have a connection to its process; the seed determines their order
	partitions  int        // partitions that cut it off from all gateways now
}

// addEndpoint starts a new endpoint. startedAt 0 means that it has run for long.
func (w *world) addEndpoint(zone, cell int, startedAt time.Duration) {
	e := &endpoint{id: policy.EndpointID(len(w.endpoints) + 1), zone: zone, cell: cell}
	e.server = model.NewScenarioServer(w.scenario, e.id, zone, cell, startedAt, w.scheduler, w.serverRandom)
	e.server.OnOverload = func(informedShare float64) { w.endpointOverloaded(e, informedShare) }
	w.endpoints = append(w.endpoints, e)
	w.truth.addEndpoint()
	warming := startedAt > 0 && w.scenario.WarmUp.Duration > 0
	w.observe(emulator.EndpointStarted{Endpoint: e.id, Warming: warming})
	w.publish(e, policy.StateReady)
}

func (w *world) endpoint(id policy.EndpointID) *endpoint {
	if id == 0 || int(id) > len(w.endpoints) {
		return nil
	}
	return w.endpoints[id-1]
}

// publish gives discovery the entry of an endpoint.
func (w *world) publish(e *endpoint, state policy.EndpointState) {
	w.discovery.Set(policy.Endpoint{
		ID:        e.id,
		Weight:    1,
		State:     state,
		Zone:      e.zone,
		Cell:      e.cell,
		StartedAt: e.server.StartedAt(),
	})
}

// endpointOverloaded handles that an endpoint has failed while it warmed up: it stays down.
func (w *world) endpointOverloaded(e *endpoint, informedShare float64) {
	w.observe(emulator.EndpointOverloaded{Endpoint: e.id, InformedShare: informedShare})
	w.stopEndpoint(e)
}

// stopEndpoint ends an endpoint's process: its connections are reset.
func (w *world) stopEndpoint(e *endpoint) {
	if e.stopped() {
		return
	}
	e.server.Stop()
	e.incarnation++
	w.observe(emulator.EndpointStopped{Endpoint: e.id})
	w.publish(e, policy.StateRemoved)
	active := e.active
	e.active = nil
	for _, a := range active {
		a.activeIndex = notActive
		a.handleConnectionLost()
	}
}

// startEndpoint starts an endpoint's process again.
func (w *world) startEndpoint(e *endpoint) {
	if !e.stopped() {
		return
	}
	e.incarnation++
	e.server.Start(w.scheduler.Now())
	w.observe(emulator.EndpointStarted{Endpoint: e.id, Warming: w.scenario.WarmUp.Duration > 0})
	w.publish(e, policy.StateReady)
}

// stopped reports whether the endpoint's process has ended: incarnations with an odd number are none.
func (e *endpoint) stopped() bool { return e.incarnation%2 == 1 }

// notActive is the activeIndex of an attempt without a connection.
const notActive = -1

func (e *endpoint) addActive(a *attempt) {
	a.activeIndex = len(e.active)
	e.active = append(e.active, a)
}

func (e *endpoint) removeActive(a *attempt) {
	i := a.activeIndex
	if i == notActive {
		return
	}
	last := len(e.active) - 1
	e.active[i] = e.active[last]
	e.active[i].activeIndex = i
	e.active[last] = nil
	e.active = e.active[:last]
	a.activeIndex = notActive
}
