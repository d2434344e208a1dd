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
	// moveNotificationDelay is how long after SIGHUP a gateway counts as notified of what the new agent holds.
	moveNotificationDelay = 4 * time.Second

	// silenceNotificationDelay is the time after a watch has fallen silent until its gateway counts as notified of the
	// changes that the watch did not bring.
	silenceNotificationDelay = 6 * time.Second

	agentHeaderTimeout = 5 * time.Second
)

// agent is what one gateway sees of discovery. Where lists are pushed it is the agent on the gateway's machine: it
// holds the list that the model has delivered, and what it holds counts as notified. Where lists are polled it stands
// for the shared service at an address of its own, and each call and each watch is one of the model's. Its fields
// belong to the scheduler.
type agent struct {
	world   *World
	gateway int

	version uint64 // of a pushed list; 0: none has been delivered yet
	entries map[policy.EndpointID]policy.Endpoint

	watches    []*watch
	changed    chan struct{} // closed and replaced at each change that a waiting call may wait for
	generation int           // counts the addresses that the agent has had
	address    string
	server     *http.Server

	deferUntil      time.Duration     // until when the gateway does not count as notified of what it has not read
	deferredChanges []policy.Endpoint // of which it then counts as notified
}

// newAgent starts listening.
func newAgent(w *World, gateway int) (*agent, error) {
	a := &agent{
		world:   w,
		gateway: gateway,
		entries: map[policy.EndpointID]policy.Endpoint{},
		changed: make(chan struct{}),
	}
	return a, a.listen()
}

// listen opens a listener at a new address, from where calls are answered from now on.
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
	a.world.goroutines.Go(func() { _ = server.Serve(listener) }) // ends with http.ErrServerClosed
	return nil
}

// deliver takes a pushed update of the list over.
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

// missingFrom returns an entry in the state removed for each endpoint that a complete list leaves out.
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

// list returns the pushed list by id.
func (a *agent) list() []policy.Endpoint {
	return slices.SortedFunc(maps.Values(a.entries), func(x, y policy.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
}

// notify makes the gateway count as notified of changes: now, or later if it cannot have read them.
func (a *agent) notify(changes []policy.Endpoint) {
	now := a.world.scheduler.Now()
	if now >= a.deferUntil {
		a.world.markNotified(a.gateway, changes)
		return
	}
	a.deferredChanges = append(a.deferredChanges, changes...)
	a.world.scheduler.After(a.deferUntil-now, func() {
		if a.world.scheduler.Now() >= a.deferUntil {
			a.notifyDeferred()
		}
	})
}

// notifyDeferred makes the gateway count as notified of all that the agent holds.
func (a *agent) notifyDeferred() {
	changes := a.deferredChanges
	a.deferUntil, a.deferredChanges = 0, nil
	a.world.markNotified(a.gateway, changes)
}

// silence makes the open watches bring nothing any more, not even an empty line.
func (a *agent) silence() {
	for _, w := range a.watches {
		w.silent = true
	}
	a.deferUntil = max(a.deferUntil, a.world.scheduler.Now()+silenceNotificationDelay)
}

// migrate moves the agent to a new address. The old one answers nothing any more.
func (a *agent) migrate() error {
	old := a.server
	if err := a.listen(); err != nil {
		return err
	}
	for _, w := range a.watches {
		w.silent = true
	}
	a.wakeCalls()
	a.deferUntil = max(a.deferUntil, a.world.scheduler.Now()+moveNotificationDelay)
	a.world.scheduler.After(moveNotificationDelay, func() { _ = old.Close() }) // its connections are of no use any more
	return nil
}

// wakeCalls lets the calls that wait look again.
func (a *agent) wakeCalls() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// close ends the listener and the connections. The calls have ended with the context of the world.
func (a *agent) close() {
	ctx, cancel := context.WithTimeout(context.Background(), agentShutdownTimeout)
	defer cancel()
	if a.server.Shutdown(ctx) != nil {
		_ = a.server.Close() // the listener and the connections end, whatever it returns
	}
}

// agentShutdownTimeout bounds how long connections that carry no call keep a listener from closing.
const agentShutdownTimeout = 200 * time.Millisecond
