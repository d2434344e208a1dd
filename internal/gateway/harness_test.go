package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"springfield/internal/config"
	"springfield/internal/discovery"
	"springfield/internal/eventloop"
	"springfield/internal/frontend"
	"springfield/internal/testkit"
)

// The tests of this package run a whole gateway over the loopback interface. To make something happen between two steps
// of the gateway, they block one side with hooks, channels or partly sent requests. They do not rely on sleeping.

// Paths of requests of the three classes in testkit.Settings.
const (
	lookupPath = "/lookup" + testkit.CustomerPath
	addPath    = "/add" + testkit.CustomerPath
	payPath    = "/pay" + testkit.CustomerPath
)

// testSeed is the seed of the gateway under test.
const testSeed = "8c1f30d27a5be964"

// testGateway is a gateway under test.
type testGateway struct {
	t       testing.TB
	address string
	stop    context.CancelFunc // begins the graceful shutdown, as SIGTERM does
	ended   chan error         // receives the result of run
	client  http.Client
	server  *frontend.Server

	disconnected chan struct{} // see observedEngine
}

// observedEngine notifies a test of the disconnects that the frontend reports to the event loop.
type observedEngine struct {
	frontend.Engine
	disconnected chan struct{} // receives a value after each call of DisconnectClient
}

// disconnectCapacity is larger than the number of disconnects in any test, so that sends do not block.
const disconnectCapacity = 100

// DisconnectClient forwards the disconnect and then notifies the test.
func (e *observedEngine) DisconnectClient(call *eventloop.Call) {
	e.Engine.DisconnectClient(call)
	e.disconnected <- struct{}{}
}

// testConfig returns a configuration with the given address of discovery.
func testConfig(t testing.TB, discoveryAddress string) *config.Config {
	t.Helper()
	return &config.Config{Discovery: discoveryAddress, Seed: testSeed, Settings: testkit.Settings(t)}
}

// cachedList returns an endpoint list for the configuration that holds one endpoint.
func cachedList(address string) discovery.EndpointList {
	endpoint := discovery.Instance{ID: "s", Addr: address, State: "up", Weight: 1}
	return discovery.EndpointList{Full: true, Servers: []discovery.Instance{endpoint}}
}

// startGateway starts a gateway whose discovery lists the servers from the start, and waits until it is ready.
func startGateway(t testing.TB, servers ...*testkit.Server) (*testGateway, *testkit.Registry) {
	t.Helper()
	return startGatewayWith(t, func(*config.Config, *options) {}, servers...)
}

