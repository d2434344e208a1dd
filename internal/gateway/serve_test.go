package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"springfield/internal/config"
	"springfield/internal/testkit"
)

// The path, the forwarded headers and the body of a request and of its response must pass the gateway unchanged.
func TestRequestAndResponsePassUnchanged(t *testing.T) {
	const path = "/add/eg%2Fcairo" + testkit.CustomerPath + "?q=%41&r"
	received := make(chan string, 1)
	server := testkit.NewServer(t, func(conn net.Conn, request *http.Request) bool {
		body, err := io.ReadAll(request.Body)
		received <- fmt.Sprint(request.Method, " ", request.RequestURI, " ", request.Header.Get("Req-Id"), " ",
			request.Header.Get("Idempotency-Key"), " ", string(body), " ", err)
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nContent-Length: 5\r\n\r\n<\x00\xff\r\n")
		return err == nil
	})
	g, _ := startGateway(t, server)
	response := g.do(g.request(http.MethodPost, path, testkit.Plan, "street=1", "5"))
	if response.Err != nil || response.Status != http.StatusOK || response.Body != "<\x00\xff\r\n" ||
		response.Header.Get("Content-Type") != "text/x" {
		t.Errorf("got %+v", response)
	}
	want := "POST " + path + " " + testkit.RequestID + " 5c0f street=1 <nil>"
	if got := testkit.Receive(t, "the forwarded request", received); got != want {
		t.Errorf("forwarded %q, want %q", got, want)
	}
}

// A request over the quota must be rejected at once, with the time after which to retry, and must not be forwarded.
func TestOverQuotaRequestIsRejectedAtOnce(t *testing.T) {
	server := okServer(t)
	g, _ := startGateway(t, server)
	if response := g.lookup("tight"); response.Status != http.StatusOK {
		t.Fatalf("got %+v", response)
	}
	startedAt := time.Now()
	response := g.lookup("tight")
	if response.Status != http.StatusServiceUnavailable || response.Header.Get("Retry-After") != "1.000" {
		t.Errorf("got %+v", response)
	}
	if took := time.Since(startedAt); took > 2*time.Second { // the deadline is 5 s
		t.Errorf("the rejection took %v", took)
	}
	if server.Requests.Load() != 1 {
		t.Errorf("the server received %d requests, want 1", server.Requests.Load())
	}
}

// A request that is not idempotent and may have run must fail. It must neither be rejected, which would invite the
// client to retry it, nor be forwarded again.
func TestNonIdempotentRequestIsNotRetriedAfterError(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", true))
	g, _ := startGateway(t, server)
	response := g.do(g.request(http.MethodPost, payPath, testkit.Plan, "x", "5"))
	if response.Status != http.StatusBadGateway {
		t.Errorf("got %+v", response)
	}
	if server.Requests.Load() != 1 {
		t.Errorf("%d attempts, want 1", server.Requests.Load())
	}
}

// A request that an endpoint has rejected has not run, so it must be retried on another endpoint whatever its class.
func TestRejectedRequestIsRetriedElsewhere(t *testing.T) {
	full := testkit.NewServer(t, testkit.Reply(testkit.ResponseRejected, true))
	g, _ := startGateway(t, full, okServer(t))
	for i := range 8 {
		request := g.request(http.MethodPost, payPath, testkit.Plan, "x", "5")
		request.Header.Set("Req-Id", fmt.Sprint("request-", i))
		response := g.do(request)
		if response.Status != http.StatusOK {
			t.Errorf("got %+v", response)
		}
	}
}

// A request to an endpoint that does not respond must be answered before the client's deadline.
func TestSilentEndpointIsAnsweredBeforeDeadline(t *testing.T) {
	server := testkit.NewServer(t, testkit.Silent)
	g, _ := startGateway(t, server)
	startedAt := time.Now()
	response := g.do(g.request(http.MethodPost, payPath, testkit.Plan, "x", "1"))
	if took := time.Since(startedAt); response.Status != http.StatusBadGateway || took > 4*time.Second { // of 8 s
		t.Errorf("got %+v after %v", response, took)
	}
	testkit.WaitFor(t, "the closed connection", server.Closed)
}

// A second request with the id of an open one must be rejected, because an endpoint would take it for a copy.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	received, release := make(chan struct{}, 2), make(chan struct{})
	server := testkit.NewServer(t, func(conn net.Conn, _ *http.Request) bool {
		received <- struct{}{}
		<-release
		_, err := io.WriteString(conn, testkit.ResponseOK)
		return err == nil
	})
	g, _ := startGateway(t, server)
	first := make(chan testkit.Response, 1)
	go func() { first <- g.lookup(testkit.Plan) }()
	testkit.WaitFor(t, "the attempt", received)
	if response := g.lookup(testkit.Plan); response.Status != http.StatusConflict || !response.Close {
		t.Errorf("the second request: got %+v", response)
	}
	close(release)
	if response := testkit.Receive(t, "the first response", first); response.Status != http.StatusOK {
		t.Errorf("the first request: got %+v", response)
	}
	if response := g.lookup(testkit.Plan); response.Status != http.StatusOK || server.Requests.Load() != 2 {
		t.Errorf("after the first request: got %+v, %d requests", response, server.Requests.Load())
	}
}

