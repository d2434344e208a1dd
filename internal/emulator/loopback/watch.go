package loopback

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"springfield/internal/emulator/model"
	"springfield/policy"
)

const (
	instancesPath     = "/registry/instances"
	keepAliveInterval = 2 * time.Second
	watchBacklog      = 256 // capacity of a watch's queue of unwritten updates; the watch ends if the queue overflows
)

// update is an endpoint list to be written, or the failure of a call.
type update struct {
	failed  bool
	full    bool
	version uint64
	list    []policy.Endpoint
	message listMessage
}

// watch is one open watch of a gateway, or one call for the complete list. Its fields are accessed only in the
// scheduler.
type watch struct {
	agent      *agent
	updates    chan update
	continuous bool // the watch delivers changes, and is not a call for the complete list
	damaged    bool // a damaged line has not been completed
	silent     bool // the watch queues no more updates and sends no keep-alive lines
	overflowed bool // the watch ended because its queue was full
}

// deliver queues an update. It implements model.Deliver.
func (w *watch) deliver(kind policy.UpdateKind, version uint64, list []policy.Endpoint) {
	if w.silent || w.overflowed {
		return
	}
	next := update{
		failed:  kind == policy.UpdateFailed,
		full:    kind == policy.UpdateFull,
		version: version,
		list:    list,
		message: newListMessage(version, kind == policy.UpdateFull, list, w.agent.world.endpointAddress,
			w.agent.world.options.ClockOffset),
	}
	select {
	case w.updates <- next:
	default:
		w.overflowed = true
		close(w.updates)
	}
}

var _ model.Deliver = (*watch)(nil).deliver

// serve answers a call that arrived at the agent's address of the given generation.
func (a *agent) serve(w http.ResponseWriter, r *http.Request, generation int) {
	if r.Method != http.MethodGet || r.URL.Path != instancesPath {
		http.NotFound(w, r)
		return
	}
	isWatch := r.URL.Query().Get("watch") == "1"
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // 0 if the parameter is missing or invalid
	opened, stop, ok := a.openWatch(r, generation, isWatch, after)
	if !ok {
		return
	}
	defer stop()
	if isWatch {
		opened.serveWatch(w, r)
	} else {
		opened.serveList(w, r)
	}
}

// openWatch opens a watch once discovery answers calls at this address. It reports false if the caller disconnects
// first.
func (a *agent) openWatch(r *http.Request, generation int, isWatch bool,
	after uint64) (w *watch, stop func(), ok bool) {
	for {
		var changed <-chan struct{}
		var detach func()
		a.world.scheduler.Do(func() {
			changed = a.changed
			if a.answersCalls(generation) {
				w = &watch{agent: a, continuous: isWatch, updates: make(chan update, watchBacklog)}
				detach = a.attach(w, isWatch, after)
			}
		})
		if w != nil {
			return w, func() { a.world.scheduler.Do(detach) }, true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return nil, nil, false
		}
	}
}

// answersCalls reports whether calls at the agent's address of the given generation are answered.
func (a *agent) answersCalls(generation int) bool {
	reachable := generation == a.generation && !a.world.discoveryDown
	return reachable && (a.world.scenario.Discovery.Polled || a.version > 0)
}

// attach connects a watch to its source of updates and returns a function that disconnects it.
func (a *agent) attach(w *watch, isWatch bool, after uint64) (detach func()) {
	cancel := func() {}
	if a.world.scenario.Discovery.Polled {
		cancel = a.world.discovery.Watch(a.gateway, w.deliver)
	} else {
		if !isWatch || after != a.version {
			w.deliver(policy.UpdateFull, a.version, a.list())
		}
		if !a.world.listsAreLate() {
			a.notifyDeferred()
		}
	}
	a.watches = append(a.watches, w)
	return func() {
		cancel()
		a.watches = slices.DeleteFunc(a.watches, func(other *watch) bool { return other == w })
	}
}

// serveList answers a call with the complete list.
func (w *watch) serveList(response http.ResponseWriter, r *http.Request) {
	select {
	case next, ok := <-w.updates:
		if !ok || next.failed {
			http.Error(response, "busy", http.StatusServiceUnavailable)
			return
		}
		w.write(response, next)
	case <-r.Context().Done():
	}
}

// serveWatch writes each update as one line, and an empty line every keepAliveInterval, until the connection or the
// watch ends.
func (w *watch) serveWatch(response http.ResponseWriter, r *http.Request) {
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	flusher := http.NewResponseController(response)
	// With pushed discovery the response begins at once. With polled discovery the call may still fail with an error
	// status, so nothing is sent before the first update.
	if !w.agent.world.scenario.Discovery.Polled && flusher.Flush() != nil {
		return
	}
	for {
		select {
		case next, ok := <-w.updates:
			if !ok {
				return
			}
			if next.failed {
				http.Error(response, "busy", http.StatusServiceUnavailable)
				return
			}
			if !w.write(response, next) {
				return
			}
		case <-keepAlive.C:
			if !w.writeKeepAlive(response) {
				return
			}
		case <-r.Context().Done():
			return
		}
		if flusher.Flush() != nil {
			return
		}
	}
}

// write writes a list. With polled discovery, the gateway counts as notified of a list that has been written completely
// and without damage. It may use an endpoint that has become ready as soon as a part of the list has been written.
func (w *watch) write(response http.ResponseWriter, list update) bool {
	line, err := list.message.encode()
	if err != nil {
		w.agent.world.logger.Error("encoding a list failed", "err", err)
		return false
	}
	world, polled := w.agent.world, w.agent.world.scenario.Discovery.Polled
	if polled {
		world.scheduler.Do(func() { world.gateways[w.agent.gateway].observeAvailable(list.list) })
	}
	if !w.writeLine(response, line, list.full) {
		return false
	}
	if polled {
		world.scheduler.Do(func() { world.markNotified(w.agent.gateway, list.list) })
	}
	return true
}

// slowListParts is the number of parts in which a complete list is written while the fault SlowLists is active.
const slowListParts = 10

// writeLine writes the line of a list. While the fault SlowLists is active, it writes a complete list in parts over
// slowListDuration. Other lines are damaged if DamageLists is active.
func (w *watch) writeLine(response http.ResponseWriter, line []byte, full bool) bool {
	world := w.agent.world
	var spread time.Duration
	var fault listFault
	world.scheduler.Do(func() {
		if full {
			spread = world.slowListDuration
		}
		if spread == 0 { // a gateway that starts without a list must get one in time
			fault = world.drawListFault(world.attemptRandom, len(line))
		}
		w.damaged = w.damaged || fault.kind != listFaultNone
	})
	if fault.kind != listFaultNone {
		return w.writeDamaged(response, line, fault)
	}
	if spread == 0 {
		_, err := response.Write(line)
		return err == nil
	}
	for i := range slowListParts {
		if !world.sleep(spread / slowListParts) {
			return false
		}
		if _, err := response.Write(line[len(line)*i/slowListParts : len(line)*(i+1)/slowListParts]); err != nil {
			return false
		}
		if http.NewResponseController(response).Flush() != nil {
			return false
		}
	}
	return true
}

// writeKeepAlive writes an empty line unless the watch is silent or discovery is down.
func (w *watch) writeKeepAlive(response http.ResponseWriter) bool {
	silent := false
	w.agent.world.scheduler.Do(func() { silent = w.silent || w.agent.world.discoveryDown })
	if silent {
		return true
	}
	_, err := response.Write([]byte{'\n'})
	return err == nil
}
