package loopback

import (
	"testing"
	"time"

	"springfield/internal/emulator"
)

// newFault returns a fault that affects a share of the deployment.
func newFault(kind emulator.FaultKind, at, length time.Duration, share, factor float64) emulator.Fault {
	return emulator.Fault{
		Kind:   kind,
		At:     emulator.Duration(at),
		Length: emulator.Duration(length),
		Share:  share,
		Factor: factor,
	}
}

// A gateway that is killed, and one that is shut down, must start again. The gateway that is shut down must first
// answer the requests that it has received, and no rule may be broken.
func TestKilledAndRestartedGatewaysStartAgain(t *testing.T) {
	o := runScenario(t, newScenario(4*time.Second,
		newFault(emulator.FaultKillGateways, 300*time.Millisecond, 500*time.Millisecond, 0.5, 0),
		newFault(emulator.FaultRestartGateways, 2*time.Second, 0, 0.5, 0),
	))
	o.checkRules(t)
	if o.summary.GatewayStarts != 4 || o.count("GatewayStarted") < 3 || o.count("GatewayStopped") != 2 {
		t.Errorf("want 4 processes, at least 3 of them ready, and 2 stops: %+v %v", o.summary, o.seen)
	}
}

// Gateways must use the new address of discovery, and receive the draining and the new endpoints from there.
func TestGatewaysFollowMovedDiscoveryAndReplacedEndpoints(t *testing.T) {
	o := runScenario(t, newScenario(4*time.Second,
		newFault(emulator.FaultDiscoveryMoves, 200*time.Millisecond, 0, 0, 0),
		newFault(emulator.FaultReplace, 500*time.Millisecond, 500*time.Millisecond, 0.5, 0),
		newFault(emulator.FaultWatchSilence, 2500*time.Millisecond, 0, 0, 0),
	))
	o.checkRules(t)
	if o.count("EndpointStarted") != 6 || o.count("FaultChanged") != 6 {
		t.Errorf("want 6 endpoint starts and 6 fault changes: %+v %v", o.summary, o.seen)
	}
}

// Endpoints that crash, hang, fail, reset connections or spoil answers, partitions and a silent meter must not make a
// gateway break a rule or pass on a false answer.
func TestEndpointFaultsBreakNoRule(t *testing.T) {
	o := runScenario(t, newScenario(4*time.Second,
		newFault(emulator.FaultStopEndpoints, 200*time.Millisecond, time.Second, 0.25, 0),
		newFault(emulator.FaultSilentEndpoints, 400*time.Millisecond, time.Second, 0.25, 0),
		newFault(emulator.FaultFailEndpoints, 600*time.Millisecond, time.Second, 0.25, 0.5),
		newFault(emulator.FaultPartition, 800*time.Millisecond, time.Second, 0.25, 0),
		newFault(emulator.FaultResets, time.Second, 2*time.Second, 0, 0.2),
		newFault(emulator.FaultSpoiltAnswers, time.Second, 2*time.Second, 0, 0.2),
		newFault(emulator.FaultMeterSilence, time.Second, time.Second, 0, 0),
	))
	o.checkRules(t)
	if o.count("EndpointStopped") != 1 || o.count("status 5") == 0 || o.count("not genuine") != 0 {
		t.Errorf("want 1 endpoint stop, attempts that ended in a reset and only genuine answers: %+v %v", o.summary, o.seen)
	}
}

// A client that disconnects early must be observed as disconnected, not as one whose connection the gateway closed.
func TestEarlyClientDisconnectsAreObserved(t *testing.T) {
	s := newScenario(2 * time.Second)
	s.Clients.Abandon = 1
	s.Endpoints.Cores, s.Endpoints.Slots = 1, 2 // slow endpoints, so that most clients disconnect before their answer
	for i := range s.Classes {
		s.Classes[i].Work *= 8
	}
	o := runScenario(t, s)
	o.checkRules(t)
	if o.count("ClientDisconnected") == 0 {
		t.Errorf("no client disconnected: %+v %v", o.summary, o.seen)
	}
}

// Gateways must get the endpoint lists also if they have to poll discovery for them.
func TestPolledDiscoveryDeliversLists(t *testing.T) {
	s := newScenario(2*time.Second, newFault(emulator.FaultDrainEndpoints, 200*time.Millisecond, time.Minute, 0.25, 0))
	s.Discovery.Polled = true
	s.Discovery.CallsPerSecond = 100
	o := runScenario(t, s)
	o.checkRules(t)
	if o.count("answer 1") == 0 {
		t.Errorf("no request was served: %+v %v", o.summary, o.seen)
	}
}
