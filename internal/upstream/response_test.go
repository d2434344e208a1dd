package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"springfield/internal/testkit"
	"springfield/policy"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// responseText returns a response with the body "ok".
func responseText(status, fields string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n" + fields + "\r\nok"
}

// The status of a response must show correctly whether the request may have been executed, and a connection must not be
// reused after a response with an ambiguous end.
func TestResponseMapsToStatus(t *testing.T) {
	reply := testkit.Reply
	const ok = testkit.ResponseOK
	const hint = "HTTP/1.1 103 Early Hints\r\n\r\n"
	const switching = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
	for _, c := range []struct {
		name   string
		script testkit.Script
		want   policy.Status
		reused bool // the connection is kept for reuse
	}{
		{"served", reply(ok, true), policy.StatusOK, true},
		{"served, last on its connection", reply(responseText("200 OK", "Connection: close\r\n"), true),
			policy.StatusOK, false},
		{"served in chunks", reply(chunkedHead+"2\r\nok\r\n0\r\n\r\n", true), policy.StatusOK, true},
		{"served after an interim response", reply(hint+ok, true), policy.StatusOK, true},
		{"served after a 101", reply(switching+ok, true), policy.StatusOK, true},
		{"served after an unknown interim response", reply("HTTP/1.1 199 X\r\n\r\n"+ok, true), policy.StatusOK, true},
		{"101 only", reply(switching, false), policy.StatusReset, false},
		{"204", reply(responseText("204 X", ""), true), policy.StatusServerError, false},
		{"304", reply("HTTP/1.1 304 X\r\nContent-Length: 2\r\n\r\n", true), policy.StatusServerError, false},
		{"status below 100", reply(responseText("099 X", ""), true), policy.StatusServerError, false},
		{"status above 599", reply(responseText("600 X", ""), true), policy.StatusServerError, false},
		{"served in chunks with excess bytes", reply(chunkedHead+"2\r\nok\r\n0\r\n\r\n?", true), policy.StatusOK, false},
		{"excess bytes", reply(ok+"?", true), policy.StatusReset, false},
		{"excess bytes that begin like a copy", reply(ok+"HTTP/1.1 200 O", true), policy.StatusReset, false},
		{"another response after it", reply(ok+strings.Replace(ok, "200", "202", 1), true), policy.StatusReset, false},
		{"a response with another body after it", reply(ok+strings.Replace(ok, "ok", "no", 1), true),
			policy.StatusReset, false},
		{"rejected, with excess bytes", reply(responseText("503 X", "Srv-Declined: 1\r\n")+"?", true),
			policy.StatusReset, false},
		{"error", reply(responseText("500 X", ""), true), policy.StatusServerError, true},
		{"503 without a rejection", reply(responseText("503 X", ""), true), policy.StatusServerError, true},
		{"503 rejected", reply(responseText("503 X", "Srv-Declined: 1\r\n"), true), policy.StatusRejected, true},
		{"504 rejected", reply(responseText("504 X", "Srv-Declined: 1\r\n"), true), policy.StatusRejected, true},
		{"500 with a rejection header", reply(responseText("500 X", "Srv-Declined: 1\r\n"), true),
			policy.StatusServerError, true},
		{"closed without a response", reply("", false), policy.StatusReset, false},
		{"incomplete body", reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false), policy.StatusReset, false},
		{"garbage", reply("What?\r\n\r\n", false), policy.StatusReset, false},
		{"length too large", reply("HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n", true), policy.StatusReset, false},
		{"no length, body too long", reply("HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", MaxBodyBytes+1), true),
			policy.StatusReset, false},
		{"no length, endless", testkit.Flood("HTTP/1.1 200 OK\r\n\r\n", "x"), policy.StatusReset, false},
		{"served without a length", reply("HTTP/1.1 200 OK\r\n\r\nok", false), policy.StatusOK, false},
		{"no length, reset", testkit.ReplyThenReset("HTTP/1.1 200 OK\r\n\r\nok"), policy.StatusReset, false},
		{"served without a length, to be kept open", reply("HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nok", false),
			policy.StatusOK, false},
		{"no length, two copies", reply("HTTP/1.1 200 OK\r\n\r\nokHTTP/1.1 200 OK\r\n\r\nok", false),
			policy.StatusReset, false},
		{"served by HTTP/1.0 without a length", reply("HTTP/1.0 200 OK\r\n\r\nok", false), policy.StatusOK, false},
		{"HTTP/1.0, no length, reset", testkit.ReplyThenReset("HTTP/1.0 200 OK\r\n\r\nok"), policy.StatusReset, false},
		{"error without a length", reply("HTTP/1.1 500 X\r\n\r\nok", false), policy.StatusServerError, false},
		{"rejected without a length", reply("HTTP/1.1 503 X\r\nSrv-Declined: 1\r\n\r\n", false),
			policy.StatusRejected, false},
		{"rejected without a length, reset", testkit.ReplyThenReset("HTTP/1.1 503 X\r\nSrv-Declined: 1\r\n\r\n"),
			policy.StatusReset, false},
		{"empty length", reply("HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok", false), policy.StatusReset, false},
		{"two Content-Length fields", reply("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nok", true),
			policy.StatusReset, false},
		{"negative length", reply("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok", true),
			policy.StatusReset, false},
		{"Content-Length, then chunked", reply("HTTP/1.1 200 OK\r\ncontent-length : 2\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"2\r\nok\r\n0\r\n\r\n", true), policy.StatusReset, false},
		{"chunked, then Content-Length", reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n"+
			"2\r\nok\r\n0\r\n\r\n", true), policy.StatusReset, false},
		{"HTTP/1.0, Content-Length and chunked", reply("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true), policy.StatusReset, false},
		{"HTTP/1.0, chunked", reply("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false),
			policy.StatusReset, false},
		{"HTTP/1.0", reply("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", true), policy.StatusOK, false},
		{"invalid chunk size", reply(chunkedHead+"2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n", true), policy.StatusReset, false},
		{"endless chunks", testkit.Flood(chunkedHead, "1\r\nx\r\n"), policy.StatusReset, false},
		{"endless head", testkit.Flood("HTTP/1.1 200 OK\r\n", "X-Pad: pppp\r\n"), policy.StatusReset, false},
		{"endless header line", testkit.Flood("HTTP/1.1 200 OK\r\nX-Pad: ", "pppp"), policy.StatusReset, false},
		{"endless interim responses", testkit.Flood("", hint), policy.StatusReset, false},
		{"served after many interim responses", reply(strings.Repeat(hint, 20)+ok, true), policy.StatusOK, true},
		{"served with a duplicate after it", reply(ok+ok, true), policy.StatusOK, false},
		{"served after an interim response, with a duplicate", reply(hint+ok+ok, true), policy.StatusOK, false},
		{"served with a part of a duplicate after it", reply(ok+ok[:len(ok)-1], true), policy.StatusOK, false},
		{"served with a duplicate and noise after it", reply(ok+ok+"?", true), policy.StatusOK, false},
		{"length of 3 GB", reply("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nok", true), policy.StatusReset, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			endpoint := newTestEndpoint(t, testkit.NewServer(t, c.script).Address())
			result := newTestAttempt(endpoint).Do(newTestRequest(), nil)
			if result.Status != c.want {
				t.Errorf("got %+v, want status %d", result, c.want)
			}
			if result.Status == policy.StatusOK && string(result.Response.Body) != "ok" {
				t.Errorf("got body %q, want \"ok\"", result.Response.Body)
			}
			open := endpoint.pool.openConnections.Load()
			if (len(endpoint.idle) == 1) != c.reused || open != int64(len(endpoint.idle)) {
				t.Errorf("%d idle and %d open connections", len(endpoint.idle), open)
			}
		})
	}
}

// A response whose Content-Length leaves out the end of its body must not be served, because the client would take the
// part for the whole. The end must be noticed wherever it is: read together with the rest, or left in the socket.
func TestResponseLongerThanItsLengthIsNotServed(t *testing.T) {
	const bufferSize = 4 << 10 // of the reader of a connection
	for _, stated := range []int{0, 8, bufferSize, 10 * bufferSize} {
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", stated, strings.Repeat("x", stated+1))
		endpoint := newTestEndpoint(t, testkit.NewServer(t, testkit.Reply(text, true)).Address())
		if result := newTestAttempt(endpoint).Do(newTestRequest(), nil); result.Status != policy.StatusReset {
			t.Errorf("stated length %d: got status %d with %d bytes", stated, result.Status, len(result.Response.Body))
		}
		if open := endpoint.pool.openConnections.Load(); open != 0 {
			t.Errorf("stated length %d: %d connections are open", stated, open)
		}
	}
}

// A response without a length must be served once its endpoint has closed the connection, although it arrives in
// pieces, and must not be served before. The request has run, so that its client would otherwise lose the result.
func TestResponseWithoutLengthIsServedAtItsEnd(t *testing.T) {
	written, finish := make(chan struct{}, 1), make(chan struct{})
	server := testkit.NewServer(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\no") // an error shows in the response
		written <- struct{}{}
		<-finish
		_, _ = io.WriteString(conn, "k")
		return false
	})
	endpoint := newTestEndpoint(t, server.Address())
	results := startAttempt(newTestAttempt(endpoint), newTestRequest())
	testkit.WaitFor(t, "the first piece", written)
	select {
	case result := <-results:
		t.Errorf("got %+v before the end", result)
	default:
	}
	close(finish)
	result := testkit.Receive(t, "the result", results)
	if result.Status != policy.StatusOK || string(result.Response.Body) != "ok" {
		t.Errorf("got %+v with body %q", result, result.Response.Body)
	}
	if open := endpoint.pool.openConnections.Load(); open != 0 {
		t.Errorf("%d connections are open", open)
	}
}

