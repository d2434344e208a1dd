package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"springfield/policy"
)

// scriptedConn is a connection that delivers the given bytes and then returns an error. Only Read is used.
type scriptedConn struct {
	net.Conn
	*bytes.Reader
	end error // io.EOF for a connection that the peer has closed
}

func (c scriptedConn) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if err != nil {
		err = c.end
	}
	return n, err
}

// emptySocket is the socket of a scriptedConn. All bytes of such a connection are read from the scriptedConn.
type emptySocket struct{ syscall.RawConn }

func (emptySocket) Control(func(fd uintptr)) error { return syscall.EINVAL }

// readResponseFrom reads one response from the input, after which the peer closes the connection. It returns the bytes
// that belong to the response and the number of bytes read from the connection.
func readResponseFrom(input []byte) (result Result, keepAlive bool, consumed []byte, bytesRead int, err error) {
	return readResponseUntil(input, io.EOF)
}

// readResponseUntil is like readResponseFrom, but the connection ends with an error.
func readResponseUntil(input []byte, end error) (result Result, keepAlive bool, consumed []byte, bytesRead int,
	err error) {
	source := bytes.NewReader(input)
	c := &connection{Conn: scriptedConn{Reader: source, end: end}, socket: emptySocket{}}
	c.reader = bufio.NewReader(c)
	result, keepAlive, err = c.readResponse(newTestRequest(), unlimitedMemory())
	bytesRead = len(input) - source.Len()
	return result, keepAlive, input[:bytesRead-c.reader.Buffered()], bytesRead, err
}

// FuzzReadResponse checks that any input gives an error or a complete response within the limits, and never a panic. A
// response is complete if removing its last byte makes reading it fail. One that ends with its connection is complete
// if reading it fails once the connection is reset instead, or once a byte of its head is missing.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte(responseText("200 OK", "Usage-Percent: 86\r\n")))
	f.Add([]byte(chunkedHead + "2\r\nok\r\n0\r\n\r\n"))
	long := strings.Repeat("x", MaxBodyBytes+1)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + long))
	f.Add([]byte(chunkedHead + "10001\r\n" + long + "\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: p\r\n", MaxHeaderBytes) + "Content-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: p\r\n", 2000) + "Content-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\n" + responseText("200 OK", "")))
	f.Add([]byte(responseText("200 OK", "") + "?"))
	f.Add([]byte(responseText("200 OK", "") + responseText("200 OK", "")))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n" + responseText("200 OK", "")))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nok"))
	f.Add([]byte("HTTP/1.0 200 OK\r\n\r\n" + long))
	f.Add([]byte("HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		result, keepAlive, consumed, bytesRead, err := readResponseFrom(input)
		if bytesRead > MaxHeaderBytes+MaxBodyBytes+maxChunkOverhead {
			t.Errorf("%d bytes were read from the connection", bytesRead)
		}
		if err != nil {
			if keepAlive || result.Status == policy.StatusOK && result.Response.Body != nil {
				t.Errorf("error %v with keepAlive %v and %+v", err, keepAlive, result)
			}
			return
		}
		checkResult(t, result, consumed)
		if keepAlive && bytesRead > len(consumed) {
			t.Errorf("a connection with %d unread bytes is kept", bytesRead-len(consumed))
		}
		final, _ := finalResponse(t, consumed)
		if keepAlive && !endsByItsFraming(final) {
			t.Errorf("a connection is kept after a response without an explicit end: %q", consumed)
		}
		if excess := input[len(consumed):bytesRead]; len(excess) > 0 && len(final.TransferEncoding) == 0 &&
			endsByItsFraming(final) {
			statusLine, _, _ := bytes.Cut(excess, []byte("\n"))
			if !bytes.HasPrefix(excess, []byte("HTTP/1.")) || !bytes.Contains(consumed, statusLine) {
				t.Errorf("accepted %q although the body may go on with %q", consumed, excess)
			}
		}
		checkIncomplete(t, final, consumed)
	})
}

// checkIncomplete checks that parts of a response give errors.
func checkIncomplete(t *testing.T, response *http.Response, consumed []byte) {
	t.Helper()
	whole, end := len(consumed), io.EOF
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		_, headLength := finalResponse(t, consumed)
		if _, _, _, _, err := readResponseFrom(consumed[:headLength-1]); err == nil {
			t.Errorf("a part of the head gives a response: %q", consumed)
		}
		whole, end = len(consumed)+1, syscall.ECONNRESET
	}
	for _, length := range []int{whole - 1, whole / 2, 0} {
		if part, _, _, _, err := readResponseUntil(consumed[:length], end); err == nil {
			t.Errorf("the first %d of %d bytes give the response %+v", length, len(consumed), part)
		}
	}
}

// checkResult checks a response that was read from the given bytes against net/http and the protocol's mapping of
// responses to statuses.
func checkResult(t *testing.T, result Result, consumed []byte) {
	t.Helper()
	body := result.Response.Body
	if len(body) > MaxBodyBytes {
		t.Errorf("body of %d bytes exceeds the limit", len(body))
	}
	if result.HasUsage && !(result.Usage >= 0 && result.Usage <= maxUsagePercent/percent) {
		t.Errorf("usage %v is out of range", result.Usage)
	}
	want, headLength := finalResponse(t, consumed)
	if outcome := expectedStatus(want); result.Status != outcome {
		t.Errorf("status %d, want %d for %q", result.Status, outcome, consumed)
	}
	if wantBody, err := io.ReadAll(want.Body); err != nil || !bytes.Equal(body, wantBody) {
		t.Errorf("body %q, want %q, %v", body, wantBody, err)
	}
	headText := strings.ToLower(string(consumed[:headLength]))
	if !want.ProtoAtLeast(1, 1) && strings.Contains(headText, "\ntransfer-encoding:") {
		t.Errorf("accepted an HTTP/1.0 response with a Transfer-Encoding: %q", consumed)
	}
	if len(want.TransferEncoding) == 0 {
		if head := len(consumed) - len(body); !bytes.HasSuffix(consumed, body) || head > MaxHeaderBytes {
			t.Errorf("head of %d bytes, body %q is not the end of %q or the head is too long", head, body, consumed)
		}
	} else if strings.Contains(headText, "\ncontent-length:") {
		t.Errorf("accepted a Content-Length next to a Transfer-Encoding: %q", consumed)
	}
}

// finalResponse returns the first response that is not interim and the length of the text up to the end of its head.
func finalResponse(t *testing.T, text []byte) (response *http.Response, headLength int) {
	t.Helper()
	source := bytes.NewReader(text)
	for reader := bufio.NewReader(source); ; {
		response, err := http.ReadResponse(reader, newTestRequest())
		if err != nil {
			t.Fatalf("net/http rejects the accepted response %q: %v", text, err)
		}
		if response.StatusCode >= 200 || response.StatusCode < 100 {
			return response, len(text) - source.Len() - reader.Buffered()
		}
	}
}

// endsByItsFraming reports whether a response has a valid status with which the length or the chunks mark its end.
func endsByItsFraming(response *http.Response) bool {
	code := response.StatusCode
	return code >= 200 && code < 600 && code != 204 && code != 304
}

// expectedStatus implements the protocol's mapping of responses to statuses.
func expectedStatus(response *http.Response) policy.Status {
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
