package loopback

import (
	"errors"
	"net"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/policy"
)

// endpoint is an upstream server: the model of its machine behind a listener. Its fields are accessed only in the
// scheduler.
type endpoint struct {
	world      *World
	id         policy.EndpointID
	zone, cell int
	server     *model.Server
	address    string
	listener   net.Listener // nil while the endpoint's process is stopped
	partitions int          // number of active partitions that separate the endpoint from all gateways

	connections []*upstreamConnection // open connections in the order of their acceptance
}

// addEndpoint starts a new endpoint. If startedAt is 0, the endpoint started long ago and is warm.
func (w *World) addEndpoint(zone, cell int, startedAt time.Duration) error {
	listener, err := w.subnet.listen(endpointHost)
	if err != nil {
		return err
	}
	e := &endpoint{
		world:   w,
		id:      policy.EndpointID(len(w.endpoints) + 1),
		zone:    zone,
		cell:    cell,
		address: listener.Addr().String(),
	}
	e.server = model.NewScenarioServer(w.scenario, e.id, zone, cell, startedAt, w.scheduler, w.serverRandom)
	e.server.OnOverload = func(informedShare float64) {
		w.observe(emulator.EndpointOverloaded{Endpoint: e.id, InformedShare: informedShare})
		e.stop()
	}
	w.endpoints = append(w.endpoints, e)
	e.markStarted(listener, startedAt > 0 && w.scheduler.Now()-startedAt < w.scenario.WarmUp.Duration.AsDuration())
	return nil
}

// markStarted observes the start of the endpoint's process, publishes the endpoint in discovery and accepts
// connections.
func (e *endpoint) markStarted(listener net.Listener, warming bool) {
	e.listener = listener
	e.world.observe(emulator.EndpointStarted{Endpoint: e.id, Zone: e.zone, Cell: e.cell, Warming: warming})
	e.world.discovery.Set(e.server.Endpoint())
	e.world.goroutines.Go(func() { e.acceptConnections(listener) })
}

// acceptConnections accepts connections for one process of the endpoint until its listener is closed.
func (e *endpoint) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.world.logger.Warn("accepting at an endpoint failed", "endpoint", e.id, "err", err)
			if !e.world.sleep(acceptRetryDelay) {
				return
			}
			continue
		}
		accepted := false
		e.world.scheduler.Do(func() { accepted = e.addConnection(conn, listener) })
		if !accepted {
			closeWithReset(conn)
		}
	}
}

// acceptRetryDelay is the pause after a failed accept, for example when no file descriptor is free.
const acceptRetryDelay = 10 * time.Millisecond

// addConnection serves a connection that the listener has accepted. It reports false if the process of that listener
// has ended.
func (e *endpoint) addConnection(conn net.Conn, listener net.Listener) bool {
	if e.listener != listener {
		return false
	}
	c := &upstreamConnection{endpoint: e, conn: conn, processListener: listener, admitted: e.server.Connect()}
	e.connections = append(e.connections, c)
	e.world.goroutines.Go(c.serve)
	return true
}

// drain makes the endpoint reject new requests.
func (e *endpoint) drain() {
	if e.listener == nil {
		return
	}
	e.server.Drain()
	e.world.discovery.Set(e.server.Endpoint())
}

// stop ends the endpoint's process: open connections are reset and new ones are refused.
func (e *endpoint) stop() {
	if e.listener == nil {
		return
	}
	e.server.Stop()
	e.closeListener()
	e.world.observe(emulator.EndpointStopped{Endpoint: e.id})
	e.resetConnections()
	e.world.discovery.Set(e.server.Endpoint())
}

func (e *endpoint) resetConnections() {
	for _, c := range e.connections {
		c.closeWithReset()
	}
}

// restart starts the endpoint's process again at the same address.
func (e *endpoint) restart() {
	if e.listener != nil {
		return
	}
	listener, err := net.Listen("tcp4", e.address)
	if err != nil {
		e.world.logger.Error("restarting an endpoint failed", "endpoint", e.id, "err", err)
		return
	}
	e.server.Start(e.world.scheduler.Now())
	e.markStarted(listener, e.world.scenario.WarmUp.Duration > 0)
}

func (e *endpoint) closeListener() {
	if e.listener != nil {
		_ = e.listener.Close() // the listener is still open, because no other code closes it
		e.listener = nil
	}
}

// endpoint returns the endpoint with the given ID, or nil if there is none.
func (w *World) endpoint(id policy.EndpointID) *endpoint {
	if id == 0 || int(id) > len(w.endpoints) {
		return nil
	}
	return w.endpoints[id-1]
}

// endpointAddress returns the address of an endpoint, or "" if there is no such endpoint. It implements addressLookup.
func (w *World) endpointAddress(id policy.EndpointID) string {
	if e := w.endpoint(id); e != nil {
		return e.address
	}
	return ""
}

// sleep waits for the delay. It reports false if the world ends first.
func (w *World) sleep(delay time.Duration) bool {
	select {
	case <-time.After(delay):
		return true
	case <-w.ctx.Done():
		return false
	}
}
