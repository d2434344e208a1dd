package model

import (
	"math/rand/v2"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// delivery is one update that a watch has brought.
type delivery struct {
	at      time.Duration
	kind    policy.UpdateKind
	version uint64
	list    []policy.Endpoint
}

// discoveryTest is a discovery with one entry, and what one watch has brought.
type discoveryTest struct {
	*Discovery
	scheduler *emulator.VirtualScheduler
	delivered []delivery
	cancel    func()
}

const discoveryStart = 1000 * time.Second

func newDiscoveryTest(spec emulator.Discovery) *discoveryTest {
	scheduler := emulator.NewVirtualScheduler(discoveryStart)
	d := &discoveryTest{
		Discovery: NewDiscovery(spec, scheduler, rand.New(rand.NewPCG(1, 1))),
		scheduler: scheduler,
	}
	d.Set(policy.Endpoint{ID: 1, State: policy.StateReady})
	d.watch()
	d.after(0)
	return d
}

func (d *discoveryTest) watch() {
	d.cancel = d.Watch(0, func(kind policy.UpdateKind, version uint64, list []policy.Endpoint) {
		at := d.scheduler.Now() - discoveryStart
		d.delivered = append(d.delivered, delivery{at: at, kind: kind, version: version, list: list})
	})
}

// after runs the scheduler up to a time after the start.
func (d *discoveryTest) after(passed time.Duration) { d.scheduler.RunUntil(discoveryStart + passed) }

func lateDiscovery() emulator.Discovery {
	return emulator.Discovery{DelayMin: emulator.Duration(time.Second), DelayMax: emulator.Duration(2 * time.Second)}
}

func TestWatchBeginsWithTheWholeListAndBringsChangesLate(t *testing.T) {
	d := newDiscoveryTest(lateDiscovery())
	if len(d.delivered) != 1 || d.delivered[0].kind != policy.UpdateFull || len(d.delivered[0].list) != 1 {
		t.Fatalf("the watch began with %+v", d.delivered)
	}
	d.Set(policy.Endpoint{ID: 1, State: policy.StateDraining})
	d.after(time.Second / 2)
	d.Set(policy.Endpoint{ID: 2, State: policy.StateReady})
	d.after(10 * time.Second)
	brought := map[policy.EndpointID]time.Duration{}
	for _, update := range d.delivered[1:] {
		if update.kind != policy.UpdateDelta {
			t.Errorf("a change came as %+v", update)
		}
		for _, entry := range update.list {
			brought[entry.ID] = update.at
		}
	}
	if at := brought[1]; at < time.Second || at > 2*time.Second {
		t.Errorf("the first change came after %v", at)
	}
	if at := brought[2]; at < 3*time.Second/2 || at > 5*time.Second/2 {
		t.Errorf("the second change came after %v", at)
	}
	if last := d.delivered[len(d.delivered)-1]; last.version != 3 {
		t.Errorf("the last version is %d, want 3", last.version)
	}
}

func TestListHoldsWhatIsNotRemoved(t *testing.T) {
	d := newDiscoveryTest(lateDiscovery())
	d.Set(policy.Endpoint{ID: 3, State: policy.StateReady})
	d.Set(policy.Endpoint{ID: 2, State: policy.StateDraining})
	d.Set(policy.Endpoint{ID: 1, State: policy.StateRemoved})
	version, list := d.List()
	if version != 4 || len(list) != 2 || list[0].ID != 2 || list[1].ID != 3 {
		t.Errorf("version %d: %+v", version, list)
	}
}

func TestLatenessMultipliesDelays(t *testing.T) {
	d := newDiscoveryTest(lateDiscovery())
	d.SetListDelayFactor(3)
	d.Set(policy.Endpoint{ID: 2, State: policy.StateReady})
	d.after(10 * time.Second)
	if at := d.delivered[1].at; at < 3*time.Second || at > 6*time.Second {
		t.Errorf("the change came after %v", at)
	}
}

func TestSilentWatchBringsNothingUntilItIsOpenedAnew(t *testing.T) {
	d := newDiscoveryTest(lateDiscovery())
	var overdue []time.Duration
	d.OnOverdue = func(int, []policy.Endpoint) { overdue = append(overdue, d.scheduler.Now()-discoveryStart) }
	d.Silence()
	d.Set(policy.Endpoint{ID: 2, State: policy.StateReady})
	d.after(7 * time.Second)
	if len(d.delivered) != 1 {
		t.Fatalf("the silent watch brought %+v", d.delivered[1:])
	}
	if len(overdue) != 1 || overdue[0] != countsAsNotified {
		t.Errorf("the change counted as notified after %v, want once after %v", overdue, countsAsNotified)
	}
	d.cancel()
	d.watch()
	d.after(8 * time.Second)
	if len(d.delivered) != 2 || len(d.delivered[1].list) != 2 {
		t.Errorf("the new watch brought %+v", d.delivered[1:])
	}
}

func TestChangeThatHasArrivedIsNeverOverdue(t *testing.T) {
	d := newDiscoveryTest(lateDiscovery())
	d.OnOverdue = func(int, []policy.Endpoint) { t.Error("the change is overdue") }
	d.Set(policy.Endpoint{ID: 2, State: policy.StateReady})
	d.after(10 * time.Second)
}

func TestChangesDuringAnOutageComeAfterIt(t *testing.T) {
	d := newDiscoveryTest(lateDiscovery())
	d.SetDown(true)
	d.Set(policy.Endpoint{ID: 2, State: policy.StateReady})
	d.after(9 * time.Second)
	if len(d.delivered) != 1 {
		t.Fatalf("in the outage came %+v", d.delivered[1:])
	}
	d.SetDown(false)
	d.after(9 * time.Second)
	if len(d.delivered) != 2 || d.delivered[1].list[0].ID != 2 {
		t.Errorf("after the outage came %+v", d.delivered[1:])
	}
}

func TestCancelledWatchBringsNothing(t *testing.T) {
	d := newDiscoveryTest(lateDiscovery())
	d.cancel()
	d.Set(policy.Endpoint{ID: 2, State: policy.StateReady})
	d.after(10 * time.Second)
	if len(d.delivered) != 1 {
		t.Errorf("the cancelled watch brought %+v", d.delivered[1:])
	}
}

func TestPolledDiscoveryFailsCallsBeyondItsCapacity(t *testing.T) {
	d := newDiscoveryTest(emulator.Discovery{Polled: true, CallsPerSecond: 2})
	d.watch()
	d.watch()
	d.after(0)
	if len(d.delivered) != 3 || d.delivered[1].kind != policy.UpdateFull || d.delivered[2].kind != policy.UpdateFailed {
		t.Fatalf("the calls brought %+v", d.delivered)
	}
	d.after(time.Second)
	d.watch()
	d.after(time.Second)
	if last := d.delivered[len(d.delivered)-1]; last.kind != policy.UpdateFull {
		t.Errorf("a second later a call brought %+v", last)
	}
	d.SetDown(true)
	d.watch()
	d.after(2 * time.Second)
	if last := d.delivered[len(d.delivered)-1]; last.kind != policy.UpdateFailed {
		t.Errorf("in an outage a call brought %+v", last)
	}
}
