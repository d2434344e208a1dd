package upstream

import (
	"errors"
	"io"
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

// Guards the protocol's table of outcomes: what may have run and what never did.
func TestStatusOfEachResponse(t *testing.T) {
	reply := testkit.Reply
	const ok = testkit.ResponseOK
	const hint = "HTTP/1.1 103 Early Hints\r\n\r\n"
	for _, c := range []struct {
		name   string
		script testkit.Script
		want   policy.Status
		reused bool // the connection is kept
	}{
		{"served", reply(ok, true), policy.StatusOK, true},
		{"served, last on its connection", reply(responseText("200 OK", "Connection: close\r\n"), true),
			policy.StatusOK, false},
		{"served in chunks", reply(chunkedHead+"2\r\nok\r\n0\r\n\r\n", true), policy.StatusOK, true},
		{"served after a hint", reply(hint+ok, true), policy.StatusOK, true},
		{"served with bytes to spare", reply(ok+"?", true), policy.StatusOK, false},
		{"error", reply(responseText("500 X", ""), true), policy.StatusServerError, true},
		{"503 of unknown cause", reply(responseText("503 X", ""), true), policy.StatusServerError, true},
		{"503 rejected", reply(responseText("503 X", "Srv-Declined: 1\r\n"), true), policy.StatusRejected, true},
		{"504 rejected", reply(responseText("504 X", "Srv-Declined: 1\r\n"), true), policy.StatusRejected, true},
		{"500 is no rejection", reply(responseText("500 X", "Srv-Declined: 1\r\n"), true),
			policy.StatusServerError, true},
		{"closed without a response", reply("", false), policy.StatusReset, false},
		{"half a body", reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false), policy.StatusReset, false},
		{"garbage", reply("What?\r\n\r\n", false), policy.StatusReset, false},
		{"too long", reply("HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n", true), policy.StatusReset, false},
		{"no length", reply("HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", MaxBodyBytes+1), true),
			policy.StatusReset, false},
		{"no length, short", reply("HTTP/1.1 200 OK\r\n\r\nok", false), policy.StatusReset, false},
		{"two lengths", reply("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nok", true),
			policy.StatusReset, false},
		{"a negative length", reply("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok", true),
			policy.StatusReset, false},
		{"a length and a coding", reply("HTTP/1.1 200 OK\r\ncontent-length : 2\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"2\r\nok\r\n0\r\n\r\n", true), policy.StatusReset, false},
		{"a coding and a length", reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n"+
			"2\r\nok\r\n0\r\n\r\n", true), policy.StatusReset, false},
		{"a broken chunk", reply(chunkedHead+"2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n", true), policy.StatusReset, false},
		{"chunks without end", testkit.Flood(chunkedHead, "1\r\nx\r\n"), policy.StatusReset, false},
		{"a head without end", testkit.Flood("HTTP/1.1 200 OK\r\n", "X-Pad: pppp\r\n"), policy.StatusReset, false},
		{"a line without end", testkit.Flood("HTTP/1.1 200 OK\r\nX-Pad: ", "pppp"), policy.StatusReset, false},
		{"hints without end", testkit.Flood("", hint), policy.StatusReset, false},
		{"served after many hints", reply(strings.Repeat(hint, 20)+ok, true), policy.StatusOK, true},
		{"served with a copy behind", reply(ok+ok, true), policy.StatusOK, false},
		{"3 GB", reply("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nok", true), policy.StatusReset, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			endpoint := newTestEndpoint(t, testkit.NewServer(t, c.script).Address())
			result := newTestAttempt(endpoint).Do(newTestRequest())
			if result.Status != c.want {
				t.Errorf("got %+v, want status %d", result, c.want)
			}
			if result.Status == policy.StatusOK && string(result.Response.Body) != "ok" {
				t.Errorf("body %q", result.Response.Body)
			}
			open := endpoint.pool.openConnections.Load()
			if (len(endpoint.idle) == 1) != c.reused || open != int64(len(endpoint.idle)) {
				t.Errorf("%d idle, %d open", len(endpoint.idle), open)
			}
		})
	}
}

func TestReasonOfAnUnusableResponse(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       error
	}{
		{"long body", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", errResponseTooLong},
		{"long head", "HTTP/1.1 200 OK\r\nX-Pad: " + strings.Repeat("p", MaxHeaderBytes), errResponseTooLong},
		{"long chunk", chunkedHead + "10001\r\n" + strings.Repeat("x", MaxBodyBytes+1) + "\r\n0\r\n\r\n",
			errResponseTooLong},
		{"many chunks", chunkedHead + strings.Repeat("1\r\nx\r\n", MaxBodyBytes), errResponseTooLong},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", errAmbiguousLength},
		{"two lengths", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n",
			errAmbiguousLength},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := testkit.NewServer(t, testkit.Reply(c.text, false))
			connection := mustConnect(t, newTestEndpoint(t, server.Address()))
			request := newTestRequest()
			if err := request.Write(connection.Conn); err != nil {
				t.Fatal(err)
			}
			if _, keep, err := connection.readResponse(request); keep || !errors.Is(err, c.want) {
				t.Errorf("keep %v, error %v, want %v", keep, err, c.want)
			}
		})
	}
}

func TestUsageIsParsed(t *testing.T) {
	for text, want := range map[string]float64{"86": 0.86, "0": 0, "x": -1, "NaN": -1, "-4": -1} {
		reply := "HTTP/1.1 500 X\r\nUsage-Percent: " + text + "\r\nContent-Length: 0\r\n\r\n"
		server := testkit.NewServer(t, testkit.Reply(reply, true))
		result := newTestAttempt(newTestEndpoint(t, server.Address())).Do(newTestRequest())
		if result.HasUsage != (want >= 0) || result.HasUsage && result.Usage != want {
			t.Errorf("%q: %+v", text, result)
		}
	}
}
