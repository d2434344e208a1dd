package frontend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"springfield/internal/testkit"
	"springfield/internal/upstream"
	"springfield/policy"
)

// An attempt must not be sent if its client has disconnected, even if net/http has not noticed that yet. It notices it
// late when the process was suspended or had no processor time.
func TestAttemptOfUnnoticedDisconnectIsNotSent(t *testing.T) {
	for _, disconnected := range []bool{false, true} {
		server := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true))
		conn, client := acceptOne(t, newTestListener(t))
		if disconnected {
			if err := client.Close(); err != nil {
				t.Fatal(err)
			}
			awaitDisconnect(t, conn)
		}
		ctx := context.WithValue(t.Context(), connectionKey{}, conn) // does not end with the connection
		request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/pay/0000000000000001", nil)
		pool := upstream.NewPool(upstream.Options{
			DialTimeout:    testkit.Timeout,
			IdleTimeout:    testkit.Timeout,
			MaxConnections: 1,
		})
		endpoint := pool.AddEndpoint(server.Address(), 0)
		endpoint.SetReady(true)
		t.Cleanup(endpoint.CloseReplaced)
		result := upstream.NewAttempt(endpoint, time.Now().Add(testkit.Timeout)).Do(newUpstreamRequest(request), nil)
		want := policy.StatusOK
		if disconnected {
			want = policy.StatusNotSent
		}
		if result.Status != want {
			t.Errorf("disconnected %v: the attempt ended with status %d, want %d", disconnected, result.Status, want)
		}
	}
}

// awaitDisconnect waits until the end of a client's connection has arrived.
func awaitDisconnect(t *testing.T, conn *clientConn) {
	t.Helper()
	if err := conn.TCPConn.SetReadDeadline(time.Now().Add(testkit.Timeout)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.TCPConn.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatalf("the read returned %d bytes and %v, want the end of the connection", n, err)
	}
}
