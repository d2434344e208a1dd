package loopback

import (
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/policy"
)

// notifications collects the states of an endpoint of which gateways count as notified.
type notifications []policy.EndpointState

// Observe implements emulator.Observer.
func (n *notifications) Observe(_ time.Duration, observation emulator.Observation) {
	if o, ok := observation.(emulator.EndpointNotified); ok {
		*n = append(*n, o.State)
	}
}

// A gateway whose notifications are deferred may have read the changes all the same. It must count as notified of a
// drain only at the end of the deferral, but may use an endpoint again as soon as that is ready. It does not know the
// endpoint's start before the end of the deferral.
func TestDeferredChangesPermitReadyEndpoints(t *testing.T) {
	var observed notifications
	w := newWorld(t.Context(), Options{Scenario: newScenario(time.Second), Observer: &observed})
	defer w.cancel()
	g := &gateway{world: w, state: gatewayReady, known: map[policy.EndpointID]policy.Endpoint{}}
	g.agent = &agent{world: w, deferUntil: w.scheduler.Now() + time.Hour}
	w.gateways = []*gateway{g}
	w.scheduler.Do(func() {
		for _, state := range []policy.EndpointState{policy.StateDraining, policy.StateReady, policy.StateRemoved} {
			g.agent.notify([]policy.Endpoint{{ID: 1, State: state}})
		}
		if len(observed) != 1 || observed[0] != policy.StateReady || len(g.known) != 0 {
			t.Errorf("during the deferral: notified of %v, known %v; want only that the endpoint is ready", observed, g.known)
		}
		g.agent.notifyDeferred()
	})
	if len(observed) != 4 || observed[3] != policy.StateRemoved || g.known[1].State != policy.StateRemoved {
		t.Errorf("after the deferral: notified of %v, known %v; want all changes in order", observed, g.known)
	}
}
