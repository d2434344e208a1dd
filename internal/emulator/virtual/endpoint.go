package virtual

import (
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// endpoint is an upstream server: the model of its machine, with its zone, its connections and its partitions.
type endpoint struct {
	id         policy.EndpointID
	zone, cell int
	server     *model.Server
	// incarnation increases at each stop and start of the process, so that it is odd while the process is stopped.
	// Connections to an earlier incarnation are lost.
	incarnation int
	active      []*attempt // attempts with a connection to the process, in an order that the seed determines
	partitions  int        // number of active partitions that isolate the endpoint from all gateways
}

// addEndpoint starts a new endpoint. If startedAt is 0, the endpoint started long ago and does not warm up.
func (w *world) addEndpoint(zone, cell int, startedAt time.Duration) {
	e := &endpoint{id: policy.EndpointID(len(w.endpoints) + 1), zone: zone, cell: cell}
	e.server = model.NewScenarioServer(w.scenario, e.id, zone, cell, startedAt, w.scheduler, w.serverRandom)
	e.server.OnOverload = func(informedShare float64) { w.endpointOverloaded(e, informedShare) }
	w.endpoints = append(w.endpoints, e)
	w.groundTruth.addEndpoint()
	warming := startedAt > 0 && w.scenario.WarmUp.Duration > 0
	w.observe(emulator.EndpointStarted{Endpoint: e.id, Zone: e.zone, Cell: e.cell, Warming: warming})
	w.publish(e, policy.StateReady)
}

func (w *world) endpoint(id policy.EndpointID) *endpoint {
	if id == 0 || int(id) > len(w.endpoints) {
		return nil
	}
	return w.endpoints[id-1]
}

// publish sets the endpoint's entry in discovery.
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

// endpointOverloaded handles the failure of an endpoint that was overloaded during its warm-up. The endpoint stays
// down.
func (w *world) endpointOverloaded(e *endpoint, informedShare float64) {
	w.observe(emulator.EndpointOverloaded{Endpoint: e.id, InformedShare: informedShare})
	w.stopEndpoint(e)
}

// stopEndpoint ends the process of an endpoint and resets its connections.
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

// startEndpoint starts a new process of a stopped endpoint.
func (w *world) startEndpoint(e *endpoint) {
	if !e.stopped() {
		return
	}
	e.incarnation++
	e.server.Start(w.scheduler.Now())
	warming := w.scenario.WarmUp.Duration > 0
	w.observe(emulator.EndpointStarted{Endpoint: e.id, Zone: e.zone, Cell: e.cell, Warming: warming})
	w.publish(e, policy.StateReady)
}

// stopped reports whether the endpoint's process has ended. A stopped endpoint has an odd incarnation.
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
