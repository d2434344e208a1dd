package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// ResponseOK is a complete successful response whose body is "ok".
const ResponseOK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// ResponseRejected is the complete response of a server that rejects a request without executing it.
const ResponseRejected = "HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"

const closedEventCapacity = 100

// Script writes the response to one request. It reports whether to keep the connection open.
type Script func(conn net.Conn, request *http.Request) (keep bool)

// Server is an upstream server whose responses a script writes byte by byte.
type Server struct {
	net.Listener
	Connections atomic.Int32  // number of accepted connections
	Requests    atomic.Int32  // number of received requests
	Closed      chan struct{} // receives a value for each connection that the peer closed

	mu    sync.Mutex
	conns []net.Conn
}

// NewServer starts a server on the loopback interface. It stops at the end of the test.
func NewServer(t testing.TB, script Script) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Listener: listener, Closed: make(chan struct{}, closedEventCapacity)}
	t.Cleanup(s.Stop)
	go s.acceptAll(script)
	return s
}

// Address returns the server's address.
func (s *Server) Address() string { return s.Addr().String() }

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	_ = s.Close() // fails if the test has already stopped the server
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close() // fails if the connection is already closed
	}
}

func (s *Server) acceptAll(script Script) {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		s.Connections.Add(1)
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go s.serve(conn, script)
	}
}

func (s *Server) serve(conn net.Conn, script Script) {
	defer func() { _ = conn.Close() }() // fails if Stop has already closed the connection
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			s.Closed <- struct{}{}
			return
		}
		s.Requests.Add(1)
		if !script(conn, request) {
			return
		}
	}
}

// Reply returns a script that reads each request's body and then writes the text.
func Reply(text string, keep bool) Script {
	return func(conn net.Conn, request *http.Request) bool {
		// Errors are ignored because the peer may have disconnected, which the test itself has to detect.
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
		return keep
	}
}

// ReplyThenReset returns a script that reads each request's body, writes the text and resets the connection.
func ReplyThenReset(text string) Script {
	return func(conn net.Conn, request *http.Request) bool {
		// Errors are ignored because the peer may have disconnected, which the test itself has to detect.
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// Flood returns a script that writes the first text once and then the second one repeatedly, until the peer closes the
// connection.
func Flood(first, repeated string) Script {
	const repeats = 1000
	return func(conn net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(conn, first)
		for text := strings.Repeat(repeated, repeats); err == nil; {
			_, err = io.WriteString(conn, text)
		}
		return false
	}
}

// Silent is a script that never responds.
func Silent(net.Conn, *http.Request) bool { return true }
