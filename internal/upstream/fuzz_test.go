package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"springfield/policy"
)

// scriptedConn is the endpoint's side of a connection: it brings some bytes and then ends. Only Read is used.
type scriptedConn struct {
	net.Conn
	*bytes.Reader
}

func (c scriptedConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// readInput reads one response from the input. It returns the bytes that belong to the response and how many were
// taken from the connection.
func readInput(input []byte) (result Result, keep bool, consumed []byte, taken int, err error) {
	source := bytes.NewReader(input)
	c := &connection{Conn: scriptedConn{Reader: source}}
	c.reader = bufio.NewReader(c)
	result, keep, err = c.readResponse(newTestRequest())
	taken = len(input) - source.Len()
	return result, keep, input[:taken-c.reader.Buffered()], taken, err
}

// FuzzReadResponse checks that any bytes give a complete response within the limits or an error, and never a panic. A
// response is complete if none is found in its bytes once the last one is missing.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte(responseText("200 OK", "Usage-Percent: 86\r\n")))
	f.Add([]byte(chunkedHead + "2\r\nok\r\n0\r\n\r\n"))
	long := strings.Repeat("x", MaxBodyBytes+1)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + long))
	f.Add([]byte(chunkedHead + "10001\r\n" + long + "\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: p\r\n", MaxHeaderBytes) + "Content-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: p\r\n", 2000) + "Content-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\n" + responseText("200 OK", "")))
	f.Fuzz(func(t *testing.T, input []byte) {
		result, keep, consumed, taken, err := readInput(input)
		if taken > MaxHeaderBytes+MaxBodyBytes+maxChunkOverhead {
			t.Errorf("%d bytes were taken from the connection", taken)
		}
		if err != nil {
			if keep || result.Status == policy.StatusOK && result.Response.Body != nil {
				t.Errorf("with error %v: keep %v, %+v", err, keep, result)
			}
			return
		}
		checkResult(t, result, consumed)
		if keep && taken > len(consumed) {
			t.Errorf("a connection with %d more bytes is kept", taken-len(consumed))
		}
		for _, length := range []int{len(consumed) - 1, len(consumed) / 2, 0} {
			if part, _, _, _, err := readInput(consumed[:length]); err == nil {
				t.Errorf("%d of %d bytes give %+v", length, len(consumed), part)
			}
		}
	})
}

// checkResult checks a response that has been read from the given bytes against net/http and the protocol's table of
// outcomes.
func checkResult(t *testing.T, result Result, consumed []byte) {
	t.Helper()
	body := result.Response.Body
	if len(body) > MaxBodyBytes {
		t.Errorf("a body of %d bytes", len(body))
	}
	if result.HasUsage && !(result.Usage >= 0 && result.Usage <= maxUsagePercent/percent) {
		t.Errorf("usage %v", result.Usage)
	}
	want, headLength := finalResponse(t, consumed)
	if outcome := wantStatus(want); result.Status != outcome {
		t.Errorf("status %d, want %d for %q", result.Status, outcome, consumed)
	}
	if wantBody, err := io.ReadAll(want.Body); err != nil || !bytes.Equal(body, wantBody) {
		t.Errorf("body %q, want %q, %v", body, wantBody, err)
	}
	if len(want.TransferEncoding) == 0 {
		if head := len(consumed) - len(body); !bytes.HasSuffix(consumed, body) || head > MaxHeaderBytes {
			t.Errorf("a head of %d bytes, and body %q at the end of %q", head, body, consumed)
		}
	} else if strings.Contains(strings.ToLower(string(consumed[:headLength])), "\ncontent-length:") {
		t.Errorf("served with a length beside a transfer coding: %q", consumed)
	}
}

// finalResponse returns the first response that is not an interim one, and where its head ends.
func finalResponse(t *testing.T, text []byte) (response *http.Response, headLength int) {
	t.Helper()
	source := bytes.NewReader(text)
	for reader := bufio.NewReader(source); ; {
		response, err := http.ReadResponse(reader, newTestRequest())
		if err != nil {
			t.Fatalf("accepted %q: %v", text, err)
		}
		if response.StatusCode >= 200 || response.StatusCode < 100 || response.StatusCode == 101 {
			return response, len(text) - source.Len() - reader.Buffered()
		}
	}
}

// wantStatus is the protocol's table of outcomes.
func wantStatus(response *http.Response) policy.Status {
	declined := response.Header.Get("Srv-Declined") == "1"
	switch {
	case response.StatusCode == 200:
		return policy.StatusOK
	case declined && (response.StatusCode == 503 || response.StatusCode == 504):
		return policy.StatusRejected
	default:
		return policy.StatusServerError
	}
}
