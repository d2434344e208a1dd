package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"springfield/internal/testkit"
)

// writeUntilBlocked writes copies of the text until the connection takes no more, because the gateway does not read.
// The end of the connection then stays behind these bytes.
func writeUntilBlocked(t *testing.T, client *testkit.Client, text string) {
	t.Helper()
	const timeout = 200 * time.Millisecond // for one write; a write that is only slow is repeated
	chunk := strings.Repeat(text, 1<<20/len(text))
	for blocked := false; !blocked; {
		if err := client.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			t.Fatal(err)
		}
		n, err := io.WriteString(client.Conn, chunk)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
		blocked = err != nil && n == 0
	}
}

// A request must not be forwarded after its client has closed the connection, although the client has sent so much
// behind it that the end of the connection cannot reach the gateway. Neither must the further requests.
func TestMuchUnreadDoesNotHideDisconnect(t *testing.T) {
	server := okServer(t)
	g, registry := startGatewayWith(t, withLongDeadlines)
	client := g.dial()
	client.WriteText(longDeadlineRequest("lookup", "disconnecting"))
	g.awaitOpen("disconnecting")
	writeUntilBlocked(t, client, longDeadlineRequest("pay", "further"))
	closeClient(t, client)
	listServer(t, registry, server)
	g.awaitDisconnectedRequestEnd()
	g.wantOnlyLookup(server)
}

// A request that is read while much waits unread behind it must be rejected, since its client may have left, but must
// not be lost: the client may still be there. Once less waits, requests must be forwarded again.
func TestRequestBeforeMuchUnreadIsRejected(t *testing.T) {
	server := okServer(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const requests = 300
	client := testkit.Dial(t, listener.Addr().String())
	var text strings.Builder
	for i := range requests {
		text.WriteString(longDeadlineRequest("pay", fmt.Sprint("request-", i)))
	}
	client.WriteText(text.String())
	cfg := testConfig(t, "127.0.0.1:1")
	cfg.Known = cachedList(server.Address())
	testkit.ExtendDeadlines(&cfg.Settings)
	runGateway(t, cfg, listener, options{})
	for i := range requests {
		response := client.ReadResponse()
		if response.Err != nil {
			t.Fatalf("request %d: %v", i, response.Err)
		}
		if i == 0 && response.Status != http.StatusServiceUnavailable || i == requests-1 && response.Status != http.StatusOK {
			t.Errorf("request %d: got %+v", i, response)
		}
	}
}
