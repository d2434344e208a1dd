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

// The gateway must use the endpoints of the latest list. A draining endpoint must get no new request, and an endpoint
// that has restarted under the same id must get new connections.
func TestEndpointUpdatesAreFollowed(t *testing.T) {
	first, second := okServer(t), okServer(t)
	g, registry := startGateway(t, first)
	if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
		t.Fatalf("got %+v", response)
	}
	watch := testkit.Receive(t, "the watch", registry.Watches)
	send(t, watch, "")
	send(t, watch, testkit.EndpointListJSON(2, false,
		testkit.EndpointLine("s-1", second.Address(), "up", 0),
		testkit.EndpointLine("s-0", first.Address(), "draining", 0)))
	testkit.WaitFor(t, "the end of the idle connection", first.Closed) // the event loop has the update
	response := g.lookup(testkit.Plan)
	if response.Status != http.StatusOK || first.Requests.Load() != 1 || second.Requests.Load() != 1 {
		t.Errorf("while draining: got %+v, %d and %d requests", response, first.Requests.Load(), second.Requests.Load())
	}

	send(t, watch, testkit.EndpointListJSON(3, false, testkit.EndpointLine("s-1", second.Address(), "up", 5000)))
	testkit.WaitFor(t, "the end of the old process's connection", second.Closed)
	response = g.lookup(testkit.Plan)
	if response.Status != http.StatusOK || second.Requests.Load() != 2 {
		t.Errorf("after the restart: got %+v, %d requests", response, second.Requests.Load())
	}

	send(t, watch, testkit.EndpointListJSON(4, true, testkit.EndpointLine("s-0", first.Address(), "up", 6000)))
	testkit.WaitFor(t, "the end of the removed endpoint's connection", second.Closed)
	response = g.lookup(testkit.Plan)
	if response.Status != http.StatusOK || first.Requests.Load() != 2 {
		t.Errorf("after the replacement: got %+v, %d requests", response, first.Requests.Load())
	}
}

// If an endpoint begins to drain while a dial to it is pending, nothing must be sent on the new connection. The request
// has not run, so it must go to another endpoint, whatever its class.
func TestEndpointDrainingDuringDialGetsNoRequest(t *testing.T) {
	for _, class := range []string{"lookup", "add", "pay"} {
		t.Run(class, func(t *testing.T) { testEndpointDrainingDuringDial(t, class) })
	}
}

func testEndpointDrainingDuringDial(t *testing.T, class string) {
	draining, other, gate := okServer(t), okServer(t), testkit.NewDialGate()
	g, registry := startGatewayWith(t, func(cfg *config.Config, opts *options) {
		withLongDeadlines(cfg, opts)
		opts.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == other.Address() {
				return net.Dial(network, address)
			}
			return gate.Dial(ctx, network, address)
		}
	}, draining)
	client := g.dial()
	client.WriteText(longDeadlineRequest(class, "a"))
	testkit.WaitFor(t, "the dial", gate.Dialing)
	watch := testkit.Receive(t, "the watch", registry.Watches)
	send(t, watch, testkit.EndpointListJSON(2, false,
		testkit.EndpointLine("s-0", draining.Address(), "draining", 0),
		testkit.EndpointLine("s-1", other.Address(), "up", 0)))
	probes := 0
	testkit.Eventually(t, "the new list", func() bool { // a probe to the draining endpoint is not answered
		probes++
		return isAnsweredSoon(t, g, fmt.Sprint("probe", probes))
	})
	before := other.Requests.Load()
	gate.Open()
	response := client.ReadResponse()
	if response.Status != http.StatusOK || draining.Requests.Load() != 0 || other.Requests.Load() != before+1 {
		t.Errorf("got %+v; %d to the draining endpoint, %d to the other", response,
			draining.Requests.Load(), other.Requests.Load()-before)
	}
}

// isAnsweredSoon reports whether a lookup is served within a short time.
func isAnsweredSoon(t *testing.T, g *testGateway, id string) bool {
	t.Helper()
	client := g.dial()
	client.WriteText(longDeadlineRequest("lookup", id))
	if err := client.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	response := client.ReadResponse()
	closeClient(t, client)
	return response.Status == http.StatusOK
}

// If a watch is reset just before an endpoint drains, the gateway must follow the list of the next watch and send the
// draining endpoint no further request.
func TestEndpointDrainIsFollowedAfterWatchReset(t *testing.T) {
	first, second := okServer(t), okServer(t)
	g, registry := startGateway(t, first)
	if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
		t.Fatalf("got %+v", response)
	}
	testkit.Receive(t, "the watch", registry.Watches)
	registry.CloseClientConnections()
	watch := testkit.Receive(t, "the next watch", registry.Watches)
	send(t, watch, testkit.EndpointListJSON(2, false,
		testkit.EndpointLine("s-0", first.Address(), "draining", 0),
		testkit.EndpointLine("s-1", second.Address(), "up", 0)))
	testkit.WaitFor(t, "the end of the idle connection", first.Closed) // the event loop has the update
	for range 3 {
		if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
			t.Errorf("got %+v", response)
		}
	}
	if first.Requests.Load() != 1 || second.Requests.Load() != 3 {
		t.Errorf("%d requests to the draining endpoint, %d to the other", first.Requests.Load(), second.Requests.Load())
	}
}

// A gateway must become ready while discovery refuses, hangs or rejects calls, with and without a cached endpoint list.
// With a cached list it must serve requests, without one it must reject them.
func TestGatewayBecomesReadyWithoutDiscovery(t *testing.T) {
	hanging, err := net.Listen("tcp", "127.0.0.1:0") // connections are established, but get no response
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = hanging.Close() }) // no connection was accepted
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
		cfg.Settings.Classes[0].AimMs = 200 // a request waits half as long for an endpoint
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
