package loopback

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// transmission is the form in which a client sends a request. Each form is one that the protocol of gateways allows,
// which requires a Content-Length. The zero value is the usual form: one write and plain header lines.
type transmission struct {
	pauses     []time.Duration // pauses between the pieces of the request, which are of about the same length
	lowerCase  bool            // header names are in lower case
	padded     bool            // header values are surrounded by spaces and tabs
	reversed   bool            // header lines are in the reverse order
	extraLines bool            // the head has header lines that mean nothing to gateways
}

const (
	maxPieces = 6 // largest number of pieces of a request

	// maxPiecePause is the longest pause between two pieces. All pauses together are far shorter than the time that
	// gateways allow for a head.
	maxPiecePause = 30 * time.Millisecond
)

// VaryRequests makes clients send a share of their requests in unusual forms for a time: in pieces with pauses, and
// with heads in other forms that HTTP allows.
func (w *World) VaryRequests(share float64, length time.Duration) {
	w.setForTime(&w.aimed.variedShare, share, length)
}

// drawTransmission draws the form of a request.
func drawTransmission(random *rand.Rand) transmission {
	draw := func() bool { return random.IntN(2) == 0 }
	drawn := transmission{
		lowerCase:  draw(),
		padded:     draw(),
		reversed:   draw(),
		extraLines: draw(),
	}
	for range random.IntN(maxPieces) {
		drawn.pauses = append(drawn.pauses, time.Duration(random.Int64N(int64(maxPiecePause))))
	}
	return drawn
}

// length returns the time that the transmission takes.
func (t *transmission) length() time.Duration {
	var sum time.Duration
	for _, pause := range t.pauses {
		sum += pause
	}
	return sum
}

// write writes an encoded request in pieces.
func (t *transmission) write(conn io.Writer, encoded []byte) error {
	pieces := len(t.pauses) + 1
	for i := range pieces {
		if i > 0 {
			time.Sleep(t.pauses[i-1])
		}
		if _, err := conn.Write(encoded[len(encoded)*i/pieces : len(encoded)*(i+1)/pieces]); err != nil {
			return err
		}
	}
	return nil
}

// encode returns the bytes of a message in the form of the transmission. wait is how long the client waits for the
// answer.
func (t *transmission) encode(m *message, wait time.Duration) []byte {
	lines := append([]string{"Host: origin.svc"}, m.header...)
	lines = append(lines, fmt.Sprintf("Req-Deadline: %.3f", wait.Seconds()))
	if m.method == http.MethodPost {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(m.body)))
	}
	if t.extraLines {
		lines = append(lines, "X-Empty:", "Accept: */*", "Connection: keep-alive")
	}
	if t.reversed {
		slices.Reverse(lines)
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\n", m.method, m.path)
	for _, line := range lines {
		text.WriteString(t.formatLine(line) + "\r\n")
	}
	text.WriteString("\r\n" + m.body)
	return text.Bytes()
}

// formatLine returns a header line in the form of the transmission.
func (t *transmission) formatLine(line string) string {
	name, value, _ := strings.Cut(line, ":")
	if t.lowerCase {
		name = strings.ToLower(name)
	}
	if t.padded {
		value = " \t" + strings.TrimSpace(value) + "\t "
	}
	return name + ":" + value
}
