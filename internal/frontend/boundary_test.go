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
