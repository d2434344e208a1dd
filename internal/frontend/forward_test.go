package frontend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"springfield/internal/testkit"
	"springfield/internal/upstream"
	"springfield/policy"
)

// An attempt must send the request as the client sent it, with its escaped path and its body, plus the remaining
// deadline.
func TestForwardedRequestIsUnchanged(t *testing.T) {
	received := make(chan string, 1)
	server := testkit.NewServer(t, func(conn net.Conn, r *http.Request) bool {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		if r.Header.Get("Req-Deadline") == "" || r.Header["User-Agent"] != nil {
			t.Errorf("Req-Deadline is missing or User-Agent is present: %v", r.Header)
		}
		received <- fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ",
			r.Header["Req-Id"], r.Header["Idempotency-Key"], " ", string(body))
		_, err = io.WriteString(conn, testkit.ResponseOK)
		return err == nil
	})
	target, err := url.ParseRequestURI("/add%2Daddress/a%20b/0000000000000001?q=%C3%A9&x=a+b")
	if err != nil {
		t.Fatal(err)
	}
	request := &http.Request{Method: http.MethodPost, URL: target, Host: "origin.svc",
		Header: http.Header{"Req-Id": {"9b1f"}, "Idempotency-Key": {"5c0f"}, "Plan": {"team"}}}
	pool := upstream.NewPool(upstream.Options{
		DialTimeout:    testkit.Timeout,
		IdleTimeout:    testkit.Timeout,
		MaxConnections: 1,
	})
	endpoint := pool.AddEndpoint(server.Address(), 0)
	endpoint.SetReady(true)
	t.Cleanup(endpoint.CloseReplaced)

	attempt := upstream.NewAttempt(endpoint, time.Now().Add(testkit.Timeout))
	if result := attempt.Do(newUpstreamRequest(request), []byte("name=x")); result.Status != policy.StatusOK {
		t.Errorf("the attempt ended with %+v", result)
	}
	want := "POST /add%2Daddress/a%20b/0000000000000001?q=%C3%A9&x=a+b origin.svc [9b1f] [5c0f] name=x"
	if got := testkit.Receive(t, "the request", received); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}
