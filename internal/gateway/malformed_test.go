package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"springfield/internal/testkit"
)

// malformedRequest is a request that must be answered with an error status and not forwarded.
type malformedRequest struct {
	line    string
	headers []string
	body    string
	want    string // status of the response
}

const (
	getLine    = "GET " + lookupPath + " HTTP/1.1"
	postLine   = "POST " + addPath + " HTTP/1.1"
	get10Line  = "GET " + lookupPath + " HTTP/1.0"
	post10Line = "POST " + addPath + " HTTP/1.0"
)

// validHeaders are the headers of a valid lookup.
var validHeaders = []string{"Req-Id: a", "Plan: team", "Req-Deadline: 5", "Quota-Info: units=2,spread=1,first=0"}

// headersWith returns validHeaders without those that begin with dropped, unless that is "", followed by more headers.
func headersWith(dropped string, more ...string) []string {
	var headers []string
	for _, header := range validHeaders {
		if dropped == "" || !strings.HasPrefix(header, dropped) {
			headers = append(headers, header)
		}
	}
	return append(headers, more...)
}

// headersWithKey returns validHeaders with an idempotency key, followed by more headers.
func headersWithKey(more ...string) []string {
	return append(headersWith("", "Idempotency-Key: k"), more...)
}

var malformedPaths = []malformedRequest{
	{"GET /nothing" + testkit.CustomerPath + " HTTP/1.1", validHeaders, "", "404"},
	{"GET / HTTP/1.1", validHeaders, "", "404"},
	{"GET /lookup HTTP/1.1", validHeaders, "", "404"},
	{"OPTIONS * HTTP/1.1", validHeaders, "", "404"},
	{"GET /health/live HTTP/1.1", nil, "", "404"},
	{"GET /lookup/ HTTP/1.1", validHeaders, "", "400"},
	{"GET /lookup/b4d65521 HTTP/1.1", validHeaders, "", "400"},
	{"GET /lookup/-0000000b4d65521 HTTP/1.1", validHeaders, "", "400"},
	{"GET /lookup/0000000200000000 HTTP/1.1", validHeaders, "", "400"},
	{"POST " + lookupPath + " HTTP/1.1", validHeaders, "", "405"},
	{"GET " + addPath + " HTTP/1.1", validHeaders, "", "405"},
	{"GET", validHeaders, "", "400"},
}

var malformedHeaders = []malformedRequest{
	{getLine, headersWith("Req-Id"), "", "400"},
	{getLine, headersWith("", "Req-Id: b"), "", "400"},
	{getLine, headersWith("Plan"), "", "400"},
	{getLine, headersWith("Plan", "Plan: none"), "", "400"},
	{getLine, headersWith("", "Plan: team"), "", "400"},
	{getLine, headersWith("Req-Deadline"), "", "400"},
	{getLine, headersWith("Req-Deadline", "Req-Deadline: NaN"), "", "400"},
	{getLine, headersWith("Req-Deadline", "Req-Deadline: -1"), "", "400"},
	{getLine, headersWith("", "Req-Deadline: 5"), "", "400"},
	{getLine, headersWith("Req-Deadline", "Req-Deadline: Inf"), "", "400"},
	{getLine, headersWith("Req-Deadline", "Req-Deadline: 0x1p3"), "", "400"},
	{getLine, headersWith("Req-Deadline", "Req-Deadline: 1e3"), "", "400"},
	{getLine, headersWith("Req-Deadline", "Req-Deadline: +5"), "", "400"},
	{getLine, headersWith("Req-Deadline", "Req-Deadline: 1.2.3"), "", "400"},
	{getLine, headersWith("Req-Deadline", "Req-Deadline: 0"), "", "400"},
	{getLine, headersWith("", "X: "+strings.Repeat("x", 40<<10)), "", "431"},
}

var malformedQuotaInfo = []malformedRequest{
	{getLine, headersWith("Quota-Info"), "", "400"},
	{getLine, headersWith("Quota-Info", "Quota-Info: units=NaN,spread=1,first=0"), "", "400"},
	{getLine, headersWith("Quota-Info", "Quota-Info: units=1e300,spread=1,first=0"), "", "400"},
	{getLine, headersWith("Quota-Info", "Quota-Info: units=1,spread=0,first=0"), "", "400"},
	{getLine, headersWith("Quota-Info", "Quota-Info: units=1,spread=1,first=1"), "", "400"},
	{getLine, headersWith("Quota-Info", "Quota-Info: units=1,spread=1,first=-1"), "", "400"},
	{getLine, headersWith("Quota-Info", "Quota-Info: units=1,spread=1,first=0,units=2"), "", "400"},
	{getLine, headersWith("Quota-Info", "Quota-Info: units=1,spread=1,first=0,more=1"), "", "400"},
	{getLine, headersWith("Quota-Info", "Quota-Info: units=1,spread=1,first=0,"), "", "400"},
	{getLine, headersWith("Quota-Info", "Quota-Info: units=1,spread=1"), "", "400"},
	{getLine, headersWith("Quota-Info", "Quota-Info: units=1,spread=1.5,first=0"), "", "400"},
	{getLine, headersWith("", "Quota-Info: units=1,spread=1,first=0"), "", "400"},
}