// A response without a length that does not end must leave the result to the time-out of its attempt.
func TestResponseWithoutLengthAndEndTimesOut(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply("HTTP/1.1 200 OK\r\n\r\nok", true))
	attempt := newTestAttempt(newTestEndpoint(t, server.Address()))
	results := startAttempt(attempt, newTestRequest())
	testkit.Eventually(t, "the request", func() bool { return server.Requests.Load() == 1 })
	attempt.Abort(policy.StatusTimedOut)
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusTimedOut {
		t.Errorf("got %+v", result)
	}
}

// The text of a body must not be taken for a field of the head, even if it arrives together with the head.
func TestBodyIsNotSearchedForFields(t *testing.T) {
	const body = "\ncontent-length: 2\ntransfer-encoding: chunked\n"
	for _, text := range []string{
		fmt.Sprintf("HTTP/1.0 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", chunkedHead, len(body), body),
	} {
		result, _, _, _, err := readResponseFrom([]byte(text))
		if err != nil || string(result.Response.Body) != body {
			t.Errorf("%q: got body %q, %v", text, result.Response.Body, err)
		}
	}
}

// An answer that comes some time after a 101 must go to its own request. If the 101 were taken for the answer, the next
// request on the connection would get the answer to this one.
func TestAnswerAfter101GoesToItsRequest(t *testing.T) {
	interimSent, release := make(chan struct{}, 1), make(chan struct{})
	server := testkit.NewServer(t, func(conn net.Conn, request *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\n\r\n") // an error shows in the answer
		interimSent <- struct{}{}
		<-release
		id := request.Header.Get("Req-Id")
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		return err == nil
	})
	endpoint := newTestEndpoint(t, server.Address())
	for _, id := range []string{"first", "second"} {
		request := newTestRequest()
		request.Header.Set("Req-Id", id)
		results := startAttempt(newTestAttempt(endpoint), request)
		testkit.WaitFor(t, "the interim response", interimSent)
		release <- struct{}{}
		result := testkit.Receive(t, "the result", results)
		if result.Status != policy.StatusOK || string(result.Response.Body) != id {
			t.Errorf("the request %s got %+v with body %q", id, result, result.Response.Body)
		}
	}
	if got := server.Connections.Load(); got != 1 {
		t.Errorf("got %d connections, want 1: an interim response does not end a connection", got)
	}
}

