package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"springfield/internal/testkit"
)

// healthRequest is a health check, which the gateway answers itself.
const healthRequest = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"

// dialAfterHealthRequest returns a new connection on which a health check has been answered.
func dialAfterHealthRequest(t *testing.T, g *testGateway) *testkit.Client {
	t.Helper()
	client := g.dial()
	client.WriteText(healthRequest)
	if response := client.ReadResponse(); response.Status != http.StatusOK || response.Close {
		t.Fatalf("got %+v", response)
	}
	return client
}

// ended returns a channel that is closed once the gateway has closed the connection.
func ended(client *testkit.Client) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, client.Reader) // a reset closes the connection as well
		close(closed)
	}()
	return closed
}

// incompleteRequests are the bytes that a client has sent of a further request when it stalls: too few for net/http to
// detect the start of a request, and a part of a head.
var incompleteRequests = []string{"G", "GET", "\r\n", "GET /health/ready HTTP/1.1\r\nHo"}

// A client that stalls inside a further request must be disconnected before the idle timeout, as if it stalled inside
// its first request. net/http alone applies the idle timeout to the first three bytes of a further request.
func TestStalledFurtherRequestIsClosedBeforeIdleTimeout(t *testing.T) {
	g, _ := startGateway(t)
	idle := ended(dialAfterHealthRequest(t, g))
	for _, part := range incompleteRequests {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			client := dialAfterHealthRequest(t, g)
			client.WriteText(part)
			select {
			case <-ended(client):
			case <-idle:
				t.Error("the connection outlasts an idle one")
			}
		})
	}
}

// A client that stalls inside a further request must not delay a shutdown until the idle timeout.
func TestStalledFurtherRequestDoesNotDelayShutdown(t *testing.T) {
	for _, part := range incompleteRequests {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			reference, _ := startGateway(t)
			idle := ended(dialAfterHealthRequest(t, reference))
			g, _ := startGatewayWith(t, withShortDrainDelay)
			client := dialAfterHealthRequest(t, g)
			client.WriteText(part)
			testkit.Eventually(t, "the bytes", func() bool { return g.server.ActiveConnections() == 1 })
			g.stop()
			select {
			case err := <-g.ended:
				if err != nil {
					t.Error(err)
				}
			case <-idle:
				t.Error("the shutdown takes longer than the idle timeout")
			}
		})
	}
}

// startServerHoldingFirst starts a server that answers the request with id "first" after a call of release, and others
// at once.
func startServerHoldingFirst(t *testing.T) (server *testkit.Server, received <-chan struct{}, release func()) {
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

// A drain must answer pipelined requests whose first byte was sent before the drain, because they count as accepted.
// Only the response to the last of them may close the connection.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	second, third := longDeadlineRequest("pay", "second"), longDeadlineRequest("lookup", "third")
	for _, test := range []struct{ name, together, later string }{
		{"whole", second + third, ""},
		{"in part", second + third[:len(third)/2], third[len(third)/2:]},
		{"a byte", second + third[:1], third[1:]},
		{"without the last byte of a body", third + second[:len(second)-1], second[len(second)-1:]},
	} {
		for _, first := range []string{longDeadlineRequest("lookup", "first"), longDeadlineRequest("pay", "first")} {
			t.Run(test.name+" after a "+first[:4], func(t *testing.T) {
				t.Parallel()
				server, received, release := startServerHoldingFirst(t)
				g, _ := startGatewayWith(t, withShortDrainDelay, server)
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

// A further request that arrives byte by byte must be answered. The time limits for its head must not close the
// connection.
func TestFurtherRequestSentByteByByteIsAnswered(t *testing.T) {
	g, _ := startGateway(t, okServer(t))
	client := dialAfterHealthRequest(t, g)
	for _, char := range longDeadlineRequest("pay", "pieces") {
		client.WriteText(string(char))
	}
	if response := client.ReadResponse(); response.Status != http.StatusOK {
		t.Errorf("got %+v", response)
	}
	if err := client.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}
