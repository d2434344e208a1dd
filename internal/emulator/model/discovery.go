package model

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// countsAsNotified is when a gateway counts as notified of a change at the latest, from when discovery had it and could
// be reached, whether or not the change has arrived.
const countsAsNotified = 6 * time.Second

// Deliver passes an update of the endpoint list on to a gateway. The list is shared: it must not be changed.
type Deliver func(kind policy.UpdateKind, version uint64, list []policy.Endpoint)

// Discovery is the model of the service that tells gateways which endpoints there are. A pushed one sends each change
// to the agents of all gateways; of a polled one a gateway has to ask for the list, and calls beyond its capacity fail.
type Discovery struct {
	spec      emulator.Discovery
	scheduler emulator.Scheduler
	random    *rand.Rand

	current  map[policy.EndpointID]policy.Endpoint // the entries that have not been removed
	changes  []change                              // of all versions: changes[0] has version 1
	watchers []*watcher                            // in the order in which they were opened
	notified []uint64                              // by gateway: the version that it counts as notified of
	down     bool
	lateness float64

	sorted        []policy.Endpoint // the complete list as of sortedVersion
	sortedVersion uint64

	callTokens  float64 // of a polled discovery: calls that it could serve now
	callsServed time.Duration

	// OnOverdue, if set, is called when a gateway counts as notified of changes that have not arrived there.
	OnOverdue func(gateway int, list []policy.Endpoint)
}

// change is one version of the list: the entry that has changed, and when.
type change struct {
	at    time.Duration
	entry policy.Endpoint
}

// watcher is an open watch of a gateway.
type watcher struct {
	gateway   int
	deliver   Deliver
	version   uint64 // of the last change that was delivered
	scheduled bool   // a delivery is
	silent    bool
	closed    bool
}

// NewDiscovery returns a discovery with an empty list.
func NewDiscovery(spec emulator.Discovery, scheduler emulator.Scheduler, random *rand.Rand) *Discovery {
	return &Discovery{
		spec:        spec,
		scheduler:   scheduler,
		random:      random,
		current:     map[policy.EndpointID]policy.Endpoint{},
		lateness:    1,
		callTokens:  spec.CallsPerSecond,
		callsServed: scheduler.Now(),
	}
}

// Set changes an entry at the source. Open watches learn of it late.
func (d *Discovery) Set(endpoint policy.Endpoint) {
	if endpoint.State == policy.StateRemoved {
		delete(d.current, endpoint.ID)
	} else {
		d.current[endpoint.ID] = endpoint
	}
	d.changes = append(d.changes, change{at: d.scheduler.Now(), entry: endpoint})
	for _, w := range d.watchers {
		d.schedule(w)
	}
	if d.OnOverdue != nil && !d.down {
		d.scheduleOverdue(d.version())
	}
}

// List returns the complete list by id, and its version.
func (d *Discovery) List() (version uint64, list []policy.Endpoint) {
	if version = d.version(); d.sortedVersion != version {
		byID := func(a, b policy.Endpoint) int { return cmp.Compare(a.ID, b.ID) }
		d.sorted, d.sortedVersion = slices.SortedFunc(maps.Values(d.current), byID), version
	}
	return version, d.sorted
}

// ReadyEndpoints returns the entries of the list that are ready.
func (d *Discovery) ReadyEndpoints() []policy.Endpoint {
	var ready []policy.Endpoint
	_, list := d.List()
	for _, entry := range list {
		if entry.State == policy.StateReady {
			ready = append(ready, entry)
		}
	}
	return ready
}

// Watch opens a watch for a gateway. The complete list comes first and then each change, until cancel is called. An
// update of the kind UpdateFailed says that the call has failed: that watch brings nothing more.
func (d *Discovery) Watch(gateway int, deliver Deliver) (cancel func()) {
	w := &watcher{gateway: gateway, deliver: deliver}
	for len(d.notified) <= gateway {
		d.notified = append(d.notified, d.version())
	}
	failed := d.spec.Polled && (d.down || !d.takeCall())
	if failed {
		d.scheduler.After(0, func() {
			if !w.closed {
				deliver(policy.UpdateFailed, 0, nil)
			}
		})
		return func() { w.closed = true }
	}
	d.watchers = append(d.watchers, w)
	if !d.down {
		d.scheduler.After(0, func() { d.deliverAll(w) })
	}
	return func() { d.close(w) }
}

