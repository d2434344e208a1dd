package model

import (
	"math/rand/v2"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// delivery is one update that a watch has delivered.
type delivery struct {
	at      time.Duration // since discoveryTestStart
	kind    policy.UpdateKind
	version uint64
	list    []policy.Endpoint
}

// discoveryTest is a discovery service whose list starts with one entry. It records the updates that watches of
// gateway 0 deliver.
type discoveryTest struct {
	*Discovery
	scheduler *emulator.VirtualScheduler
	delivered []delivery
	cancel    func() // cancels the latest watch
}

// discoveryTestStart is the Unix time at which the schedulers of the discovery tests start.
const discoveryTestStart = 1000 * time.Second

func newDiscoveryTest(spec emulator.Discovery) *discoveryTest {
	scheduler := emulator.NewVirtualScheduler(discoveryTestStart)
	d := &discoveryTest{
		Discovery: NewDiscovery(spec, scheduler, rand.New(rand.NewPCG(1, 1))),
		scheduler: scheduler,
	}
	d.Set(policy.Endpoint{ID: 1, State: policy.StateReady})
	d.watch()
	d.advanceTo(0)
	return d
}

// watch opens a watch for gateway 0.
func (d *discoveryTest) watch() {
	d.cancel = d.Watch(0, func(kind policy.UpdateKind, version uint64, list []policy.Endpoint) {
		at := d.scheduler.Now() - discoveryTestStart
		d.delivered = append(d.delivered, delivery{at: at, kind: kind, version: version, list: list})
	})
}

// advanceTo runs the scheduler up to the given time after discoveryTestStart.
func (d *discoveryTest) advanceTo(elapsed time.Duration) {
	d.scheduler.RunUntil(discoveryTestStart + elapsed)
}

// delayedDiscovery returns a pushed discovery that delays changes by 1s to 2s.
func delayedDiscovery() emulator.Discovery {
	return emulator.Discovery{DelayMin: emulator.Duration(time.Second), DelayMax: emulator.Duration(2 * time.Second)}
}

func TestWatchDeliversFullListThenDelayedChanges(t *testing.T) {
	d := newDiscoveryTest(delayedDiscovery())
	if len(d.delivered) != 1 || d.delivered[0].kind != policy.UpdateFull || len(d.delivered[0].list) != 1 {
		t.Fatalf("first updates %+v, want one full list with one entry", d.delivered)
	}
	d.Set(policy.Endpoint{ID: 1, State: policy.StateDraining})
	d.advanceTo(time.Second / 2)
	d.Set(policy.Endpoint{ID: 2, State: policy.StateReady})
	d.advanceTo(10 * time.Second)
	deliveredAt := map[policy.EndpointID]time.Duration{}
	for _, update := range d.delivered[1:] {
		if update.kind != policy.UpdateDelta {
			t.Errorf("update %+v, want a delta", update)
		}
		for _, entry := range update.list {
			deliveredAt[entry.ID] = update.at
		}
	}
	if at := deliveredAt[1]; at < time.Second || at > 2*time.Second {
		t.Errorf("first change delivered after %v, want 1s to 2s", at)
	}
	if at := deliveredAt[2]; at < 3*time.Second/2 || at > 5*time.Second/2 {
		t.Errorf("second change delivered after %v, want 1.5s to 2.5s", at)
	}
	if last := d.delivered[len(d.delivered)-1]; last.version != 3 {
		t.Errorf("last version %d, want 3", last.version)
	}
}

func TestListOmitsRemovedEndpoints(t *testing.T) {
	d := newDiscoveryTest(delayedDiscovery())
	d.Set(policy.Endpoint{ID: 3, State: policy.StateReady})
	d.Set(policy.Endpoint{ID: 2, State: policy.StateDraining})
	d.Set(policy.Endpoint{ID: 1, State: policy.StateRemoved})
	version, list := d.List()
	if version != 4 || len(list) != 2 || list[0].ID != 2 || list[1].ID != 3 {
		t.Errorf("version %d, list %+v; want version 4 with endpoints 2 and 3", version, list)
	}
}

func TestDelayFactorMultipliesDelays(t *testing.T) {
	d := newDiscoveryTest(delayedDiscovery())
	d.SetListDelayFactor(3)
	d.Set(policy.Endpoint{ID: 2, State: policy.StateReady})
	d.advanceTo(10 * time.Second)
	if at := d.delivered[1].at; at < 3*time.Second || at > 6*time.Second {
		t.Errorf("change delivered after %v, want 3s to 6s", at)
	}
}

func TestSilentWatchDeliversNothingUntilReopened(t *testing.T) {
	d := newDiscoveryTest(delayedDiscovery())
	var overdue []time.Duration
	d.OnOverdue = func(int, []policy.Endpoint) { overdue = append(overdue, d.scheduler.Now()-discoveryTestStart) }
	d.Silence()
	d.Set(policy.Endpoint{ID: 2, State: policy.StateReady})
	d.advanceTo(7 * time.Second)
	if len(d.delivered) != 1 {
		t.Fatalf("silent watch delivered %+v", d.delivered[1:])
	}
	if len(overdue) != 1 || overdue[0] != maxNotificationDelay {
		t.Errorf("change counted as notified after %v, want once after %v", overdue, maxNotificationDelay)
	}
	d.cancel()
	d.watch()
	d.advanceTo(8 * time.Second)
	if len(d.delivered) != 2 || len(d.delivered[1].list) != 2 {
		t.Errorf("new watch delivered %+v, want one full list with two entries", d.delivered[1:])
	}
}

func TestDeliveredChangeIsNeverOverdue(t *testing.T) {
	d := newDiscoveryTest(delayedDiscovery())
	d.OnOverdue = func(int, []policy.Endpoint) { t.Error("a delivered change is reported as overdue") }
	d.Set(policy.Endpoint{ID: 2, State: policy.StateReady})
	d.advanceTo(10 * time.Second)
}

func TestChangesDuringOutageAreDeliveredAfterIt(t *testing.T) {
	d := newDiscoveryTest(delayedDiscovery())
	d.SetDown(true)
	d.Set(policy.Endpoint{ID: 2, State: policy.StateReady})
	d.advanceTo(9 * time.Second)
	if len(d.delivered) != 1 {
		t.Fatalf("delivered %+v during the outage", d.delivered[1:])
	}
	d.SetDown(false)
	d.advanceTo(9 * time.Second)
	if len(d.delivered) != 2 || d.delivered[1].list[0].ID != 2 {
		t.Errorf("delivered %+v after the outage, want endpoint 2", d.delivered[1:])
	}
}

func TestCancelledWatchDeliversNothing(t *testing.T) {
	d := newDiscoveryTest(delayedDiscovery())
	d.cancel()
	d.Set(policy.Endpoint{ID: 2, State: policy.StateReady})
	d.advanceTo(10 * time.Second)
	if len(d.delivered) != 1 {
		t.Errorf("cancelled watch delivered %+v", d.delivered[1:])
	}
}

func TestPolledDiscoveryFailsCallsBeyondItsCapacity(t *testing.T) {
	d := newDiscoveryTest(emulator.Discovery{Polled: true, CallsPerSecond: 2})
	d.watch()
	d.watch()
	d.advanceTo(0)
	if len(d.delivered) != 3 || d.delivered[1].kind != policy.UpdateFull || d.delivered[2].kind != policy.UpdateFailed {
		t.Fatalf("calls returned %+v, want two full lists and a failure", d.delivered)
	}
	d.advanceTo(time.Second)
	d.watch()
	d.advanceTo(time.Second)
	if last := d.delivered[len(d.delivered)-1]; last.kind != policy.UpdateFull {
		t.Errorf("call a second later returned %+v, want a full list", last)
	}
	d.SetDown(true)
	d.watch()
	d.advanceTo(2 * time.Second)
	if last := d.delivered[len(d.delivered)-1]; last.kind != policy.UpdateFailed {
		t.Errorf("call during an outage returned %+v, want a failure", last)
	}
}
