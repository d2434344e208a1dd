package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"springfield/internal/testkit"
)

// The tests of this file are about what a client sends behind a request on the same connection.

const healthRequest = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"

// answeredClient returns a connection on which one request has been answered.
func answeredClient(t *testing.T, g *testGateway) *testkit.Client {
	t.Helper()
	client := g.dial()
	client.WriteText(healthRequest)
	if response := client.ReadResponse(); response.Status != http.StatusOK || response.Close {
		t.Fatalf("got %+v", response)
	}
	return client
}

// ended returns a channel that is closed when the gateway has closed the connection.
func ended(client *testkit.Client) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, client.Reader) // a reset ends the connection as well
		close(closed)
	}()
	return closed
}

// partsOfFurtherRequests are what a client may have sent when it stops: too little for net/http to take it for the
// begin of a request, and a part of a head.
var partsOfFurtherRequests = []string{"G", "GET", "\r\n", "GET /health/ready HTTP/1.1\r\nHo"}

// A client that stops inside a further request is sent away as soon as one that stops inside its first. It once had the
// time of an idle connection.
func TestStalledFurtherRequestIsEndedBeforeIdleConnections(t *testing.T) {
	g, _ := startGateway(t)
	idle := ended(answeredClient(t, g))
	for _, part := range partsOfFurtherRequests {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			client := answeredClient(t, g)
			client.WriteText(part)
			select {
			case <-ended(client):
			case <-idle:
				t.Error("it outlasts an idle connection")
			}
		})
	}
}

// Nor does it hold up a shutdown for the time of an idle connection.
func TestStalledFurtherRequestDoesNotHoldUpShutdown(t *testing.T) {
	for _, part := range partsOfFurtherRequests {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			reference, _ := startGateway(t)
			idle := ended(answeredClient(t, reference))
			g, _ := startGatewayWith(t, slowWithShortDrainDelay)
			client := answeredClient(t, g)
			client.WriteText(part)
			testkit.Eventually(t, "the bytes", func() bool { return g.server.ActiveConnections() == 1 })
			g.stop()
			select {
			case err := <-g.ended:
				if err != nil {
					t.Error(err)
				}
			case <-idle:
				t.Error("the shutdown takes longer than an idle connection lasts")
			}
		})
	}
}

// holdFirst returns a server that answers the request with id "first" once it is released, and others at once.
func holdFirst(t *testing.T) (server *testkit.Server, received <-chan struct{}, release func()) {
	t.Helper()
	requests, released := make(chan struct{}, 1), make(chan struct{})
	server = testkit.NewServer(t, func(conn net.Conn, request *http.Request) bool {
		if request.Header.Get("Req-Id") == "first" {
			requests <- struct{}{}
			<-released
		}
		return testkit.Reply(testkit.ResponseOK, true)(conn, request)
	})
	return server, requests, func() { close(released) }
}

// Requests that a client has sent behind another one are answered in a drain, whole or finished only then: they were
// accepted. Only the last response on a connection closes it.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	second, third := slowRequest("pay", "second"), slowRequest("lookup", "third")
	for _, test := range []struct{ name, together, later string }{
		{"whole", second + third, ""},
		{"in part", second + third[:len(third)/2], third[len(third)/2:]},
		{"a byte", second + third[:1], third[1:]},
		{"without the last byte of a body", third + second[:len(second)-1], second[len(second)-1:]},
	} {
		for _, first := range []string{slowRequest("lookup", "first"), slowRequest("pay", "first")} {
			t.Run(test.name+" behind a "+first[:4], func(t *testing.T) {
				t.Parallel()
				server, received, release := holdFirst(t)
				g, _ := startGatewayWith(t, slowWithShortDrainDelay, server)
				client := g.dial()
				client.WriteText(first + test.together)
				testkit.WaitFor(t, "the attempt", received)
				g.stop()
				g.awaitListenerClosed()
				release()
				for i := range 3 {
					if i == 2 {
						client.WriteText(test.later)
					}
					response := client.ReadResponse()
					if response.Status != http.StatusOK || response.Body != "ok" || response.Close != (i == 2) {
						t.Fatalf("response %d: got %+v", i, response)
					}
				}
				g.wantShutdown()
			})
		}
	}
}

// A further request that comes byte by byte is answered.
func TestFurtherRequestInPiecesIsAnswered(t *testing.T) {
	g, _ := startGateway(t, okServer(t))
	client := answeredClient(t, g)
	for _, char := range slowRequest("pay", "pieces") {
		client.WriteText(string(char))
	}
	if response := client.ReadResponse(); response.Status != http.StatusOK {
		t.Errorf("got %+v", response)
	}
	if err := client.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}