// SetDown makes discovery unreachable, or reachable again: open watches then catch up at once.
func (d *Discovery) SetDown(down bool) {
	returned := d.down && !down
	d.down = down
	if !returned {
		return
	}
	for _, w := range slices.Clone(d.watchers) {
		if w.version == 0 {
			d.scheduler.After(0, func() { d.deliverAll(w) })
		} else {
			d.schedule(w)
		}
	}
	if d.OnOverdue != nil {
		d.scheduleOverdue(d.version())
	}
}

// Silence makes the open watches bring nothing any more. Their gateways have to open new ones.
func (d *Discovery) Silence() {
	for _, w := range d.watchers {
		w.silent = true
	}
}

// SetListDelayFactor makes updates later by a factor. 1 is as usual.
func (d *Discovery) SetListDelayFactor(factor float64) { d.lateness = max(0, factor) }

func (d *Discovery) version() uint64 { return uint64(len(d.changes)) }

func (d *Discovery) close(w *watcher) {
	w.closed = true
	if i := slices.Index(d.watchers, w); i >= 0 {
		d.watchers = slices.Delete(d.watchers, i, i+1)
	}
}

// takeCall takes one call out of the capacity of a polled discovery, which saves up that of one second.
func (d *Discovery) takeCall() bool {
	if d.spec.CallsPerSecond <= 0 {
		return true
	}
	now := d.scheduler.Now()
	d.callTokens += d.spec.CallsPerSecond * (now - d.callsServed).Seconds()
	d.callTokens = min(d.callTokens, max(1, d.spec.CallsPerSecond))
	d.callsServed = now
	if d.callTokens < 1 {
		return false
	}
	d.callTokens--
	return true
}

// deliverAll begins a watch with the complete list.
func (d *Discovery) deliverAll(w *watcher) {
	if w.closed || w.silent || d.down {
		return
	}
	version, list := d.List()
	w.version = version
	d.notified[w.gateway] = version
	w.deliver(policy.UpdateFull, version, list)
}

// schedule plans the delivery of the oldest change that a watch has not brought yet.
func (d *Discovery) schedule(w *watcher) {
	if w.scheduled || w.closed || w.silent || d.down || w.version == 0 || w.version >= d.version() {
		return
	}
	w.scheduled = true
	due := d.changes[w.version].at + d.delay()
	d.scheduler.After(due-d.scheduler.Now(), func() { d.deliverChanges(w) })
}

// deliverChanges delivers the changes that have been on their way for at least the shortest delay.
func (d *Discovery) deliverChanges(w *watcher) {
	w.scheduled = false
	if w.closed || w.silent || d.down {
		return
	}
	newest := d.scheduler.Now() - d.scaled(d.spec.DelayMin.Of())
	through := w.version
	for through < d.version() && (through == w.version || d.changes[through].at <= newest) {
		through++
	}
	list := d.changedEntries(w.version, through)
	w.version = through
	d.notified[w.gateway] = max(d.notified[w.gateway], through)
	if len(list) > 0 {
		w.deliver(policy.UpdateDelta, through, list)
	}
	d.schedule(w)
}

// changedEntries returns the entries that changed after one version and up to another, each as it was last.
func (d *Discovery) changedEntries(after, through uint64) []policy.Endpoint {
	var list []policy.Endpoint
	for _, c := range d.changes[after:max(after, through)] {
		i := slices.IndexFunc(list, func(entry policy.Endpoint) bool { return entry.ID == c.entry.ID })
		if i >= 0 {
			list[i] = c.entry
		} else {
			list = append(list, c.entry)
		}
	}
	return list
}

// scheduleOverdue lets the gateways that a version has not reached in time count as notified of it all the same.
func (d *Discovery) scheduleOverdue(version uint64) {
	d.scheduler.After(countsAsNotified, func() {
		if d.down {
			return
		}
		for gateway, notified := range d.notified {
			if notified < version {
				d.notified[gateway] = version
				d.OnOverdue(gateway, d.changedEntries(notified, version))
			}
		}
	})
}

func (d *Discovery) delay() time.Duration {
	least, most := d.spec.DelayMin.Of(), d.spec.DelayMax.Of()
	return d.scaled(least + time.Duration(d.random.Float64()*float64(max(0, most-least))))
}

func (d *Discovery) scaled(delay time.Duration) time.Duration {
	return time.Duration(d.lateness * float64(delay))
}
