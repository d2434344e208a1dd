package loopback

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"springfield/internal/emulator/model"
)

// A client that is asked to leave must stop waiting, also if it is asked before it waits. A later request on the same
// connection must not be affected.
func TestDepartureEndsOnlyTheWaitOfItsClient(t *testing.T) {
	for _, leavesBefore := range []bool{true, false} {
		client, peer := net.Pipe()
		var d departure
		if leavesBefore {
			d.leave()
		}
		d.beginWait(client)
		if !leavesBefore {
			d.leave()
		}
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || !d.hasLeft() {
			t.Errorf("before the wait: %v: the read returned %v", leavesBefore, err)
		}
		d.endWait()
		if err := client.SetReadDeadline(time.Time{}); err != nil {
			t.Fatal(err)
		}
		d.leave()
		go func() { _, _ = peer.Write([]byte("x")) }() // the read fails if this does
		if _, err := client.Read(make([]byte, 1)); err != nil {
			t.Errorf("before the wait: %v: a read after the wait returned %v", leavesBefore, err)
		}
		_ = client.Close() // the test is over
		_ = peer.Close()
	}
}

// Clients that leave, requests with little time left, rejected attempts and attempts that fail after their execution
// must occur, and must not make a gateway break a rule.
func TestAimedFaultsOccurAndBreakNoRule(t *testing.T) {
	s := newScenario(2 * time.Second)
	options, o := newOptions(t, s)
	w, err := Start(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	const share = 0.4
	w.DisconnectClients(share, time.Minute)
	w.HurryClients(share, time.Minute)
	w.RejectAttempts(share, time.Minute)
	w.FailAfterExecution(1, time.Minute)
	w.RestartEndpoints(0)
	if o.summary, err = w.Drive(t.Context()); err != nil {
		t.Fatal(err)
	}
	o.checkRules(t)
	for _, name := range []string{"ClientDisconnected", "status 2", "status 3", "status 5"} {
		if o.count(name) == 0 {
			t.Errorf("%s was not observed: %v", name, o.seen)
		}
	}
	if got := o.count("EndpointStarted"); got != 2*s.Endpoints.Count {
		t.Errorf("%d starts of endpoints, want %d", got, 2*s.Endpoints.Count)
	}
}

// A client must not disconnect at or after its deadline, when it only waits for an answer that it is entitled to.
func TestClientsDoNotLeaveAfterTheirDeadlines(t *testing.T) {
	w := newWorld(t.Context(), Options{Scenario: newScenario(time.Second)})
	defer w.cancel()
	for wait, want := range map[time.Duration]bool{time.Hour: true, 0: false, -time.Second: false} {
		r := &request{arrival: model.Arrival{Deadline: w.scheduler.Now() + wait}}
		w.leaveEarly(r)
		if r.departure.hasLeft() != want {
			t.Errorf("with %v until the deadline the client left: %v, want %v", wait, !want, want)
		}
	}
}