// Each limit and each ambiguity of a response must be detected by its own check, and the connection must not be reused.
func TestUnusableResponseReturnsItsReason(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       error
	}{
		{"body too long", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", errResponseTooLong},
		{"head too long", "HTTP/1.1 200 OK\r\nX-Pad: " + strings.Repeat("p", MaxHeaderBytes), errResponseTooLong},
		{"chunk too long", chunkedHead + "10001\r\n" + strings.Repeat("x", MaxBodyBytes+1) + "\r\n0\r\n\r\n",
			errResponseTooLong},
		{"too many chunks", chunkedHead + strings.Repeat("1\r\nx\r\n", MaxBodyBytes), errResponseTooLong},
		{"no length, two copies", "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", errAmbiguousLength},
		{"no length, a field like one", "HTTP/1.1 200 OK\r\nContent-Length-Hint: 2\r\n\r\nok", errAmbiguousLength},
		{"no length, body too long", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", MaxBodyBytes+1), errResponseTooLong},
		{"Content-Length and Transfer-Encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n",
			errAmbiguousLength},
		{"incomplete body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", io.ErrUnexpectedEOF},
		{"body that goes on", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nok", errExcessBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := testkit.NewServer(t, testkit.Reply(c.text, false))
			connection := mustConnect(t, newTestEndpoint(t, server.Address()))
			request := newTestRequest()
			if err := request.Write(connection.Conn); err != nil {
				t.Fatal(err)
			}
			if _, keepAlive, err := connection.readResponse(request, unlimitedMemory()); keepAlive || !errors.Is(err, c.want) {
				t.Errorf("got keepAlive %v and error %v, want error %v", keepAlive, err, c.want)
			}
		})
	}
}

// A usage header must be read as percent, and one that is not a valid number must count as no usage.
func TestUsageIsParsed(t *testing.T) {
	for text, want := range map[string]float64{"86": 0.86, "0": 0, "x": -1, "NaN": -1, "-4": -1} {
		reply := "HTTP/1.1 500 X\r\nUsage-Percent: " + text + "\r\nContent-Length: 0\r\n\r\n"
		server := testkit.NewServer(t, testkit.Reply(reply, true))
		result := newTestAttempt(newTestEndpoint(t, server.Address())).Do(newTestRequest(), nil)
		if result.HasUsage != (want >= 0) || result.HasUsage && result.Usage != want {
			t.Errorf("usage %q: got %+v", text, result)
		}
	}
}