var malformedBodies = []malformedRequest{
	{getLine, headersWith("", "Content-Length: 1"), "x", "400"},
	{postLine, headersWith("", "Content-Length: 1"), "x", "400"}, // no idempotency key
	{postLine, headersWithKey("Content-Length: 65537"), "", "413"},
	{postLine, headersWithKey("Transfer-Encoding: chunked"),
		"10001\r\n" + strings.Repeat("x", 0x10001) + "\r\n0\r\n\r\n", "400"},
	{postLine, headersWithKey("Transfer-Encoding: chunked"), "1\r\nx\r\n0\r\n\r\n", "400"},
	{postLine, headersWithKey("Idempotency-Key: l", "Content-Length: 1"), "x", "400"},
	{postLine, headersWithKey("Content-Length: -1"), "x", "400"},
	{postLine, headersWithKey("Content-Length: 1", "Content-Length: 2"), "xx", "400"},
	{postLine, headersWithKey("Content-Length: 62914560"), strings.Repeat("x", 1<<20), "413"},
	{post10Line, headersWithKey("Transfer-Encoding: chunked", "Content-Length: 1"), "x", "400"},
	{"GET /health/ready HTTP/1.1", headersWith("", "Transfer-Encoding: chunked"), "0\r\n\r\n", "400"},
	{"GET /health/ready HTTP/1.0", []string{"Transfer-Encoding: chunked"}, "0\r\n\r\n", "400"},
	{get10Line, headersWith("", "Transfer-Encoding: chunked"), "0\r\n\r\n", "400"},
	{get10Line, headersWith("", "Transfer-Encoding: identity", "Content-Length: 0"), "", "400"},
	{post10Line, headersWithKey("Transfer-Encoding: chunked", "Content-Length: 0"), "", "400"},
	{postLine, headersWithKey("Transfer-Encoding: chunked"), "what\r\n", "400"},
}

// A malformed request must get an error status and must not reach an endpoint, and the gateway must go on serving.
func TestMalformedRequestIsNotForwarded(t *testing.T) {
	server := okServer(t)
	g, _ := startGateway(t, server)
	for name, requests := range map[string][]malformedRequest{
		"path":       malformedPaths,
		"headers":    malformedHeaders,
		"quota info": malformedQuotaInfo,
		"body":       malformedBodies,
	} {
		t.Run(name, func(t *testing.T) {
			for _, request := range requests {
				testMalformedRequest(t, g.address, request)
			}
		})
	}
	if server.Requests.Load() != 0 {
		t.Errorf("%d requests reached the server", server.Requests.Load())
	}
	if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
		t.Errorf("a valid request: got %+v", response)
	}
}

func testMalformedRequest(t *testing.T, address string, request malformedRequest) {
	t.Helper()
	client := testkit.Dial(t, address)
	text := request.line + "\r\nHost: origin.svc\r\n"
	for _, header := range request.headers {
		text += header + "\r\n"
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(client.Conn, text+"\r\n"+request.body) // the gateway may close the connection before that
	}()
	status, err := client.Reader.ReadString('\n')
	if fields := strings.Fields(status); err != nil || len(fields) < 2 || fields[1] != request.want {
		t.Errorf("%s %.60q: got %q, %v; want %s", request.line, request.headers, status, err, request.want)
	}
	if err := client.Close(); err != nil {
		t.Error(err)
	}
	<-sent
}

// A request with both a Content-Length and a Transfer-Encoding may hide another request in its body. It must get one
// error response, and the hidden request must not be forwarded.
func TestRequestSmuggledInBodyIsNotForwarded(t *testing.T) {
	server := okServer(t)
	g, _ := startGateway(t, server)
	smuggled := "GET " + lookupPath + " HTTP/1.1\r\nHost: x\r\nReq-Id: hidden\r\nPlan: team\r\n" +
		"Req-Deadline: 5\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n"
	for _, version := range []string{"1.0", "1.1"} {
		client := g.dial()
		body := "0\r\n\r\n" + smuggled
		client.WriteText(fmt.Sprintf("POST %s HTTP/%s\r\nHost: x\r\nConnection: keep-alive\r\nReq-Id: outer\r\n"+
			"Plan: team\r\nReq-Deadline: 5\r\nIdempotency-Key: k\r\nQuota-Info: units=1,spread=1,first=0\r\n"+
			"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", addPath, version, len(body), body))
		all, err := io.ReadAll(client.Reader)
		if err != nil || strings.Count(string(all), "HTTP/1.") != 1 || !strings.Contains(string(all), " 400 ") {
			t.Errorf("HTTP/%s: got %q, %v", version, all, err)
		}
	}
	if server.Requests.Load() != 0 {
		t.Errorf("%d requests reached the server", server.Requests.Load())
	}
}

// A request may hide behind an HTTP/1.0 request with a Transfer-Encoding, where net/http sees no body. The outer
// request must get one error response, its connection must end, and the hidden request must not be forwarded.
func TestRequestHiddenBehindHTTP10IsNotForwarded(t *testing.T) {
	server := okServer(t)
	g, _ := startGateway(t, server)
	hidden := testkit.RequestHead(http.MethodPost, "pay", "hidden", "5") + "x"
	for _, framing := range []string{
		"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 0\r\n",
		"transfer-encoding:chunked\r\n",
		"TRANSFER-ENCODING: identity\r\n",
		"Transfer-Encoding:\r\n chunked\r\n",
	} {
		client := g.dial()
		client.WriteText(strings.Replace(testkit.RequestHead(http.MethodGet, "lookup", "outer", "5"), "HTTP/1.1\r\n",
			"HTTP/1.0\r\nConnection: keep-alive\r\n"+framing, 1) + hidden)
		all, err := io.ReadAll(client.Reader)
		if err != nil || strings.Count(string(all), "HTTP/1.") != 1 || !strings.Contains(string(all), " 400 ") {
			t.Errorf("%q: got %q, %v", framing, all, err)
		}
	}
	if server.Requests.Load() != 0 {
		t.Errorf("%d requests reached the server", server.Requests.Load())
	}
}