// HTTP/1.0 does not require a Host header. A request without one must be forwarded with a fallback Host, because
// net/http cannot write a request without a Host, and all its attempts would fail.
func TestRequestWithoutHostIsServed(t *testing.T) {
	g, _ := startGateway(t, okServer(t))
	client := g.dial()
	client.WriteText("GET " + lookupPath + " HTTP/1.0\r\nReq-Id: a\r\nPlan: team\r\nReq-Deadline: 5\r\n" +
		"Quota-Info: units=2,spread=1,first=0\r\n\r\n")
	if response := client.ReadResponse(); response.Status != http.StatusOK {
		t.Errorf("got %+v", response)
	}
}

// Pipelined requests must be answered in order, even if they arrive in parts while the first one is open.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	received, release := make(chan struct{}, 10), make(chan struct{})
	server := testkit.NewServer(t, func(conn net.Conn, request *http.Request) bool {
		received <- struct{}{}
		<-release
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%s", request.Header.Get("Req-Id"))
		return err == nil
	})
	g, _ := startGatewayWith(t, withLongDeadlines, server)
	client := g.dial()
	client.WriteText(longDeadlineRequest("lookup", "1"))
	testkit.WaitFor(t, "the attempt", received)
	second := longDeadlineRequest("pay", "2")
	client.WriteText(second[:1]) // ends the disconnect detection of net/http
	client.WriteText(second[1:40])
	client.WriteText(second[40:] + longDeadlineRequest("lookup", "3"))
	close(release)
	for _, want := range []string{"1", "2", "3"} {
		if response := client.ReadResponse(); response.Status != http.StatusOK || response.Body != want {
			t.Errorf("got %+v, want %s", response, want)
		}
	}
}

// The names, methods and order of classes and plans must come from the settings. Names of other deployments must be
// rejected.
func TestClassesAndPlansComeFromSettings(t *testing.T) {
	server := testkit.NewServer(t, func(conn net.Conn, request *http.Request) bool {
		if request.Method == http.MethodPost { // closes without a response, so the request may have run
			_, _ = io.Copy(io.Discard, request.Body) // the gateway detects a broken connection too
			return false
		}
		return testkit.Reply(testkit.ResponseOK, true)(conn, request)
	})
	g, _ := startGatewayWith(t, func(cfg *config.Config, _ *options) {
		cfg.Settings.Zones = nil
		classes, plans := cfg.Settings.Classes, cfg.Settings.Contracts
		classes[0].Name, classes[0].Repeat = "tallennus", "at_most_once"
		classes[1].Name, classes[1].Repeat = "haku", "idempotent"
		cfg.Settings.Classes = classes[:2]
		plans[0].Name = "kunta"
		cfg.Settings.Contracts = plans[:1]
	}, server)
	for _, c := range []struct {
		method, class, plan string
		want                int
		attempts            int32
	}{
		{http.MethodGet, "haku", "kunta", http.StatusOK, 1},
		{http.MethodPost, "tallennus", "kunta", http.StatusBadGateway, 1},
		{http.MethodGet, "tallennus", "kunta", http.StatusMethodNotAllowed, 0},
		{http.MethodPost, "haku", "kunta", http.StatusMethodNotAllowed, 0},
		{http.MethodGet, "lookup", "kunta", http.StatusNotFound, 0},
		{http.MethodGet, "haku", "team", http.StatusBadRequest, 0},
	} {
		before := server.Requests.Load()
		body := ""
		if c.method == http.MethodPost {
			body = "x"
		}
		response := g.do(g.request(c.method, "/"+c.class+testkit.CustomerPath, c.plan, body, "5"))
		if got := server.Requests.Load() - before; response.Status != c.want || got != c.attempts {
			t.Errorf("%+v: got %+v after %d attempts", c, response, got)
		}
	}
}

// BenchmarkRequest measures sequential requests, including the work of the client and the endpoint.
func BenchmarkRequest(b *testing.B) {
	g, _ := startGateway(b, okServer(b))
	b.ReportAllocs()
	for b.Loop() {
		response := g.lookup(testkit.Plan)
		if response.Status != http.StatusOK && response.Status != http.StatusServiceUnavailable {
			b.Fatalf("got %+v", response)
		}
	}
}
