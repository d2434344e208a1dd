package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"springfield/internal/config"
	"springfield/internal/testkit"
)

// A drain must answer requests in flight, serve new connections for some time, and close idle connections. Each
// response must close its connection.
func TestDrainAnswersOpenAndNewRequests(t *testing.T) {
	received, release := make(chan struct{}, 10), make(chan struct{})
	server := testkit.NewServer(t, func(conn net.Conn, request *http.Request) bool {
		if request.Method == http.MethodPost {
			received <- struct{}{}
			<-release
		}
		_, err := io.WriteString(conn, testkit.ResponseOK)
		return err == nil
	})
	g, _ := startGatewayWith(t, func(_ *config.Config, opts *options) {
		opts.drainDelay = 3 * time.Second // long enough on a busy machine
	}, server)
	idle := g.dial()
	idle.WriteText("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if response := idle.ReadResponse(); response.Status != http.StatusOK || response.Close {
		t.Fatalf("got %+v", response)
	}
	request := g.request(http.MethodPost, payPath, testkit.Plan, "x", "8")
	request.Header["Req-Id"] = []string{"another"}
	inFlight := make(chan testkit.Response, 1)
	go func() { inFlight <- g.do(request) }()
	testkit.WaitFor(t, "the attempt", received)

	g.stop()
	testkit.Eventually(t, "the drain", func() bool {
		response, err := http.Get("http://" + g.address + "/health/ready")
		if err != nil {
			t.Fatalf("a new connection: %v", err)
		}
		_ = response.Body.Close() // it is empty
		return response.StatusCode == http.StatusServiceUnavailable && response.Close
	})
	for _, connection := range []string{"an open", "a new"} {
		if response := g.lookup(testkit.Plan); response.Status != http.StatusOK || !response.Close {
			t.Errorf("on %s connection: got %+v", connection, response)
		}
	}
	if _, err := idle.Reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v", err)
	}
	close(release)
	response := testkit.Receive(t, "the response in flight", inFlight)
	// After a response without Connection: close the client could send another request, which might get no response.
	if response.Status != http.StatusOK || response.Body != "ok" || !response.Close {
		t.Errorf("in flight: got %+v", response)
	}
	g.wantShutdown()
}

// withShortDrainDelay makes a drain close the listener at once and gives requests long deadlines.
func withShortDrainDelay(cfg *config.Config, opts *options) {
	withLongDeadlines(cfg, opts)
	opts.drainDelay = time.Millisecond
}

// wantLastResponse checks that the client gets a response that closes its connection, and that the gateway ends then.
func wantLastResponse(t *testing.T, g *testGateway, client *testkit.Client) {
	t.Helper()
	response := client.ReadResponse()
	if response.Status != http.StatusOK || response.Body != "ok" || !response.Close {
		t.Errorf("got %+v", response)
	}
	g.wantShutdown()
}

// A request that waits for a dial to an endpoint when the listener closes must be answered before the gateway ends.
func TestDrainAnswersRequestWaitingForDial(t *testing.T) {
	gate := testkit.NewDialGate()
	g, _ := startGatewayWith(t, func(cfg *config.Config, opts *options) {
		withShortDrainDelay(cfg, opts)
		opts.dial = gate.Dial
	}, okServer(t))
	client := g.dial()
	client.WriteText(longDeadlineRequest("lookup", "a"))
	testkit.WaitFor(t, "the dial", gate.Dialing)
	g.stop()
	g.awaitListenerClosed()
	gate.Open()
	wantLastResponse(t, g, client)
}

// A request that has been read only in part when the listener closes must be answered before the gateway ends.
func TestDrainAnswersPartlyReadRequest(t *testing.T) {
	for _, text := range []string{longDeadlineRequest("lookup", "a"), longDeadlineRequest("pay", "a")} {
		for _, part := range []int{1, len(text) - 1} {
			t.Run(fmt.Sprintf("%s, %d of %d bytes", text[:4], part, len(text)), func(t *testing.T) {
				g, _ := startGatewayWith(t, withShortDrainDelay, okServer(t))
				client := g.dial()
				client.WriteText(text[:part])
				testkit.Eventually(t, "the first bytes", func() bool { return g.server.ActiveConnections() == 1 })
				g.stop()
				g.awaitListenerClosed()
				client.WriteText(text[part:])
				wantLastResponse(t, g, client)
			})
		}
	}
}

// A request that is queued for lack of endpoints when the listener closes must be answered before the gateway ends.
func TestDrainAnswersQueuedRequest(t *testing.T) {
	const objectiveMS = 16_000 // queued requests are retried every second
	g, registry := startGatewayWith(t, func(cfg *config.Config, opts *options) {
		withShortDrainDelay(cfg, opts)
		cfg.Settings.Classes[0].AimMs = objectiveMS
	})
	client := g.dial()
	client.WriteText(longDeadlineRequest("lookup", "a"))
	g.awaitOpen("a")
	g.stop()
	g.awaitListenerClosed()
	server := okServer(t)
	listServer(t, registry, server)
	wantLastResponse(t, g, client)
}
