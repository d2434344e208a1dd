package discovery

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"springfield/internal/settings"
	"springfield/internal/testkit"
)

const updateCapacity = 16

// recordingSink applies updates at once and keeps them for the test.
type recordingSink struct {
	updates chan Update
}

func newRecordingSink() *recordingSink {
	return &recordingSink{updates: make(chan Update, updateCapacity)}
}

func (s *recordingSink) PublishEndpoints(ctx context.Context, update Update) (<-chan struct{}, error) {
	applied := make(chan struct{})
	close(applied)
	select {
	case s.updates <- update:
		return applied, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *recordingSink) next(t *testing.T) Update {
	t.Helper()
	return testkit.Receive(t, "an update", s.updates)
}

// newTestClient returns a client with the pacing for an agent at the address, and its sink.
func newTestClient(address string) (*Client, *recordingSink) {
	sink := newRecordingSink()
	return NewClient(Options{Address: address, Pacing: PacingFor(&settings.Settings{}), Seed: 1}, sink), sink
}

// runClient runs the client until stop is called. stop returns once Run has returned.
func runClient(t *testing.T, client *Client) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { client.Run(ctx); close(ended) }()
	return func() {
		t.Helper()
		cancel()
		testkit.WaitFor(t, "the end of the client", ended)
	}
}

// runClientForTest runs the client until the end of the test.
func runClientForTest(t *testing.T, client *Client) {
	t.Helper()
	stop := runClient(t, client)
	t.Cleanup(stop)
}

// newServer starts a discovery service that responds as the handler does.
func newServer(t *testing.T, handler http.HandlerFunc) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func isWatch(request *http.Request) bool { return request.URL.Query().Get("watch") != "" }

// writeText writes text to a client that may have disconnected.
func writeText(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

func flush(w http.ResponseWriter) { w.(http.Flusher).Flush() }
