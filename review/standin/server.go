package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// A server works on a request for minWork and up to extraWork more.
const (
	minWork   = 100 * time.Millisecond
	extraWork = 180 * time.Millisecond
)

// behavior says what listing servers send.
type behavior interface {
	// ahead returns the bytes that a server sends when the work on a request begins.
	ahead(request *http.Request) string
	// respond returns the bytes of the answer to a request for which a server has made the body.
	respond(request *http.Request, body string) string
}

// server is a listing server. It executes each request whose last byte arrives, one at a time on each connection.
type server struct {
	id       string
	listener net.Listener
	record   *record
	behavior behavior
	runs     *atomic.Int64 // number of executions on all servers
}

func startServer(id string, record *record, runs *atomic.Int64, behavior behavior) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, listener: listener, record: record, behavior: behavior, runs: runs}
	go s.acceptAll()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) acceptAll() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !s.execute(conn, request) {
			return
		}
	}
}

// execute executes a request and sends its answer. It reports whether the connection is kept.
func (s *server) execute(conn net.Conn, request *http.Request) (keep bool) {
	id := request.Header.Get("Req-Id")
	n := s.runs.Add(1)
	s.record.logf("run    id=%s server=%s %s %s deadline=%s", id, s.id, request.Method, request.URL.Path,
		request.Header.Get("Req-Deadline"))
	if ahead := s.behavior.ahead(request); ahead != "" {
		_, _ = io.WriteString(conn, ahead) // a lost connection shows when the answer is written
		s.record.logf("sent   id=%s server=%s %q", id, s.id, ahead)
	}
	time.Sleep(minWork + time.Duration(n)*extraWork/7%extraWork)
	body := fmt.Sprintf(`{"request":"%s","path":"%s","server":"%s","execution":%d,"state":"published"}`,
		id, request.URL.Path, s.id, n)
	text := s.behavior.respond(request, body)
	_, err := io.WriteString(conn, text)
	s.record.logf("sent   id=%s server=%s %q", id, s.id, text)
	return err == nil
}

// wholeAnswer returns the usual answer: the body with its length, on a connection that is kept.
func wholeAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nUsage-Percent: 20\r\nBilled-Units: 1\r\n"+
		"Content-Length: %d\r\n\r\n%s", len(body), body)
}
