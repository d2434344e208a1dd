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

// disconnect is a way in which a client disconnects after a request. The cases differ in whether the request has a
// body, because net/http detects disconnects only after the last byte of a request, and in whether the connection is
// closed or reset.
type disconnect struct {
	request string
	reset   bool
}

var disconnects = []disconnect{
	{longDeadlineRequest("lookup", "disconnecting"), false},
	{longDeadlineRequest("lookup", "disconnecting"), true},
	{longDeadlineRequest("pay", "disconnecting"), false},
	{longDeadlineRequest("pay", "disconnecting"), true},
}

// perform disconnects the client.
func (d disconnect) perform(t *testing.T, client *testkit.Client) {
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

// forEachDisconnect runs a test for each way in which a client disconnects, with settings that allow cancelling
// attempts and with settings that do not.
func forEachDisconnect(t *testing.T, test func(t *testing.T, d disconnect, canCancel bool)) {
	for _, d := range disconnects {
		for _, canCancel := range []bool{true, false} {
			method := d.request[:4]
			t.Run(fmt.Sprintf("%s, reset %v, cancel %v", method, d.reset, canCancel), func(t *testing.T) {
				test(t, d, canCancel)
			})
		}
	}
}

// When a client disconnects, its attempt must be cancelled, or the endpoint would continue work that no client needs.
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

// A request must not be forwarded if its client disconnects while the request waits for a dial to an endpoint.
func TestRequestIsNotForwardedAfterDisconnectDuringDial(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, d disconnect, canCancel bool) {
		const longMS = 120_000
		server, gate := okServer(t), testkit.NewDialGate()
		g, _ := startGatewayWith(t, func(cfg *config.Config, opts *options) {
			withLongDeadlines(cfg, opts)
			cfg.Settings.Limits.Cancel, cfg.Settings.Limits.DialTimeoutMs = canCancel, longMS
			opts.dial = gate.Dial
		}, server)
		client := g.dial()
		client.WriteText(d.request)
		testkit.WaitFor(t, "the dial", gate.Dialing)
		d.perform(t, client)
		testkit.WaitFor(t, "the end of the dial", gate.Cancelled)
		gate.Open()
		g.awaitDisconnectedRequestEnd()
		g.wantOnlyLookup(server)
	})
}

// A request must not be forwarded if its client disconnects while the request is queued because no endpoint is
// available. Bytes after the request, which would hide the disconnect from net/http, must make no difference.
func TestQueuedRequestIsNotForwardedAfterDisconnect(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, d disconnect, canCancel bool) {
		for _, following := range []string{"", "G", longDeadlineRequest("lookup", "following") + "G"} {
			server := okServer(t)
			g, registry := startGatewayWith(t, func(cfg *config.Config, opts *options) {
				withLongDeadlines(cfg, opts)
				cfg.Settings.Limits.Cancel = canCancel
			})
			client := g.dial()
			client.WriteText(d.request)
			g.awaitOpen("disconnecting")
			client.WriteText(following)
			d.perform(t, client)
			g.awaitDisconnectedRequestEnd()
			listServer(t, registry, server)
			g.wantOnlyLookup(server)
		}
	})
}

// A request must not be retried if its client disconnects during the first attempt. The first endpoint rejects the
// request after the disconnect.
func TestRequestIsNotRetriedAfterDisconnect(t *testing.T) {
	for _, canCancel := range []bool{true, false} {
		received, release := make(chan struct{}, 1), make(chan struct{})
		reply := func(conn net.Conn, request *http.Request) bool {
			if request.Header.Get("Req-Id") == "disconnecting" {
				received <- struct{}{}
				<-release
				return testkit.Reply(testkit.ResponseRejected, false)(conn, request)
			}
			return testkit.Reply(testkit.ResponseOK, true)(conn, request)
		}
		first, second := testkit.NewServer(t, reply), testkit.NewServer(t, reply)
		g, _ := startGatewayWith(t, func(cfg *config.Config, opts *options) {
			withLongDeadlines(cfg, opts)
			cfg.Settings.Limits.Cancel = canCancel
		}, first, second)
		client := g.dial()
		client.WriteText(longDeadlineRequest("lookup", "disconnecting"))
		testkit.WaitFor(t, "the attempt", received)
		closeClient(t, client)
		g.awaitDisconnect()
		close(release)
		g.awaitDisconnectedRequestEnd()
		response := g.lookup(testkit.Plan)
		if response.Status != http.StatusOK || first.Requests.Load()+second.Requests.Load() != 2 {
			t.Errorf("cancel %v: got %+v; %d and %d requests", canCancel, response,
				first.Requests.Load(), second.Requests.Load())
		}
	}
}

// A complete request must not be forwarded if its client has disconnected before the gateway accepts the connection.
func TestUnreadRequestIsNotForwardedAfterDisconnect(t *testing.T) {
	server := okServer(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const clients = 100 // without the check only some of the requests would be forwarded
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

// A client that has closed only its sending side still reads. It must not get an empty response of net/http, which it
// would take for the response of an endpoint.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	g, _ := startGatewayWith(t, withLongDeadlines)
	client := g.dial()
	client.WriteText(longDeadlineRequest("lookup", "half"))
	g.awaitOpen("half")
	client.CloseWrite()
	if response := client.ReadResponse(); response.Status != 0 {
		t.Errorf("got %+v", response)
	}
}
