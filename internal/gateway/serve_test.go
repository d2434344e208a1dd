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

// A rejection comes at once and says when to come back; the request never ran.
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
	if took := time.Since(startedAt); took > 2*time.Second { // of 5 s
		t.Errorf("the rejection took %v", took)
	}
	if server.Requests.Load() != 1 {
		t.Errorf("%d requests ran", server.Requests.Load())
	}
}

// A request that may have run and is not idempotent fails: it is neither rejected, which would invite the client to
// retry it, nor forwarded again.
func TestNonIdempotentRequestIsNotRetriedAfterError(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", true))
	g, _ := startGateway(t, server)
	response := g.do(g.request(http.MethodPost, payPath, testkit.Plan, "x", "5"))
	if response.Status != http.StatusBadGateway {
		t.Errorf("got %+v", response)
	}
	if server.Requests.Load() != 1 {
		t.Errorf("%d attempts", server.Requests.Load())
	}
}

// A request that an endpoint rejected never ran, so that any class of it goes to another endpoint.
func TestRejectedRequestIsRetriedElsewhere(t *testing.T) {
	full := testkit.NewServer(t, testkit.Reply(testkit.ResponseRejected, true))
	g, _ := startGateway(t, full, okServer(t))
	for range 8 {
		response := g.do(g.request(http.MethodPost, payPath, testkit.Plan, "x", "5"))
		if response.Status != http.StatusOK {
			t.Errorf("got %+v", response)
		}
	}
}

// A request to an endpoint that has vanished is answered before its deadline.
func TestSilentEndpointIsAnsweredBeforeDeadline(t *testing.T) {
	server := testkit.NewServer(t, testkit.Silent)
	g, _ := startGateway(t, server)
	startedAt := time.Now()
	response := g.do(g.request(http.MethodPost, payPath, testkit.Plan, "x", "1"))
	if took := time.Since(startedAt); response.Status != http.StatusBadGateway || took > 4*time.Second { // the class: 8 s
		t.Errorf("got %+v after %v", response, took)
	}
	testkit.WaitFor(t, "the closed connection", server.Closed)
}

// An endpoint would take a second request with the id of an open one for a copy of it.
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
		t.Errorf("the second: got %+v", response)
	}
	close(release)
	if response := testkit.Receive(t, "the first response", first); response.Status != http.StatusOK {
		t.Errorf("the first: got %+v", response)
	}
	if response := g.lookup(testkit.Plan); response.Status != http.StatusOK || server.Requests.Load() != 2 {
		t.Errorf("once it is over: got %+v, %d requests", response, server.Requests.Load())
	}
}

// HTTP/1.0 asks for no Host; such a request once used up its attempts without a byte sent.
func TestRequestWithoutHostIsServed(t *testing.T) {
	g, _ := startGateway(t, okServer(t))
	client := g.dial()
	client.WriteText("GET " + lookupPath + " HTTP/1.0\r\nReq-Id: a\r\nPlan: team\r\nReq-Deadline: 5\r\n" +
		"Quota-Info: units=2,spread=1,first=0\r\n\r\n")
	if response := client.ReadResponse(); response.Status != http.StatusOK {
		t.Errorf("got %+v", response)
	}
}

// Requests that follow an open one on the same connection are answered after it, in their order.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	received, release := make(chan struct{}, 10), make(chan struct{})
	server := testkit.NewServer(t, func(conn net.Conn, request *http.Request) bool {
		received <- struct{}{}
		<-release
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%s", request.Header.Get("Req-Id"))
		return err == nil
	})
	g, _ := startGatewayWith(t, slow, server)
	client := g.dial()
	client.WriteText(slowRequest("lookup", "1"))
	testkit.WaitFor(t, "the attempt", received)
	second := slowRequest("pay", "2")
	client.WriteText(second[:1]) // ends net/http's own watch over the connection
	client.WriteText(second[1:40])
	client.WriteText(second[40:] + slowRequest("lookup", "3"))
	close(release)
	for _, want := range []string{"1", "2", "3"} {
		if response := client.ReadResponse(); response.Status != http.StatusOK || response.Body != want {
			t.Errorf("got %+v, want %s", response, want)
		}
	}
}

// Names, methods and order of classes and plans are those of the settings; those of another deployment mean nothing.
func TestClassesAndPlansComeFromSettings(t *testing.T) {
	server := testkit.NewServer(t, func(conn net.Conn, request *http.Request) bool {
		if request.Method == http.MethodPost { // it ends without an answer: it may have run
			_, _ = io.Copy(io.Discard, request.Body) // the gateway notices a failure as well
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

// BenchmarkRequest is one request at a time, client and endpoint included.
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
