package frontend

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"springfield/internal/clock"
	"springfield/internal/config"
	"springfield/internal/eventloop"
	"springfield/internal/memory"
	"springfield/internal/testkit"
	"springfield/internal/upstream"
)

// observedLoop is an event loop without endpoints, in which requests wait.
type observedLoop struct {
	*eventloop.Loop
	submitted chan<- struct{} // receives a value before each submission
}

// Submit implements Engine.
func (l observedLoop) Submit(call *eventloop.Call) {
	l.submitted <- struct{}{}
	l.Loop.Submit(call)
}

// longBody is the longest body that a request may have.
var longBody = strings.Repeat("x", upstream.MaxBodyBytes)

// startMemoryServer starts a server whose budget holds one long body. Requests wait long enough for memory, also on a
// slow machine. The channel must be read for each complete request.
func startMemoryServer(t *testing.T) (server *Server, address string, submitted <-chan struct{}) {
	t.Helper()
	cfg := config.Config{Settings: testkit.Settings(t)}
	testkit.ExtendDeadlines(&cfg.Settings)
	gatewayClock, submissions := clock.New(), make(chan struct{})
	loop := eventloop.New(gatewayClock, cfg.PolicyConfig(1), upstream.NewPool(upstream.Options{}))
	go loop.Run(t.Context())
	server = NewServer(Options{
		Clock: gatewayClock, Engine: observedLoop{loop, submissions}, Settings: &cfg.Settings,
		MaxConnections: testLimit, LongestDeadline: cfg.LongestDeadline(),
	})
	server.limiter.memory = memory.NewBudget(len(longBody))
	server.limiter.maxMemoryWait = testkit.Timeout
	listener := newTestListener(t)
	go func() { _ = server.Serve(listener.listener) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })            // the test is over
	return server, listener.Addr().String(), submissions
}

// bodyRequest returns a request with the body.
func bodyRequest(id, body string) string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	head := testkit.RequestHead(http.MethodPost, "pay", id, "100")
	return strings.Replace(head, "Content-Length: 1\r\n", length, 1) + body
}

// Clients that stop in a long body must not hold memory that a whole request needs, and the memory of all bodies must
// stay within its budget. Hundreds of such clients took a gateway over its memory limit.
func TestStalledBodyMakesRoomInMemory(t *testing.T) {
	server, address, submitted := startMemoryServer(t)
	stalled := testkit.Dial(t, address)
	text := bodyRequest("stalled", longBody)
	stalled.WriteText(text[:len(text)-1])
	testkit.Eventually(t, "the reservation", func() bool { return server.limiter.memory.InUse() == len(longBody) })

	whole := testkit.Dial(t, address)
	whole.WriteText(bodyRequest("whole", longBody))
	if response := stalled.ReadResponse(); response.Status != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("the stalled request: got %+v, want a rejection that closes the connection", response)
	}
	testkit.Eventually(t, "the other reservation", func() bool { return server.limiter.memory.InUse() == len(longBody) })
	testkit.WaitFor(t, "the whole request", submitted)
	whole.Reset()
	testkit.Eventually(t, "the release", func() bool { return server.limiter.memory.InUse() == 0 })
}

// A request for whose body there is no memory must be rejected in time, as one that may be repeated. Its client must
// get the response although its body was not used.
func TestRequestWithoutMemoryIsRejected(t *testing.T) {
	server, address, _ := startMemoryServer(t)
	server.limiter.maxMemoryWait = time.Millisecond
	if !server.limiter.memory.TryReserve(1) {
		t.Fatal("the budget is short")
	}
	client := testkit.Dial(t, address)
	client.WriteText(bodyRequest("long", longBody))
	response := client.ReadResponse()
	if response.Status != http.StatusServiceUnavailable || !response.Close || response.Header.Get("Retry-After") == "" {
		t.Errorf("got %+v, want a rejection with Retry-After that closes the connection", response)
	}
	if inUse := server.limiter.memory.InUse(); inUse != 1 {
		t.Errorf("%d bytes are reserved, want 1", inUse)
	}
}

// A short body must not wait for memory, since clients with long ones would hold up all others.
func TestShortBodyNeedsNoReservation(t *testing.T) {
	server, address, submitted := startMemoryServer(t)
	if !server.limiter.memory.TryReserve(upstream.MaxBodyBytes) {
		t.Fatal("the budget is short")
	}
	client := testkit.Dial(t, address)
	client.WriteText(bodyRequest("short", longBody[:smallBodyBytes]))
	testkit.WaitFor(t, "the request", submitted)
	client.Reset()
	testkit.Eventually(t, "the end of the request", func() bool { return server.OpenConnections() == 0 })
}

// Memory must be released however a request ends: by an eviction, an invalid rest, a disconnect or a time-out.
func TestMemoryIsReleasedAfterEveryEnd(t *testing.T) {
	server, address, _ := startMemoryServer(t)
	text := bodyRequest("incomplete", longBody)
	for name, end := range map[string]func(*testkit.Client){
		"reset":      (*testkit.Client).Reset,
		"disconnect": (*testkit.Client).CloseWrite,
		"eviction": func(*testkit.Client) {
			testkit.Eventually(t, "the eviction", func() bool {
				return server.limiter.evictStalledBody(time.Now().Add(time.Hour))
			})
		},
		"time-out": func(*testkit.Client) {},
	} {
		client := testkit.Dial(t, address)
		client.WriteText(text[:len(text)-1])
		testkit.Eventually(t, "the reservation", func() bool { return server.limiter.memory.InUse() > 0 })
		end(client)
		testkit.Eventually(t, "the release after "+name, func() bool { return server.limiter.memory.InUse() == 0 })
	}
}
