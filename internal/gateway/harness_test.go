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

// The tests of this package run a whole gateway over the loopback interface. Where something has to happen between two
// steps of the gateway, hooks, channels or half-written bytes hold one side until the other has gone on; no test relies
// on time that passes.

// Paths of requests of the three classes of testkit.Settings.
const (
	lookupPath = "/lookup" + testkit.CustomerPath
	addPath    = "/add" + testkit.CustomerPath
	payPath    = "/pay" + testkit.CustomerPath
)

const testSeed = "8c1f30d27a5be964"

// testGateway is a gateway under test.
type testGateway struct {
	t       testing.TB
	address string
	stop    context.CancelFunc // begins the graceful shutdown, as SIGTERM does
	ended   chan error         // gets the result of run
	client  http.Client
	server  *frontend.Server

	disconnected chan struct{} // of the observedEngine
}

// observedEngine informs a test of the disconnects that the frontend reports to the event loop.
type observedEngine struct {
	frontend.Engine
	disconnected chan struct{} // gets a value for each one that the loop has got
}

// disconnectCapacity is more than any test causes.
const disconnectCapacity = 100

func (e *observedEngine) DisconnectClient(call *eventloop.Call) {
	e.Engine.DisconnectClient(call)
	e.disconnected <- struct{}{}
}

func testConfig(t testing.TB, discoveryAddress string) *config.Config {
	t.Helper()
	return &config.Config{Discovery: discoveryAddress, Seed: testSeed, Settings: testkit.Settings(t)}
}

// cachedList is an endpoint list for the configuration that holds one endpoint.
func cachedList(address string) discovery.EndpointList {
	endpoint := discovery.Instance{ID: "s", Addr: address, State: "up", Weight: 1}
	return discovery.EndpointList{Full: true, Servers: []discovery.Instance{endpoint}}
}

// startGateway runs a gateway whose discovery lists the servers from the start.
func startGateway(t testing.TB, servers ...*testkit.Server) (*testGateway, *testkit.Registry) {
	t.Helper()
	return startGatewayWith(t, func(*config.Config, *options) {}, servers...)
}

// startGatewayWith is startGateway with a configuration and options of its own. The gateway is ready on return.
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

// runGateway runs a gateway on the listener. It may become ready only later.
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
	t.Cleanup(func() { // before the servers' own, because a gateway that goes on would retry and log
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

// awaitOpen waits until a request with the id is open.
func (g *testGateway) awaitOpen(id string) {
	g.t.Helper()
	testkit.Eventually(g.t, "the request", func() bool { return g.server.RequestOpen(id) })
}

// awaitLeaver waits until the request "leaver" is not open any more.
func (g *testGateway) awaitLeaver() {
	g.t.Helper()
	testkit.Eventually(g.t, "the end of the request", func() bool { return !g.server.RequestOpen("leaver") })
}

// awaitDisconnect waits until the event loop has handled another disconnect. It handles events in their order, so it
// is done with that one when it rejects a request that has no time.
func (g *testGateway) awaitDisconnect() {
	g.t.Helper()
	testkit.WaitFor(g.t, "the client's disconnect", g.disconnected)
	client := g.dial()
	client.WriteText(testkit.RequestHead(http.MethodGet, "lookup", "after", "0.001"))
	if response := client.ReadResponse(); response.Status != http.StatusServiceUnavailable {
		g.t.Errorf("a request without time: %+v", response)
	}
}

// wantShutdown waits until the gateway has ended without an error.
func (g *testGateway) wantShutdown() {
	g.t.Helper()
	if err := testkit.Receive(g.t, "the end of the gateway", g.ended); err != nil {
		g.t.Errorf("it ended with %v", err)
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

// wantOnlyLookup sends lookups until one is served, and fails if the server received any request besides that one.
func (g *testGateway) wantOnlyLookup(server *testkit.Server) {
	g.t.Helper()
	testkit.Eventually(g.t, "an answer of the server", func() bool {
		return g.lookup(testkit.Plan).Status == http.StatusOK
	})
	if got := server.Requests.Load(); got != 1 {
		g.t.Errorf("%d requests reached the server, want 1", got)
	}
}

// okServer answers each request with testkit.ResponseOK and keeps its connections.
func okServer(t testing.TB) *testkit.Server {
	t.Helper()
	return testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true))
}

// send writes a line to a watch of the gateway.
func send(t testing.TB, watch chan<- string, line string) {
	t.Helper()
	select {
	case watch <- line:
	case <-time.After(testkit.Timeout):
		t.Fatal("the watch has ended")
	}
}

// slow gives requests more time than any test waits.
func slow(cfg *config.Config, _ *options) { testkit.ExtendDeadlines(&cfg.Settings) }

// slowRequest is a request of the class as text, with more time than any test waits: the class lookup takes a GET and
// the others a POST with a body of one byte.
func slowRequest(class, id string) string {
	if class == "lookup" {
		return testkit.RequestHead(http.MethodGet, class, id, "100")
	}
	return testkit.RequestHead(http.MethodPost, class, id, "100") + "x"
}
