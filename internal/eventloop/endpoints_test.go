package eventloop

import (
	"slices"
	"testing"
	"time"

	"springfield/internal/discovery"
	"springfield/internal/upstream"
	"springfield/policy"
)

// Endpoints of these tests and the address that they share.
const (
	gone, successor = policy.EndpointID(21), policy.EndpointID(22)
	sharedAddress   = "127.0.0.1:2"
)

// listedAt returns an entry of the shared address.
func listedAt(id policy.EndpointID, state policy.EndpointState, startedAt time.Duration) discovery.Endpoint {
	return discovery.Endpoint{
		Endpoint: policy.Endpoint{ID: id, Weight: 1, State: state, StartedAt: startedAt}, Address: sharedAddress,
	}
}

// publish applies an update of the endpoint list.
func publish(t *testing.T, loop *Loop, kind policy.UpdateKind, endpoints ...discovery.Endpoint) {
	t.Helper()
	if _, err := loop.PublishEndpoints(t.Context(), discovery.Update{Kind: kind, Endpoints: endpoints}); err != nil {
		t.Fatal(err)
	}
	loop.updateEndpoints(<-loop.updates)
}

// wantOnlyEndpoint checks that the loop sends to one endpoint of the shared address only, or to none if id is 0.
func wantOnlyEndpoint(t *testing.T, loop *Loop, id policy.EndpointID) {
	t.Helper()
	var open, chosen []policy.EndpointID
	for known, endpoint := range loop.endpoints {
		if endpoint.Address() == sharedAddress {
			open = append(open, known)
		}
	}
	for range 4 {
		call := submitAt(loop, loop.now)
		if call.attempt != nil && call.attempt.endpoint != endpointID {
			chosen = append(chosen, call.attempt.endpoint)
		}
	}
	isOther := func(other policy.EndpointID) bool { return other != id }
	if slices.ContainsFunc(open, isOther) || slices.ContainsFunc(chosen, isOther) || id != 0 && len(open) == 0 {
		t.Errorf("the endpoints %v are open and %v were chosen, want only %d", open, chosen, id)
	}
}

// A process that started at the address of another one has taken its place, even if discovery still lists the other
// one, whose removal may be told later. Requests for the old process would otherwise reach the new one: a cold process
// would get the load of a warm one, and requests would run in another place than they were sent to.
func TestNewProcessReplacesTheOneAtItsAddress(t *testing.T) {
	for name, change := range map[string]func(*testing.T, *Loop){
		"in a change": func(t *testing.T, loop *Loop) {
			publish(t, loop, policy.UpdateDelta, listedAt(successor, policy.StateReady, loop.now))
		},
		"in a full list": func(t *testing.T, loop *Loop) {
			publish(t, loop, policy.UpdateFull, listedAt(gone, policy.StateReady, 0),
				listedAt(successor, policy.StateReady, loop.now))
		},
		"in a full list, first": func(t *testing.T, loop *Loop) {
			publish(t, loop, policy.UpdateFull, listedAt(successor, policy.StateReady, loop.now),
				listedAt(gone, policy.StateReady, 0))
		},
		"listed again after it": func(t *testing.T, loop *Loop) {
			publish(t, loop, policy.UpdateDelta, listedAt(successor, policy.StateReady, loop.now))
			publish(t, loop, policy.UpdateDelta, listedAt(gone, policy.StateDraining, 0))
			publish(t, loop, policy.UpdateDelta, listedAt(gone, policy.StateReady, 0))
		},
		"removed after it": func(t *testing.T, loop *Loop) {
			publish(t, loop, policy.UpdateDelta, listedAt(successor, policy.StateReady, loop.now))
			publish(t, loop, policy.UpdateDelta, listedAt(gone, policy.StateRemoved, 0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			loop := newTestLoop(t, nil)
			publish(t, loop, policy.UpdateDelta, listedAt(gone, policy.StateReady, 0))
			change(t, loop)
			wantOnlyEndpoint(t, loop, successor)
		})
	}
}

// An attempt at a process whose place another one has taken must end, since nobody answers it any more.
func TestAttemptAtReplacedProcessEnds(t *testing.T) {
	dial, dialContexts := newBlockingDialer()
	loop := newTestLoop(t, dial)
	publish(t, loop, policy.UpdateFull, listedAt(gone, policy.StateReady, 0))
	call := submitAt(loop, loop.now)
	forward := (<-call.Commands()).(Forward)
	results := make(chan upstream.Result, 1)
	go func() { results <- forward.Attempt.Do(newEmptyRequest(), nil) }()
	<-dialContexts
	publish(t, loop, policy.UpdateDelta, listedAt(successor, policy.StateReady, loop.now))
	if result := <-results; result.Status != policy.StatusNotSent {
		t.Errorf("got %+v", result)
	}
}

// An address must be free again for a later process once its last one has been removed, and endpoints that discovery
// tells nothing about must not displace each other.
func TestAddressFollowsRemovals(t *testing.T) {
	loop := newTestLoop(t, nil)
	publish(t, loop, policy.UpdateDelta, listedAt(successor, policy.StateReady, loop.now))
	publish(t, loop, policy.UpdateDelta, listedAt(successor, policy.StateRemoved, 0))
	publish(t, loop, policy.UpdateDelta, listedAt(gone, policy.StateReady, 0))
	wantOnlyEndpoint(t, loop, gone)
	publish(t, loop, policy.UpdateDelta, listedAt(successor, policy.StateReady, 0))
	if loop.endpoints[gone] == nil || loop.endpoints[successor] == nil {
		t.Error("an endpoint was displaced without a later start")
	}
	publish(t, loop, policy.UpdateFull)
	if len(loop.holders) != 0 {
		t.Errorf("addresses of removed endpoints are kept: %v", loop.holders)
	}
}
