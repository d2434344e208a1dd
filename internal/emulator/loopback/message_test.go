package loopback

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	"springfield/internal/emulator/model"
)

// An encoded request must have the form of the gateways' HTTP protocol, and an endpoint must recognize it only if a
// gateway has not changed it.
func TestEncodedRequestIsRecognizedOnlyUnchanged(t *testing.T) {
	s := newScenario(time.Second)
	s.Classes[1].Idempotency = "deduplicated"
	arrival := model.Arrival{
		Request:  0x1b,
		Original: 0x1a,
		Customer: 0xb4d65521,
		Class:    1,
		Units:    1.5,
		SetSize:  3,
		SetFirst: 1,
	}
	m := newMessage(&s, &arrival)
	text := string(m.encode(480 * time.Millisecond))
	want := "POST /order/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: 000000000000001b\r\nPlan: basic\r\n" +
		"Quota-Info: units=1.5,spread=3,first=1\r\nIdempotency-Key: 000000000000001a\r\nReq-Deadline: 0.480\r\n" +
		"Content-Length: 24\r\n\r\nrequest 000000000000001b"
	if text != want {
		t.Errorf("the encoded request does not have the form of the protocol: got %q", text)
	}
	received, err := readRequest(bufio.NewReader(bytes.NewReader([]byte(text))))
	if err != nil || !m.matches(received) {
		t.Errorf("the unchanged request was not recognized: %v", err)
	}
	received.body += "x"
	if m.matches(received) {
		t.Error("a request with a changed body was recognized")
	}
}

// A complete response must be readable, and reading the body of a truncated one must fail.
func TestOnlyTruncatedResponsesFailToParse(t *testing.T) {
	for _, truncated := range []bool{false, true} {
		r := response{status: http.StatusOK, body: "some text", truncated: truncated, header: []string{"Usage-Percent: 40"}}
		parsed, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(r.encode())), nil)
		if err != nil {
			t.Fatal(err)
		}
		var body bytes.Buffer
		_, err = body.ReadFrom(parsed.Body)
		if (err != nil) != truncated || parsed.Header.Get("Usage-Percent") != "40" {
			t.Errorf("truncated %v: %v %q", truncated, err, &body)
		}
	}
}

// Header values must have no exponent, no trailing zeros and at most four decimals.
func TestFormatDecimalTrimsTrailingZeros(t *testing.T) {
	for value, want := range map[float64]string{0: "0", 10: "10", 1.5: "1.5", 0.12346: "0.1235", 1e6: "1000000"} {
		if got := formatDecimal(value); got != want {
			t.Errorf("%v: got %s, want %s", value, got, want)
		}
	}
}

// A closed connection must be detected without a read, and neither an open connection nor one with unread bytes may
// count as closed.
func TestPeerHasClosedDetectsOnlyClosedConnections(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if peerHasClosed(server) {
		t.Error("an open connection counts as closed")
	}
	if _, err := client.Write([]byte("x")); err != nil || peerHasClosed(server) {
		t.Errorf("a connection with unread bytes counts as closed (%v)", err)
	}
	if _, err := server.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := client.Close(); err != nil || !peerHasClosed(server) {
		t.Errorf("a connection that the peer has closed counts as open (%v)", err)
	}
	if err := server.Close(); err != nil || !peerHasClosed(server) {
		t.Errorf("a connection that this side has closed counts as open (%v)", err)
	}
}
