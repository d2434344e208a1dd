package discovery

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"springfield/internal/settings"
	"springfield/internal/testkit"
	"springfield/policy"
)

// scriptedDiscovery is a discovery service on in-memory connections, for tests on virtual time. It writes the texts of
// a response with a delay before each.
type scriptedDiscovery struct {
	list  []delayedText // response to a call for the complete list
	watch []delayedText // response to a watch, which stays open
	calls chan string   // receives the query of each call

	serving sync.WaitGroup
}

type delayedText struct {
	pause time.Duration
	text  string
}

// dial opens a connection to the service. It has the signature of http.Transport.DialContext.
func (d *scriptedDiscovery) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	d.serving.Go(func() { d.serve(server) })
	return client, nil
}

func (d *scriptedDiscovery) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // fails if the client has closed the pipe
	buffer := make([]byte, 4<<10)
	n, err := conn.Read(buffer)
	if err != nil {
		return
	}
	head, _, _ := strings.Cut(string(buffer[:n]), " HTTP/")
	_, query, _ := strings.Cut(head, "?")
	d.calls <- query
	response := d.list
	if query != "" {
		response = d.watch
	}
	for _, part := range response {
		time.Sleep(part.pause)
		if _, err := io.WriteString(conn, part.text); err != nil {
			return
		}
	}
	_, _ = conn.Read(buffer) // returns once the client has closed the connection
}

// newScriptedClient returns a client of the service. The client must have stopped by the end of the test.
func newScriptedClient(t *testing.T, service *scriptedDiscovery) (*Client, *recordingSink) {
	t.Helper()
	t.Cleanup(service.serving.Wait)
	sink := newRecordingSink()
	client := NewClient(Options{Address: "discovery:1", Pacing: PacingFor(&settings.Settings{}), Seed: 1}, sink)
	client.http.Transport = &http.Transport{DialContext: service.dial}
	return client, sink
}

const listHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// splitResponse returns a response that lists one endpoint, split into parts with a pause before each.
func splitResponse(parts int, pause time.Duration, version int, full bool) (list []delayedText) {
	text := testkit.EndpointListJSON(version, full, testkit.EndpointLine("a", "127.0.0.1:1", "up", 0)) + "\n"
	list = append(list, delayedText{text: listHead})
	for i := range parts {
		from, to := len(text)*i/parts, len(text)*(i+1)/parts
		list = append(list, delayedText{pause: pause, text: text[from:to]})
	}
	return list
}

// A list that arrives slowly must be read, however long it takes: only silence ends a call. A time limit on the whole
// transfer would cut off such a list at each attempt.
func TestSlowListIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const parts, pause = 9, 500 * time.Millisecond
		service := &scriptedDiscovery{list: splitResponse(parts, pause, 7, true), calls: make(chan string, 100)}
		client, sink := newScriptedClient(t, service)
		began := time.Now()
		runClientForTest(t, client)
		update := sink.next(t)
		if took := time.Since(began); len(update.Endpoints) != 1 || took != parts*pause {
			t.Errorf("got update %+v after %v", update, took)
		}
		<-service.calls
		if query := <-service.calls; query != "watch=1&after=7" {
			t.Errorf("the next call has the query %q, want a watch from version 7", query)
		}
	})
}

// A change that arrives slowly must be read, however long it takes, without a new call.
func TestSlowChangeIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const parts, pause = 9, 500 * time.Millisecond
		service := &scriptedDiscovery{
			list:  splitResponse(1, 0, 7, true),
			watch: splitResponse(parts, pause, 8, false),
			calls: make(chan string, 100),
		}
		client, sink := newScriptedClient(t, service)
		runClientForTest(t, client)
		sink.next(t)
		if update := sink.next(t); update.Kind != policy.UpdateDelta || len(update.Endpoints) != 1 {
			t.Errorf("got %+v", update)
		}
		if calls := len(service.calls); calls != 2 {
			t.Errorf("%d calls, want a list and a watch", calls)
		}
	})
}

// A list that stops in the middle must be abandoned after the silence timeout. The next call must follow with almost
// no pause, because the gateway is treated as notified of the list 6 s after the first call began.
func TestStalledListCallIsAbandonedAndRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const parts, pause = 4, time.Second
		list := splitResponse(parts, pause, 7, true)
		service := &scriptedDiscovery{list: list[:parts], calls: make(chan string, 100)}
		client, _ := newScriptedClient(t, service)
		runClientForTest(t, client)
		<-service.calls
		began := time.Now()
		<-service.calls
		const lastByteAfter = (parts - 1) * pause
		const earliest = lastByteAfter + watchTimeout
		if took := time.Since(began); took < earliest || took > earliest+minInitialBackoff {
			t.Errorf("called again after %v, want the silence timeout and a short pause", took)
		}
	})
}
