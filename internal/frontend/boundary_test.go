package frontend

import (
	"strings"
	"testing"

	"springfield/internal/testkit"
)

// The bytes of a second request must not be passed on with the first one, at whatever byte the two pipelined requests
// are split into reads.
func TestBoundarySeparatesPipelinedRequests(t *testing.T) {
	const body = "body\r\n\r\nof the request"
	head := testkit.RequestHead("POST", "pay", "a", "1")
	second := testkit.RequestHead("GET", "lookup", "b", "1")
	for _, lineEnd := range []string{"\r\n", "\n"} {
		first := strings.ReplaceAll("\r\n"+head, "\r\n", lineEnd)
		text := []byte(first + body + second)
		for split := 1; split < len(text); split++ {
			var boundary requestBoundary
			passed := 0
			for _, part := range [][]byte{text[:split], text[split:]} {
				for len(part) > 0 && (boundary.phase == phaseHead || boundary.phase == phaseBody) {
					n := boundary.advance(part)
					passed, part = passed+n, part[n:]
					if boundary.phase == phaseHeadComplete {
						if passed != len(first) {
							t.Fatalf("split at %d: the head ends at %d, want %d", split, passed, len(first))
						}
						boundary.beginBody(int64(len(body)))
					}
				}
			}
			if passed != len(first)+len(body) || boundary.phase != phaseComplete {
				t.Fatalf("split at %d: the request ends at %d, want %d", split, passed, len(first)+len(body))
			}
		}
	}
}

// If net/http reads on after the detected end of a head, or if the length of the body is unknown, withheld bytes would
// stall the connection.
func TestUnknownBoundaryPassesAllBytes(t *testing.T) {
	var boundary requestBoundary
	boundary.advance([]byte("GET / HTTP/1.1\r\n\r\n"))
	if n := boundary.advance([]byte("more")); n != len("more") || boundary.phase != phaseHead {
		t.Errorf("passed %d bytes on", n)
	}
	boundary.beginBody(-1)
	if n := boundary.advance([]byte("0\r\n\r\nmore")); n != len("0\r\n\r\nmore") {
		t.Errorf("passed %d bytes on", n)
	}
}

// A Transfer-Encoding field must be found in whatever form net/http accepts it, at whatever byte the head is split into
// reads. The text of other fields, of the request line and of a body must not be taken for one.
func TestBoundaryFindsTransferEncoding(t *testing.T) {
	for text, want := range map[string]bool{
		"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":             true,
		"GET / HTTP/1.0\nContent-Length: 0\ntransfer-ENCODING:chunked\n\n": true,
		"GET / HTTP/1.0\r\nTransfer-Encoding:\r\n x\r\n\r\n":               true,
		"GET / HTTP/1.0\r\nTransfer-Encoding : chunked\r\n\r\n":            true,
		"GET / HTTP/1.0\r\nX: y\r\n Transfer-Encoding: chunked\r\n\r\n":    false,
		"GET / HTTP/1.0\r\nTransfer-Encodings: chunked\r\n\r\n":            false,
		"GET / HTTP/1.0\r\nX-Transfer-Encoding: chunked\r\n\r\n":           false,
		"GET / HTTP/1.0\r\nTransfer: x\r\nEncoding: y\r\n\r\n":             false,
		"Transfer-Encoding / HTTP/1.0\r\n\r\n":                             false,
		"POST / HTTP/1.0\r\n\r\n\r\nTransfer-Encoding: chunked\r\n\r\n":    false,
	} {
		for split := range len(text) {
			var boundary requestBoundary
			for _, part := range []string{text[:split], text[split:]} {
				if part != "" && boundary.phase == phaseHead {
					boundary.advance([]byte(part))
				}
			}
			if boundary.hasTransferEncoding != want {
				t.Fatalf("%q split at %d: found %v, want %v", text, split, boundary.hasTransferEncoding, want)
			}
		}
	}
}

// A field that was found must not be forgotten if net/http reads on after the detected end of the head, and must not
// count for the next request.
func TestTransferEncodingBelongsToItsRequest(t *testing.T) {
	var boundary requestBoundary
	boundary.advance([]byte("GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"))
	boundary.advance([]byte("more"))
	if !boundary.hasTransferEncoding {
		t.Error("the field was forgotten")
	}
	boundary.beginHead()
	if boundary.hasTransferEncoding {
		t.Error("the field counts for the next request")
	}
}
