package discovery

import (
	"testing"
	"time"

	"springfield/internal/clock"
	"springfield/policy"
)

// Entries must be converted to the policy's form. Start times are on the gateway's monotonic clock, and 0 means long
// ago.
func TestEntriesAreConvertedToPolicyEndpoints(t *testing.T) {
	d := newDecoder([]string{"a", "b"})
	now := clock.New().Now()
	endpoints := d.update(clockReading{monotonic: now, wall: time.Now()}, policy.UpdateDelta, EndpointList{
		Servers: []Instance{
			{ID: "x", Addr: "127.0.0.1:1", Zone: "b", State: "up", StartedMS: time.Now().UnixMilli()},
			{ID: "y", Addr: "127.0.0.1:2", Zone: "c", State: "odd"},
		},
	}).Endpoints
	if endpoints[0].StartedAt != now {
		t.Errorf("got start time %v, want %v, when the endpoint was listed", endpoints[0].StartedAt, now)
	}
	if endpoints[0].Zone != 1 || endpoints[1].Zone != -1 || endpoints[1].StartedAt != 0 ||
		endpoints[1].State != policy.StateDraining {
		t.Errorf("got %+v", endpoints)
	}
	if d.ids.assign("x") != endpoints[0].ID || d.ids.assign("y") == d.ids.assign("x") {
		t.Error("IDs are not stable or not distinct")
	}
}

// Entries without a name or an address must be skipped without affecting the others. Implausible start times must not
// make an entry invalid.
func TestInvalidEntriesAreSkipped(t *testing.T) {
	d := newDecoder(nil)
	now := clockReading{monotonic: clock.New().Now(), wall: time.Now()}
	endpoints := d.update(now, policy.UpdateFull, EndpointList{Servers: []Instance{
		{Addr: "127.0.0.1:1", State: "up"},
		{ID: "without address", State: "up"},
		{ID: "removed", State: "removed"},
		{ID: "far in the future", Addr: "127.0.0.1:2", State: "up", StartedMS: 1 << 62},
		{ID: "before 1970", Addr: "127.0.0.1:3", State: "up", StartedMS: -1},
	}}).Endpoints
	if len(endpoints) != 3 || endpoints[0].State != policy.StateRemoved {
		t.Fatalf("got %+v, want 3 valid entries", endpoints)
	}
	if endpoints[1].StartedAt <= 0 || endpoints[2].StartedAt != 0 {
		t.Errorf("got start times %v and %v, want one that is not 0 and 0", endpoints[1].StartedAt, endpoints[2].StartedAt)
	}
	if len(d.ids.idByName) != 2 {
		t.Errorf("got IDs %v, want those of 2 endpoints", d.ids.idByName)
	}
}

// Names with the same hash must get different IDs, which stay assigned until their endpoints leave the list.
func TestNamesWithTheSameHashGetDifferentIDs(t *testing.T) {
	ids := newEndpointIDs()
	first, second := ids.assign("costarring"), ids.assign("liquid") // these collide in FNV-1a
	if second != first+1 {
		t.Fatalf("got IDs %d and %d, want consecutive ones", first, second)
	}
	ids.releaseUnlisted(Update{Kind: policy.UpdateFull, Endpoints: []Endpoint{
		{Endpoint: policy.Endpoint{ID: second, State: policy.StateReady}}}})
	if len(ids.idByName) != 1 || ids.assign("liquid") != second {
		t.Errorf("got IDs %v", ids.idByName)
	}
}
