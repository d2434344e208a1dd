package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"springfield/internal/testkit"
)

// excessBytes is longer than what the gateway reads ahead.
var excessBytes = strings.Repeat("x", 64<<10)

// A request must be answered even if its client sends more bytes after it than the gateway reads ahead.
func TestRequestFollowedByExcessBytesIsAnswered(t *testing.T) {
	server, received, release := startServerHoldingFirst(t)
	g, _ := startGatewayWith(t, withLongDeadlines, server)
	client := g.dial()
	client.WriteText(longDeadlineRequest("lookup", "first"))
	testkit.WaitFor(t, "the attempt", received)
	client.WriteText(excessBytes)
	testkit.Eventually(t, "the read-ahead of the gateway", func() bool { return g.server.ReadAhead() > 0 })
	release()
	if response := client.ReadResponse(); response.Status != http.StatusOK {
		t.Errorf("got %+v", response)
	}
}

// A disconnect must be detected even if the client has sent more bytes after its request than the gateway reads ahead.
func TestExcessBytesDoNotHideDisconnect(t *testing.T) {
	server := okServer(t)
	g, registry := startGatewayWith(t, withLongDeadlines)
	client := g.dial()
	client.WriteText(longDeadlineRequest("lookup", "disconnecting"))
	g.awaitOpen("disconnecting")
	client.WriteText(excessBytes)
	closeClient(t, client)
	g.awaitDisconnectedRequestEnd()
	listServer(t, registry, server)
	g.wantOnlyLookup(server)
}

// A disconnect must be detected even if the client has sent many bytes after its request and disconnects before the
// request is read.
func TestExcessBytesDoNotHideDisconnectBeforeRead(t *testing.T) {
	server := okServer(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := testkit.Dial(t, listener.Addr().String())
	client.WriteText(testkit.RequestHead(http.MethodGet, "lookup", "gone", "5") + excessBytes)
	closeClient(t, client)
	cfg := testConfig(t, "127.0.0.1:1")
	cfg.Known = cachedList(server.Address())
	g := runGateway(t, cfg, listener, options{})
	g.wantOnlyLookup(server)
}
