package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

const emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// Guards against probes that miss a request which a gateway has read and not answered, and against probes that count
// one which the gateway has not read.
func TestProbeCountsRequestsThatWereReadAndNotAnswered(t *testing.T) {
	for _, test := range []struct {
		name     string
		requests int
		read     int    // requests that the server reads after the first one
		respond  string // what it then writes before it closes the connection
		lost     bool
	}{
		{"answered", 1, 1, emptyResponse, false},
		{"read and closed", 1, 1, "", true},
		{"incomplete head", 1, 1, emptyResponse[:5], true},
		{"incomplete body", 1, 1, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx", true},
		{"closed before the request", 1, 0, "", false},
		{"second of two is read and closed", 2, 2, emptyResponse, true},
		{"two answered", 2, 2, emptyResponse + emptyResponse, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }() // the test is over
			closed := make(chan struct{})
			go serveProbe(listener, test.read, test.respond, closed)
			p, err := openProbe(listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer p.close()
			if test.read == 0 {
				<-closed
			}
			_, lost := p.exchange(test.requests, 1, 0)
			if lost != test.lost {
				t.Errorf("lost: %v, want %v", lost, test.lost)
			}
		})
	}
}

// serveProbe answers a first request on one connection, reads more requests, writes a text and closes the connection.
func serveProbe(listener net.Listener, requests int, text string, closed chan<- struct{}) {
	defer close(closed)
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // the probe notices a failure
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	if _, err := io.WriteString(conn, emptyResponse); err != nil {
		return
	}
	for range requests {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
	}
	_, _ = io.WriteString(conn, text) // the probe notices a failure
}
