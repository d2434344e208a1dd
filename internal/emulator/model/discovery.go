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

// maxNotificationDelay is the time after which a gateway counts as notified of a change even if the change has not
// arrived. The time begins once discovery has the change and is reachable.
const maxNotificationDelay = 6 * time.Second

// Deliver passes an update of the endpoint list to a gateway. The list is shared and must not be changed.
type Deliver func(kind policy.UpdateKind, version uint64, list []policy.Endpoint)

// Discovery models the service that tells gateways which endpoints exist. Pushed discovery sends each change to the
// agents of all gateways. Polled discovery returns the list when a gateway calls it, and fails calls beyond its
// capacity.
type Discovery struct {
	spec      emulator.Discovery
	scheduler emulator.Scheduler
	random    *rand.Rand

	current     map[policy.EndpointID]policy.Endpoint // entries that have not been removed
	changes     []change                              // changes[i] led to version i+1
	watches     []*watch                              // open watches, in the order in which they were opened
	notified    []uint64                              // by gateway: version that it counts as notified of
	down        bool                                  // whether discovery is unreachable
	delayFactor float64                               // factor on the delays of updates

	sorted        []policy.Endpoint // complete list of version sortedVersion, by id
	sortedVersion uint64

	callTokens   float64       // calls that polled discovery can serve at callTokensAt
	callTokensAt time.Duration // when callTokens was last updated

	// OnOverdue, if set, is called when a gateway counts as notified of changes that have not reached it within
	// maxNotificationDelay. The list holds the changed entries.
	OnOverdue func(gateway int, list []policy.Endpoint)
}

// change holds the entry that changed from one version of the list to the next, and when it changed.
type change struct {
	at    time.Duration
	entry policy.Endpoint
}

// watch is a gateway's subscription to the endpoint list.
type watch struct {
	gateway   int
	deliver   Deliver
	version   uint64 // version of the list up to which changes were delivered; 0: nothing was delivered
	scheduled bool   // whether a delivery is scheduled
	silent    bool   // whether the watch delivers nothing more although it is open
	closed    bool
}

// NewDiscovery returns a discovery service with an empty list.
func NewDiscovery(spec emulator.Discovery, scheduler emulator.Scheduler, random *rand.Rand) *Discovery {
	return &Discovery{
		spec:         spec,
		scheduler:    scheduler,
		random:       random,
		current:      map[policy.EndpointID]policy.Endpoint{},
		delayFactor:  1,
		callTokens:   spec.CallsPerSecond,
		callTokensAt: scheduler.Now(),
	}
}

// Set adds, changes or removes an entry of the list. Open watches deliver the change after a delay.
func (d *Discovery) Set(endpoint policy.Endpoint) {
	if endpoint.State == policy.StateRemoved {
		delete(d.current, endpoint.ID)
	} else {
		d.current[endpoint.ID] = endpoint
	}
	d.changes = append(d.changes, change{at: d.scheduler.Now(), entry: endpoint})
	for _, w := range d.watches {
		d.scheduleDelivery(w)
	}
	if d.OnOverdue != nil && !d.down {
		d.scheduleOverdueCheck(d.version())
	}
}

// List returns the complete list, sorted by id, and its version.
func (d *Discovery) List() (version uint64, list []policy.Endpoint) {
	if version = d.version(); d.sortedVersion != version {
		byID := func(a, b policy.Endpoint) int { return cmp.Compare(a.ID, b.ID) }
		d.sorted, d.sortedVersion = slices.SortedFunc(maps.Values(d.current), byID), version
	}
	return version, d.sorted
}

// ReadyEndpoints returns the entries of the list whose state is ready.
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

// Watch opens a watch for a gateway. It delivers the complete list first and then each change, until cancel is
// called. An update of the kind UpdateFailed means that the call has failed and the watch delivers nothing more.
func (d *Discovery) Watch(gateway int, deliver Deliver) (cancel func()) {
	w := &watch{gateway: gateway, deliver: deliver}
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
	d.watches = append(d.watches, w)
	if !d.down {
		d.scheduler.After(0, func() { d.deliverFullList(w) })
	}
	return func() { d.close(w) }
}

