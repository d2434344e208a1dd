package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"springfield/internal/config"
	"springfield/internal/testkit"
)

// departure is a way in which a client goes: net/http watches a client only from the last byte of its request on, and
// a connection may be closed or reset.
type departure struct {
	request string
	reset   bool
}

var departures = []departure{
	{slowRequest("lookup", "leaver"), false},
	{slowRequest("lookup", "leaver"), true},
	{slowRequest("pay", "leaver"), false},
	{slowRequest("pay", "leaver"), true},
}

func (d departure) leave(t *testing.T, client *testkit.Client) {
	t.Helper()
	if d.reset {
		client.Reset()
		return
	}
	closeClient(t, client)
}

func closeClient(t *testing.T, client *testkit.Client) {
	t.Helper()
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
}

// forEachDeparture runs the test for each way in which a client goes, with settings that allow attempts to be
// cancelled and with such that do not.
func forEachDeparture(t *testing.T, test func(t *testing.T, d departure, canCancel bool)) {
	for _, d := range departures {
		for _, canCancel := range []bool{true, false} {
			method := d.request[:4]
			t.Run(fmt.Sprintf("%s, reset %v, cancel %v", method, d.reset, canCancel), func(t *testing.T) {
				test(t, d, canCancel)
			})
		}
	}
}

// A client that disconnects frees the endpoint that works for it.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	received := make(chan struct{}, 1)
	server := testkit.NewServer(t, func(net.Conn, *http.Request) bool { received <- struct{}{}; return true })
	g, _ := startGateway(t, server)
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	request := g.request(http.MethodPost, payPath, testkit.Plan, "x", "8").WithContext(ctx)
	go g.do(request)
	testkit.WaitFor(t, "the attempt", received)
	disconnect()
	testkit.WaitFor(t, "the closed connection", server.Closed)
}

// A request whose client has gone while it waits for a connection is not forwarded.
func TestClientGoneDuringDialIsNotForwarded(t *testing.T) {
	forEachDeparture(t, func(t *testing.T, d departure, canCancel bool) {
		const longMS = 120_000
		server, gate := okServer(t), testkit.NewDialGate()
		g, _ := startGatewayWith(t, func(cfg *config.Config, opts *options) {
			slow(cfg, opts)
			cfg.Settings.Limits.Cancel, cfg.Settings.Limits.DialTimeoutMs = canCancel, longMS
			opts.dial = gate.Dial
		}, server)
		client := g.dial()
		client.WriteText(d.request)
		testkit.WaitFor(t, "the dial", gate.Dialing)
		d.leave(t, client)
		testkit.WaitFor(t, "the end of the dial", gate.Cancelled)
		gate.Open()
		g.awaitLeaver()
		g.wantOnlyLookup(server)
	})
}

// The same holds for one that is queued because no endpoint may take it, with and without bytes that follow it on its
// connection: these would hide the disconnect from net/http.
func TestClientGoneWhileQueuedIsNotForwarded(t *testing.T) {
	forEachDeparture(t, func(t *testing.T, d departure, canCancel bool) {
		for _, following := range []string{"", "G", slowRequest("lookup", "following") + "G"} {
			server := okServer(t)
			g, registry := startGatewayWith(t, func(cfg *config.Config, opts *options) {
				slow(cfg, opts)
				cfg.Settings.Limits.Cancel = canCancel
			})
			client := g.dial()
			client.WriteText(d.request)
			g.awaitOpen("leaver")
			client.WriteText(following)
			d.leave(t, client)
			g.awaitLeaver()
			watch := testkit.Receive(t, "the watch", registry.Watches)
			send(t, watch, testkit.EndpointListJSON(2, true, testkit.EndpointLine("s", server.Address(), "up", 0)))
			g.wantOnlyLookup(server)
		}
	})
}

// Between two attempts: the first endpoint rejects the request once the client has gone.
func TestClientGoneBetweenAttemptsIsNotForwarded(t *testing.T) {
	for _, canCancel := range []bool{true, false} {
		received, release := make(chan struct{}, 1), make(chan struct{})
		script := func(conn net.Conn, request *http.Request) bool {
			if request.Header.Get("Req-Id") == "leaver" {
				received <- struct{}{}
				<-release
				return testkit.Reply(testkit.ResponseRejected, false)(conn, request)
			}
			return testkit.Reply(testkit.ResponseOK, true)(conn, request)
		}
		one, two := testkit.NewServer(t, script), testkit.NewServer(t, script)
		g, _ := startGatewayWith(t, func(cfg *config.Config, opts *options) {
			slow(cfg, opts)
			cfg.Settings.Limits.Cancel = canCancel
		}, one, two)
		client := g.dial()
		client.WriteText(slowRequest("lookup", "leaver"))
		testkit.WaitFor(t, "the attempt", received)
		closeClient(t, client)
		g.awaitDisconnect()
		close(release)
		g.awaitLeaver()
		response := g.lookup(testkit.Plan)
		if response.Status != http.StatusOK || one.Requests.Load()+two.Requests.Load() != 2 {
			t.Errorf("cancel %v: got %+v; %d and %d requests", canCancel, response,
				one.Requests.Load(), two.Requests.Load())
		}
	}
}

// A client that has gone before the gateway accepts its connection: its request is complete but unread.
func TestClientGoneBeforeReadIsNotForwarded(t *testing.T) {
	server := okServer(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const clients = 100 // not every one is read so late that its request would be forwarded
	for i := range clients {
		client := testkit.Dial(t, listener.Addr().String())
		client.WriteText(testkit.RequestHead(http.MethodGet, "lookup", fmt.Sprint("gone", i), "5"))
		closeClient(t, client)
	}
	cfg := testConfig(t, "127.0.0.1:1")
	cfg.Known = cachedList(server.Address())
	g := runGateway(t, cfg, listener, options{})
	g.wantOnlyLookup(server)
}

// A client that has closed only its sending side gets no response that no endpoint made.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	g, _ := startGatewayWith(t, slow)
	client := g.dial()
	client.WriteText(slowRequest("lookup", "half"))
	g.awaitOpen("half")
	client.CloseWrite()
	if response := client.ReadResponse(); response.Status != 0 {
		t.Errorf("got %+v", response)
	}
}
