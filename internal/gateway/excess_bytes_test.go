package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"springfield/internal/testkit"
)

// manyBytes are more than the gateway reads ahead.
var manyBytes = strings.Repeat("x", 64<<10)

// However much a client sends behind a request, the request is answered.
func TestRequestWithManyBytesBehindItIsAnswered(t *testing.T) {
	server, received, release := holdFirst(t)
	g, _ := startGatewayWith(t, slow, server)
	client := g.dial()
	client.WriteText(slowRequest("lookup", "first"))
	testkit.WaitFor(t, "the attempt", received)
	client.WriteText(manyBytes)
	testkit.Eventually(t, "that the gateway has read ahead", func() bool { return g.server.ReadAhead() > 0 })
	release()
	if response := client.ReadResponse(); response.Status != http.StatusOK {
		t.Errorf("got %+v", response)
	}
}

// Nor do they hide that the client has gone.
func TestManyBytesDoNotHideDeparture(t *testing.T) {
	server := okServer(t)
	g, registry := startGatewayWith(t, slow)
	client := g.dial()
	client.WriteText(slowRequest("lookup", "leaver"))
	g.awaitOpen("leaver")
	client.WriteText(manyBytes)
	closeClient(t, client)
	g.awaitLeaver()
	watch := testkit.Receive(t, "the watch", registry.Watches)
	send(t, watch, testkit.EndpointListJSON(2, true, testkit.EndpointLine("s", server.Address(), "up", 0)))
	g.wantOnlyLookup(server)
}

// The same holds for a client that has sent them and gone before its request is read.
func TestManyBytesDoNotHideEarlierDeparture(t *testing.T) {
	server := okServer(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := testkit.Dial(t, listener.Addr().String())
	client.WriteText(testkit.RequestHead(http.MethodGet, "lookup", "gone", "5") + manyBytes)
	closeClient(t, client)
	cfg := testConfig(t, "127.0.0.1:1")
	cfg.Known = cachedList(server.Address())
	g := runGateway(t, cfg, listener, options{})
	g.wantOnlyLookup(server)
}