// SetDown makes discovery unreachable or reachable again. Open watches resume once discovery is reachable again, and
// deliver at once the changes whose delay has passed.
func (d *Discovery) SetDown(down bool) {
	reachableAgain := d.down && !down
	d.down = down
	if !reachableAgain {
		return
	}
	for _, w := range slices.Clone(d.watches) {
		if w.version == 0 {
			d.scheduler.After(0, func() { d.deliverFullList(w) })
		} else {
			d.scheduleDelivery(w)
		}
	}
	if d.OnOverdue != nil {
		d.scheduleOverdueCheck(d.version())
	}
}

// Silence makes all open watches deliver nothing more. Their gateways have to open new watches.
func (d *Discovery) Silence() {
	for _, w := range d.watches {
		w.silent = true
	}
}

// SetListDelayFactor multiplies the delays of updates by a factor. A factor of 1 restores the usual delays.
func (d *Discovery) SetListDelayFactor(factor float64) { d.delayFactor = max(0, factor) }

// version returns the version of the list, which is the number of changes so far.
func (d *Discovery) version() uint64 { return uint64(len(d.changes)) }

func (d *Discovery) close(w *watch) {
	w.closed = true
	if i := slices.Index(d.watches, w); i >= 0 {
		d.watches = slices.Delete(d.watches, i, i+1)
	}
}

// takeCall takes a call from the capacity of polled discovery and reports whether there was any left. The capacity is
// a token bucket that holds the calls of one second.
func (d *Discovery) takeCall() bool {
	if d.spec.CallsPerSecond <= 0 {
		return true
	}
	now := d.scheduler.Now()
	d.callTokens += d.spec.CallsPerSecond * (now - d.callTokensAt).Seconds()
	d.callTokens = min(d.callTokens, max(1, d.spec.CallsPerSecond))
	d.callTokensAt = now
	if d.callTokens < 1 {
		return false
	}
	d.callTokens--
	return true
}

// deliverFullList delivers the complete list as the first update of a watch.
func (d *Discovery) deliverFullList(w *watch) {
	if w.closed || w.silent || d.down {
		return
	}
	version, list := d.List()
	w.version = version
	d.notified[w.gateway] = version
	w.deliver(policy.UpdateFull, version, list)
}

// scheduleDelivery schedules the delivery of the oldest change that a watch has not delivered yet.
func (d *Discovery) scheduleDelivery(w *watch) {
	if w.scheduled || w.closed || w.silent || d.down || w.version == 0 || w.version >= d.version() {
		return
	}
	w.scheduled = true
	due := d.changes[w.version].at + d.drawDelay()
	d.scheduler.After(due-d.scheduler.Now(), func() { d.deliverChanges(w) })
}

// deliverChanges delivers the oldest outstanding change, together with all later changes that are at least DelayMin
// old.
func (d *Discovery) deliverChanges(w *watch) {
	w.scheduled = false
	if w.closed || w.silent || d.down {
		return
	}
	cutoff := d.scheduler.Now() - d.scaleDelay(d.spec.DelayMin.AsDuration())
	through := w.version
	for through < d.version() && (through == w.version || d.changes[through].at <= cutoff) {
		through++
	}
	list := d.changedEntries(w.version, through)
	w.version = through
	d.notified[w.gateway] = max(d.notified[w.gateway], through)
	if len(list) > 0 {
		w.deliver(policy.UpdateDelta, through, list)
	}
	d.scheduleDelivery(w)
}

// changedEntries returns the entries that changed after one version and up to another, each in its latest state.
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

// scheduleOverdueCheck makes the gateways that a version has not reached within maxNotificationDelay count as
// notified of it, and reports them through OnOverdue.
func (d *Discovery) scheduleOverdueCheck(version uint64) {
	d.scheduler.After(maxNotificationDelay, func() {
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

// drawDelay draws the time from a change until a watch delivers it.
func (d *Discovery) drawDelay() time.Duration {
	shortest, longest := d.spec.DelayMin.AsDuration(), d.spec.DelayMax.AsDuration()
	return d.scaleDelay(shortest + time.Duration(d.random.Float64()*float64(max(0, longest-shortest))))
}

func (d *Discovery) scaleDelay(delay time.Duration) time.Duration {
	return time.Duration(d.delayFactor * float64(delay))
}
