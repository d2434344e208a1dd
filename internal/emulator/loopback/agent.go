package loopback

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"springfield/policy"
)

const (
	// moveNotificationDelay is the time after SIGHUP until a gateway counts as notified of the list that discovery holds
	// at its new address.
	moveNotificationDelay = 4 * time.Second

	// silenceNotificationDelay is the time after a watch has fallen silent until its gateway counts as notified of the
	// changes that the watch did not bring.
	silenceNotificationDelay = 6 * time.Second

	agentHeaderTimeout = 5 * time.Second
)

// agent is the server that answers the discovery calls of one gateway. With pushed discovery it models the agent on the
// gateway's machine: it holds the list that model.Discovery has delivered, and the gateway counts as notified of that
// list. With polled discovery it models the shared discovery service: each call or watch opens a watch of
// model.Discovery. The fields of an agent are accessed only in the scheduler.
type agent struct {
	world   *World
	gateway int

	version uint64 // version of the pushed list; 0 before the first delivery
	entries map[policy.EndpointID]policy.Endpoint

	watches    []*watch
	changed    chan struct{} // closed and replaced at each change after which a waiting call may be answered
	generation int           // number of addresses that the agent has had
	address    string
	server     *http.Server

	deferUntil      time.Duration     // the gateway does not count as notified of changes before this time
	deferredChanges []policy.Endpoint // changes of which the gateway counts as notified from deferUntil on
}

// newAgent returns an agent that listens for the calls of a gateway.
func newAgent(w *World, gateway int) (*agent, error) {
	a := &agent{
		world:   w,
		gateway: gateway,
		entries: map[policy.EndpointID]policy.Endpoint{},
		changed: make(chan struct{}),
	}
	return a, a.listen()
}

// listen opens a listener at a new address, the only one at which calls are answered from then on.
func (a *agent) listen() error {
	listener, err := a.world.subnet.listen(discoveryHost)
	if err != nil {
		return err
	}
	a.generation++
	generation := a.generation
	a.address = listener.Addr().String()
	server := &http.Server{
		ReadHeaderTimeout: agentHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return a.world.ctx },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			a.serve(w, r, generation)
		}),
	}
	a.server = server
	a.world.goroutines.Go(func() { _ = server.Serve(listener) }) // Serve returns http.ErrServerClosed after a close
	return nil
}

// deliver applies a pushed update to the list and passes the changes on to the open watches.
func (a *agent) deliver(kind policy.UpdateKind, version uint64, list []policy.Endpoint) {
	if kind == policy.UpdateFailed {
		return
	}
	changes := list
	if kind == policy.UpdateFull {
		changes = append(a.missingFrom(list), list...)
	}
	for _, endpoint := range changes {
		if endpoint.State == policy.StateRemoved {
			delete(a.entries, endpoint.ID)
		} else {
			a.entries[endpoint.ID] = endpoint
		}
	}
	a.version = version
	a.wakeCalls()
	for _, w := range a.watches {
		w.deliver(policy.UpdateDelta, version, changes)
	}
	a.notify(changes)
}

// missingFrom returns an entry in the state removed for each held endpoint that a complete list does not contain.
func (a *agent) missingFrom(list []policy.Endpoint) []policy.Endpoint {
	var missing []policy.Endpoint
	for _, held := range a.list() {
		if !slices.ContainsFunc(list, func(endpoint policy.Endpoint) bool { return endpoint.ID == held.ID }) {
			held.State = policy.StateRemoved
			missing = append(missing, held)
		}
	}
	return missing
}

// list returns the pushed list in the order of endpoint IDs.
func (a *agent) list() []policy.Endpoint {
	return slices.SortedFunc(maps.Values(a.entries), func(x, y policy.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
}

// notify records that the gateway counts as notified of changes: now, or at deferUntil if it may not have read them
// yet. It may have read them, however, so that it may use an endpoint that has become ready from now on.
func (a *agent) notify(changes []policy.Endpoint) {
	now := a.world.scheduler.Now()
	if now >= a.deferUntil {
		a.world.markNotified(a.gateway, changes)
		return
	}
	a.deferredChanges = append(a.deferredChanges, changes...)
	a.world.gateways[a.gateway].observeAvailable(changes)
	a.world.scheduler.After(a.deferUntil-now, func() {
		if a.world.scheduler.Now() >= a.deferUntil {
			a.notifyDeferred()
		}
	})
}

// notifyDeferred ends the deferral of notifications: the gateway counts as notified of all deferred changes.
func (a *agent) notifyDeferred() {
	changes := a.deferredChanges
	a.deferUntil, a.deferredChanges = 0, nil
	a.world.markNotified(a.gateway, changes)
}

// silence stops all open watches from sending updates and keep-alive lines.
func (a *agent) silence() {
	for _, w := range a.watches {
		w.silent = true
	}
	a.deferUntil = max(a.deferUntil, a.world.scheduler.Now()+silenceNotificationDelay)
}

// moveToNewAddress moves the agent to a new address. Calls to the old address get no answer from then on.
func (a *agent) moveToNewAddress() error {
	old := a.server
	if err := a.listen(); err != nil {
		return err
	}
	for _, w := range a.watches {
		w.silent = true
	}
	a.wakeCalls()
	a.deferUntil = max(a.deferUntil, a.world.scheduler.Now()+moveNotificationDelay)
	a.world.scheduler.After(moveNotificationDelay, func() { _ = old.Close() }) // an error affects only unanswered calls
	return nil
}

// wakeCalls makes waiting calls check again whether they can be answered.
func (a *agent) wakeCalls() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// close closes the listener and the connections. It is called after the end of the world's context, which has ended all
// calls.
func (a *agent) close() {
	ctx, cancel := context.WithTimeout(context.Background(), agentShutdownTimeout)
	defer cancel()
	if a.server.Shutdown(ctx) != nil {
		_ = a.server.Close() // Close closes the listener and the connections even if it returns an error
	}
}

// agentShutdownTimeout limits how long connections that carry no call can delay the close of an agent's server.
const agentShutdownTimeout = 200 * time.Millisecond
