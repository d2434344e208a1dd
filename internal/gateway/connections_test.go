package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"springfield/internal/config"
	"springfield/internal/testkit"
)

// withFewDescriptors sets a descriptor limit that leaves 5 connections for clients.
func withFewDescriptors(cfg *config.Config, _ *options) { cfg.Limits.Sockets = 10 }

// fillWithRequests makes requests that wait for an endpoint take up all connections of withFewDescriptors.
func (g *testGateway) fillWithRequests() {
	g.t.Helper()
	const connections = 5
	for i := range connections {
		id := fmt.Sprint("waiting-", i)
		g.dial().WriteText(longDeadlineRequest("lookup", id))
		g.awaitOpen(id)
	}
}

// When the client connections exceed their share of the descriptors, idle connections must be closed, and each new
// connection must be served.
func TestIdleConnectionsAreEvictedAtLimit(t *testing.T) {
	g, _ := startGatewayWith(t, withFewDescriptors, okServer(t))
	g.client.CloseIdleConnections()
	const connections, evictions = 12, 5
	var clients []*testkit.Client
	for i := range connections {
		client := g.dial()
		client.WriteText("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if response := client.ReadResponse(); response.Status != http.StatusOK {
			t.Fatalf("connection %d: got %+v", i, response)
		}
		clients = append(clients, client)
	}
	evicted := make(chan struct{}, connections)
	for _, client := range clients {
		go func() {
			if _, err := client.Reader.ReadByte(); errors.Is(err, io.EOF) {
				evicted <- struct{}{}
			}
		}()
	}
	for range evictions {
		testkit.WaitFor(t, "a closed connection", evicted)
	}
}

// Connections that send nothing must not block other clients, even if there are more of them than the limit allows.
func TestSilentConnectionsAreEvictedAtLimit(t *testing.T) {
	g, _ := startGatewayWith(t, withFewDescriptors, okServer(t))
	for range 40 {
		g.dial()
	}
	g.client.CloseIdleConnections()
	if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
		t.Errorf("got %+v", response)
	}
}

// A connection must be closed after a timeout if its request does not become complete, even if no byte arrives at all.
// A request with an incomplete body gets status 408.
func TestConnectionWithIncompleteRequestIsClosed(t *testing.T) {
	g, _ := startGateway(t)
	for _, text := range []string{
		"",
		"POST /add",
		"POST " + addPath + " HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nPlan: team\r\nReq-Deadline: 5\r\n" +
			"Idempotency-Key: k\r\nQuota-Info: units=1,spread=1,first=0\r\nContent-Length: 9\r\n\r\nhalf",
	} {
		client := g.dial()
		client.WriteText(text)
		all, err := io.ReadAll(client.Reader)
		if err != nil || strings.HasSuffix(text, "half") != strings.Contains(string(all), " 408 ") {
			t.Errorf("%q: got %q, %v", text, all, err)
		}
	}
}

// wantStoppedClientRejected checks that a request of a new connection is served, and that one of the stopped clients,
// whose next statuses arrive on the channel, is rejected to make room for it.
func (g *testGateway) wantStoppedClientRejected(statuses <-chan int) {
	g.t.Helper()
	if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
		g.t.Errorf("got %+v", response)
	}
	status := testkit.Receive(g.t, "the end of a stopped request", statuses)
	if status != http.StatusServiceUnavailable {
		g.t.Errorf("the first stopped request to end got status %d, want 503", status)
	}
}

// Clients that stop in the middle of a body must not hold up the request of a new connection until their bodies time
// out. One of them must be rejected to make room.
func TestStoppedClientsHoldUpNoRequest(t *testing.T) {
	g, _ := startGatewayWith(t, withFewDescriptors, okServer(t))
	g.awaitNoConnections()
	const connections = 5
	statuses := make(chan int, connections)
	for i := range connections {
		client := g.dial()
		request := longDeadlineRequest("pay", fmt.Sprint("stopped-", i))
		client.WriteText(request[:len(request)-1])
		go func() { statuses <- client.ReadResponse().Status }()
	}
	g.wantStoppedClientRejected(statuses)
}

// Clients that stop in the head of a further request must not hold up the request of a new connection until their heads
// time out. One of them must be rejected to make room.
func TestStoppedFurtherHeadsHoldUpNoRequest(t *testing.T) {
	g, _ := startGatewayWith(t, withFewDescriptors, okServer(t))
	g.awaitNoConnections()
	const connections = 5
	statuses := make(chan int, connections)
	for range connections {
		client := g.dial()
		client.WriteText(healthRequest + healthRequest[:len(healthRequest)/2])
		if response := client.ReadResponse(); response.Status != http.StatusOK || response.Close {
			t.Fatalf("the first request: got %+v", response)
		}
		go func() { statuses <- client.ReadResponse().Status }()
	}
	g.wantStoppedClientRejected(statuses)
}

// A client for whose connection there is no room must not keep the next connections waiting if it stops in the head of
// a further request. Its request must be rejected at once instead of timing out.
func TestStoppedClientWithoutRoomHoldsUpNoRequest(t *testing.T) {
	g, _ := startGatewayWith(t, func(cfg *config.Config, opts *options) {
		withFewDescriptors(cfg, opts)
		withLongDeadlines(cfg, opts)
	})
	g.awaitNoConnections()
	g.fillWithRequests()
	for i := range 5 {
		client := g.dial()
		request := longDeadlineRequest("lookup", fmt.Sprint("stopping-", i))
		client.WriteText(request + request[:len(request)/2])
		for range 2 {
			if response := client.ReadResponse(); response.Status != http.StatusServiceUnavailable {
				t.Errorf("client %d: got %+v, want a rejection of each request", i, response)
			}
		}
	}
}

// A request that comes while active requests take up all connections must be rejected in time. If it waited in the
// accept queue, it would get no answer before one of them ends.
func TestRequestWithoutRoomIsRejected(t *testing.T) {
	g, _ := startGatewayWith(t, func(cfg *config.Config, opts *options) {
		withFewDescriptors(cfg, opts)
		withLongDeadlines(cfg, opts)
	})
	g.awaitNoConnections()
	g.fillWithRequests()
	for i := range 10 {
		client := g.dial()
		client.WriteText(longDeadlineRequest("lookup", fmt.Sprint("extra-", i)))
		if response := client.ReadResponse(); response.Status != http.StatusServiceUnavailable || !response.Close {
			t.Errorf("request %d: got %+v, want a rejection that closes the connection", i, response)
		}
	}
}
