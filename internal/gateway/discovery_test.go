package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"springfield/internal/config"
	"springfield/internal/testkit"
)

// The endpoints in use are those that discovery has written last: a draining one gets nothing new, and one that has
// restarted under its id is another process.
func TestEndpointUpdatesAreFollowed(t *testing.T) {
	one, two := okServer(t), okServer(t)
	g, registry := startGateway(t, one)
	if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
		t.Fatalf("got %+v", response)
	}
	watch := testkit.Receive(t, "the watch", registry.Watches)
	send(t, watch, "")
	send(t, watch, testkit.EndpointListJSON(2, false,
		testkit.EndpointLine("s-1", two.Address(), "up", 0),
		testkit.EndpointLine("s-0", one.Address(), "draining", 0)))
	testkit.WaitFor(t, "the end of the idle connection", one.Closed) // the event loop has the update
	response := g.lookup(testkit.Plan)
	if response.Status != http.StatusOK || one.Requests.Load() != 1 || two.Requests.Load() != 1 {
		t.Errorf("draining: got %+v, %d and %d", response, one.Requests.Load(), two.Requests.Load())
	}

	send(t, watch, testkit.EndpointListJSON(3, false, testkit.EndpointLine("s-1", two.Address(), "up", 5000)))
	testkit.WaitFor(t, "the end of the old process's connection", two.Closed)
	response = g.lookup(testkit.Plan)
	if response.Status != http.StatusOK || two.Requests.Load() != 2 {
		t.Errorf("restarted: got %+v, %d", response, two.Requests.Load())
	}

	send(t, watch, testkit.EndpointListJSON(4, true, testkit.EndpointLine("s-0", one.Address(), "up", 6000)))
	testkit.WaitFor(t, "the end of the removed endpoint's connection", two.Closed)
	response = g.lookup(testkit.Plan)
	if response.Status != http.StatusOK || one.Requests.Load() != 2 {
		t.Errorf("back: got %+v, %d", response, one.Requests.Load())
	}
}

// An endpoint begins to drain while a dial to it is pending. When the connection is established nothing is sent on it:
// the request goes to an endpoint that is ready, for it has run nowhere.
func TestEndpointDrainingDuringDialGetsNoRequest(t *testing.T) {
	for _, class := range []string{"lookup", "add", "pay"} {
		t.Run(class, func(t *testing.T) { testEndpointDrainingDuringDial(t, class) })
	}
}

func testEndpointDrainingDuringDial(t *testing.T, class string) {
	old, fresh, gate := okServer(t), okServer(t), testkit.NewDialGate()
	g, registry := startGatewayWith(t, func(cfg *config.Config, opts *options) {
		slow(cfg, opts)
		opts.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == fresh.Address() {
				return net.Dial(network, address)
			}
			return gate.Dial(ctx, network, address)
		}
	}, old)
	client := g.dial()
	client.WriteText(slowRequest(class, "a"))
	testkit.WaitFor(t, "the dial", gate.Dialing)
	watch := testkit.Receive(t, "the watch", registry.Watches)
	send(t, watch, testkit.EndpointListJSON(2, false,
		testkit.EndpointLine("s-0", old.Address(), "draining", 0),
		testkit.EndpointLine("s-1", fresh.Address(), "up", 0)))
	probes := 0
	testkit.Eventually(t, "the new list", func() bool { // a probe that still goes to the old endpoint is not answered
		probes++
		return isAnsweredSoon(t, g, fmt.Sprint("probe", probes))
	})
	before := fresh.Requests.Load()
	gate.Open()
	response := client.ReadResponse()
	if response.Status != http.StatusOK || old.Requests.Load() != 0 || fresh.Requests.Load() != before+1 {
		t.Errorf("got %+v; %d to the draining endpoint, %d to the other", response,
			old.Requests.Load(), fresh.Requests.Load()-before)
	}
}

// isAnsweredSoon reports whether a lookup is served within a short time.
func isAnsweredSoon(t *testing.T, g *testGateway, id string) bool {
	t.Helper()
	client := g.dial()
	client.WriteText(slowRequest("lookup", id))
	if err := client.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	response := client.ReadResponse()
	closeClient(t, client)
	return response.Status == http.StatusOK
}

// A watch is reset just before an endpoint drains: the list that arrives on the next watch is obeyed, and the draining
// endpoint gets nothing more.
func TestWatchResetJustBeforeEndpointDrains(t *testing.T) {
	one, two := okServer(t), okServer(t)
	g, registry := startGateway(t, one)
	if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
		t.Fatalf("got %+v", response)
	}
	testkit.Receive(t, "the watch", registry.Watches)
	registry.CloseClientConnections()
	watch := testkit.Receive(t, "the next watch", registry.Watches)
	send(t, watch, testkit.EndpointListJSON(2, false,
		testkit.EndpointLine("s-0", one.Address(), "draining", 0),
		testkit.EndpointLine("s-1", two.Address(), "up", 0)))
	testkit.WaitFor(t, "the end of the idle connection", one.Closed) // the event loop has the update
	for range 3 {
		if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
			t.Errorf("got %+v", response)
		}
	}
	if one.Requests.Load() != 1 || two.Requests.Load() != 3 {
		t.Errorf("%d requests to the draining endpoint, %d to the other", one.Requests.Load(), two.Requests.Load())
	}
}

// A gateway becomes ready with and without a cached list, also while discovery refuses, hangs or rejects calls. With a
// list it serves, without one it rejects.
func TestGatewayIsReadyWhateverDiscoveryDoes(t *testing.T) {
	hanging, err := net.Listen("tcp", "127.0.0.1:0") // the machine accepts, nobody answers
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = hanging.Close() }) // nothing was accepted
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(busy.Close)
	for state, address := range map[string]string{
		"refusing":  "127.0.0.1:1",
		"hanging":   hanging.Addr().String(),
		"rejecting": busy.Listener.Addr().String(),
	} {
		for _, kind := range []string{"pushed", "on_request"} {
			for _, cached := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, cached %v", state, kind, cached), func(t *testing.T) {
					testReadyWithoutDiscovery(t, address, kind, cached)
				})
			}
		}
	}
}

func testReadyWithoutDiscovery(t *testing.T, address, kind string, cached bool) {
	server := okServer(t)
	g, _ := startGatewayWith(t, func(cfg *config.Config, _ *options) {
		cfg.Discovery, cfg.Settings.Discovery = address, kind
		cfg.Settings.Classes[0].AimMs = 200 // half of it is the wait for an endpoint
		cfg.Settings.Balancers, cfg.Settings.Safety.AskWithinMs = 350, 10_000
		if cached {
			cfg.Known = cachedList(server.Address())
		}
	})
	want := http.StatusServiceUnavailable
	if cached {
		want = http.StatusOK
	}
	if response := g.lookup(testkit.Plan); response.Status != want {
		t.Errorf("got %+v, want %d", response, want)
	}
}
