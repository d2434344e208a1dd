package gateway

import (
	"net/http"
	"testing"

	"springfield/internal/config"
	"springfield/internal/testkit"
)

// A request that must not run twice must not be sent again if it comes again under the same ID after its client has
// left, because the first copy may have run.
func TestRequestOfLeftClientDoesNotRunTwice(t *testing.T) {
	for _, canCancel := range []bool{true, false} {
		server, received, release := startServerHoldingFirst(t)
		g, _ := startGatewayWith(t, func(cfg *config.Config, opts *options) {
			withLongDeadlines(cfg, opts)
			cfg.Settings.Limits.Cancel = canCancel
		}, server)
		client := g.dial()
		client.WriteText(longDeadlineRequest("pay", "first"))
		testkit.WaitFor(t, "the attempt", received)
		closeClient(t, client)
		testkit.WaitFor(t, "the disconnect", g.disconnected)
		release()
		testkit.Eventually(t, "the end of the request", func() bool { return !g.server.RequestOpen("first") })
		again := g.dial()
		again.WriteText(longDeadlineRequest("pay", "first"))
		if response := again.ReadResponse(); response.Status != http.StatusConflict {
			t.Errorf("cancel %v: the same request got %+v, want status 409", canCancel, response)
		}
		other := g.dial()
		other.WriteText(longDeadlineRequest("pay", "other"))
		if response := other.ReadResponse(); response.Status != http.StatusOK || server.Requests.Load() != 2 {
			t.Errorf("cancel %v: another request got %+v; %d requests were sent", canCancel, response, server.Requests.Load())
		}
	}
}

// A request whose class may be repeated, or that was never sent, must be served when it comes again under its ID.
func TestHarmlessRequestMayComeAgain(t *testing.T) {
	rejecting := testkit.NewServer(t, testkit.Reply(testkit.ResponseRejected, true))
	g, _ := startGateway(t, rejecting)
	for range 2 {
		client := g.dial()
		client.WriteText(longDeadlineRequest("pay", "rejected"))
		if response := client.ReadResponse(); response.Status != http.StatusServiceUnavailable {
			t.Errorf("a rejected request: got %+v", response)
		}
	}
	g, _ = startGateway(t, okServer(t))
	for range 2 {
		client := g.dial()
		client.WriteText(longDeadlineRequest("lookup", "repeated"))
		if response := client.ReadResponse(); response.Status != http.StatusOK {
			t.Errorf("a request that may be repeated: got %+v", response)
		}
	}
}
