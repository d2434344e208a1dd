package loopback

import (
	"testing"
	"time"

	"springfield/internal/emulator"
)

// fault returns a fault of a share of the deployment.
func fault(kind emulator.FaultKind, at, length time.Duration, share, factor float64) emulator.Fault {
	return emulator.Fault{
		Kind:   kind,
		At:     emulator.Duration(at),
		Length: emulator.Duration(length),
		Share:  share,
		Factor: factor,
	}
}

// A killed gateway comes back, and one that is shut down answers what it has taken. The rules are kept.
func TestKilledAndRestartedGatewaysComeBack(t *testing.T) {
	o := run(t, scenario(4*time.Second,
		fault(emulator.FaultKillGateways, 300*time.Millisecond, 500*time.Millisecond, 0.5, 0),
		fault(emulator.FaultRestartGateways, 2*time.Second, 0, 0.5, 0),
	))
	o.wantKept(t)
	if o.summary.GatewayStarts != 4 || o.of("GatewayStarted") < 3 || o.of("GatewayStopped") != 2 {
		t.Errorf("%+v %v", o.summary, o.seen)
	}
}

// Gateways follow discovery to another address, and learn there which endpoints drain and which are new.
func TestDiscoveryMovesAndEndpointsAreReplaced(t *testing.T) {
	o := run(t, scenario(4*time.Second,
		fault(emulator.FaultDiscoveryMoves, 200*time.Millisecond, 0, 0, 0),
		fault(emulator.FaultReplace, 500*time.Millisecond, 500*time.Millisecond, 0.5, 0),
		fault(emulator.FaultWatchSilence, 2500*time.Millisecond, 0, 0, 0),
	))
	o.wantKept(t)
	if o.of("EndpointStarted") != 6 || o.of("FaultChanged") != 6 {
		t.Errorf("%+v %v", o.summary, o.seen)
	}
}

// Endpoints that crash, hang, fail, lose connections and spoil answers, and partitions, break no rule.
func TestFaultsOfEndpointsBreakNoRule(t *testing.T) {
	o := run(t, scenario(4*time.Second,
		fault(emulator.FaultStopEndpoints, 200*time.Millisecond, time.Second, 0.25, 0),
		fault(emulator.FaultSilentEndpoints, 400*time.Millisecond, time.Second, 0.25, 0),
		fault(emulator.FaultFailEndpoints, 600*time.Millisecond, time.Second, 0.25, 0.5),
		fault(emulator.FaultPartition, 800*time.Millisecond, time.Second, 0.25, 0),
		fault(emulator.FaultResets, time.Second, 2*time.Second, 0, 0.2),
		fault(emulator.FaultSpoiltAnswers, time.Second, 2*time.Second, 0, 0.2),
		fault(emulator.FaultMeterSilence, time.Second, time.Second, 0, 0),
	))
	o.wantKept(t)
	if o.of("EndpointStopped") != 1 || o.of("status 5") == 0 || o.of("not genuine") != 0 {
		t.Errorf("%+v %v", o.summary, o.seen)
	}
}

// Clients that leave early are told from those whose connection the gateway has closed.
func TestClientsLeaveEarly(t *testing.T) {
	s := scenario(2 * time.Second)
	s.Clients.Abandon = 1
	s.Endpoints.Cores, s.Endpoints.Slots = 1, 2 // slow: most clients leave before their answer
	for i := range s.Classes {
		s.Classes[i].Work *= 8
	}
	o := run(t, s)
	o.wantKept(t)
	if o.of("ClientDisconnected") == 0 {
		t.Errorf("%+v %v", o.summary, o.seen)
	}
}

// Lists that must be asked for reach the gateways too.
func TestPolledDiscovery(t *testing.T) {
	s := scenario(2*time.Second, fault(emulator.FaultDrainEndpoints, 200*time.Millisecond, time.Minute, 0.25, 0))
	s.Discovery.Polled = true
	s.Discovery.CallsPerSecond = 100
	o := run(t, s)
	o.wantKept(t)
	if o.of("answer 1") == 0 {
		t.Errorf("%+v %v", o.summary, o.seen)
	}
}