// startGatewayWith is like startGateway, but change may modify the configuration and the options.
func startGatewayWith(t testing.TB, change func(*config.Config, *options), servers ...*testkit.Server) (
	*testGateway, *testkit.Registry) {
	t.Helper()
	registry := testkit.NewRegistry(t)
	for i, server := range servers {
		id := fmt.Sprint("s-", i)
		registry.SetEntry(id, testkit.EndpointLine(id, server.Address(), "up", 0))
	}
	cfg, opts := testConfig(t, registry.Address()), options{}
	change(cfg, &opts)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := runGateway(t, cfg, listener, opts)
	testkit.Eventually(t, "readiness", func() bool {
		response, err := g.client.Get("http://" + g.address + "/health/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close() // it is empty
		return response.StatusCode == http.StatusOK
	})
	return g, registry
}

// runGateway starts a gateway on the listener. It does not wait until the gateway is ready.
func runGateway(t testing.TB, cfg *config.Config, listener net.Listener, opts options) *testGateway {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	g := &testGateway{
		t:            t,
		address:      listener.Addr().String(),
		stop:         stop,
		ended:        make(chan error, 1),
		disconnected: make(chan struct{}, disconnectCapacity),
	}
	g.client.Transport = &http.Transport{}
	opts.wrapEngine = func(engine frontend.Engine) frontend.Engine {
		return &observedEngine{Engine: engine, disconnected: g.disconnected}
	}
	servers := make(chan *frontend.Server, 1)
	opts.inspect = func(server *frontend.Server) { servers <- server }
	go func() { g.ended <- run(ctx, cfg, listener, nil, opts) }()
	g.server = testkit.Receive(t, "the server", servers)
	t.Cleanup(func() { // runs before the cleanup of the servers, or the gateway would retry and log
		stop()
		g.client.CloseIdleConnections()
	})
	return g
}

func (g *testGateway) request(method, path, plan, body, deadline string) *http.Request {
	g.t.Helper()
	return testkit.NewRequest(g.t, g.address, method, path, plan, body, deadline)
}

func (g *testGateway) do(request *http.Request) testkit.Response {
	return testkit.RoundTrip(&g.client, request)
}

func (g *testGateway) lookup(plan string) testkit.Response {
	g.t.Helper()
	return g.do(g.request(http.MethodGet, lookupPath, plan, "", "5"))
}

func (g *testGateway) dial() *testkit.Client {
	g.t.Helper()
	return testkit.Dial(g.t, g.address)
}

// awaitNoConnections closes the idle connections of the client and waits until the gateway has closed its ends.
func (g *testGateway) awaitNoConnections() {
	g.t.Helper()
	g.client.CloseIdleConnections()
	testkit.Eventually(g.t, "the end of all connections", func() bool { return g.server.OpenConnections() == 0 })
}

// awaitOpen waits until the request with the id is open.
func (g *testGateway) awaitOpen(id string) {
	g.t.Helper()
	testkit.Eventually(g.t, "the request", func() bool { return g.server.RequestOpen(id) })
}

// awaitDisconnectedRequestEnd waits until the request with id "disconnecting" is not open any more.
func (g *testGateway) awaitDisconnectedRequestEnd() {
	g.t.Helper()
	testkit.Eventually(g.t, "the end of the request", func() bool { return !g.server.RequestOpen("disconnecting") })
}

// awaitDisconnect waits until the event loop has handled another disconnect. The event loop handles events in order, so
// it has handled the disconnect when it rejects a later request, one without enough time.
func (g *testGateway) awaitDisconnect() {
	g.t.Helper()
	testkit.WaitFor(g.t, "the client's disconnect", g.disconnected)
	client := g.dial()
	client.WriteText(testkit.RequestHead(http.MethodGet, "lookup", "after", "0.001"))
	if response := client.ReadResponse(); response.Status != http.StatusServiceUnavailable {
		g.t.Errorf("a request without enough time: got %+v", response)
	}
}

// wantShutdown waits until the gateway has ended and checks that it returned no error.
func (g *testGateway) wantShutdown() {
	g.t.Helper()
	if err := testkit.Receive(g.t, "the end of the gateway", g.ended); err != nil {
		g.t.Errorf("the gateway ended with %v", err)
	}
}

// awaitListenerClosed waits until the gateway has stopped listening.
func (g *testGateway) awaitListenerClosed() {
	g.t.Helper()
	testkit.Eventually(g.t, "the end of the listener", func() bool {
		conn, err := net.Dial("tcp", g.address)
		if err == nil {
			_ = conn.Close() // nothing was sent on it
		}
		return err != nil
	})
}

// wantOnlyLookup sends lookups until one is served, and checks that the server received no other request.
func (g *testGateway) wantOnlyLookup(server *testkit.Server) {
	g.t.Helper()
	testkit.Eventually(g.t, "an answer of the server", func() bool {
		return g.lookup(testkit.Plan).Status == http.StatusOK
	})
	if got := server.Requests.Load(); got != 1 {
		g.t.Errorf("the server received %d requests, want 1", got)
	}
}

// okServer starts a server that answers each request with testkit.ResponseOK and keeps its connections open.
func okServer(t testing.TB) *testkit.Server {
	t.Helper()
	return testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true))
}

// send sends a line on a watch of the gateway.
func send(t testing.TB, watch chan<- string, line string) {
	t.Helper()
	select {
	case watch <- line:
	case <-time.After(testkit.Timeout):
		t.Fatal("the watch has ended")
	}
}

// listServer makes the server the only one that the next watch of the gateway lists.
func listServer(t testing.TB, registry *testkit.Registry, server *testkit.Server) {
	t.Helper()
	watch := testkit.Receive(t, "the watch", registry.Watches)
	send(t, watch, testkit.EndpointListJSON(2, true, testkit.EndpointLine("s", server.Address(), "up", 0)))
}

// withLongDeadlines gives requests longer deadlines than any test waits.
func withLongDeadlines(cfg *config.Config, _ *options) { testkit.ExtendDeadlines(&cfg.Settings) }

// longDeadlineRequest returns the text of a request of the class whose deadline is longer than any test waits. It is a
// GET for the class lookup and a POST with a body of one byte for the others.
func longDeadlineRequest(class, id string) string {
	if class == "lookup" {
		return testkit.RequestHead(http.MethodGet, class, id, "100")
	}
	return testkit.RequestHead(http.MethodPost, class, id, "100") + "x"
}
