package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that has reached a listing server whole.
type arrival struct {
	at       time.Time
	id       string
	server   string
	target   string  // request target as it was received
	deadline float64 // time that the attempt tells, in seconds
	sequence int     // number of the request at its server, from 1
}

// answerFunc answers a request on a connection and reports whether the connection stays open.
type answerFunc func(conn net.Conn, a arrival) (keep bool)

// server is a listing server.
type server struct {
	id      string
	address string

	listener    *net.TCPListener
	answer      answerFunc
	acceptEnded chan struct{} // closed once accepting has been interrupted

	mu       sync.Mutex
	accepted int // connections
	arrivals []arrival
}

// startServer starts a listing server that answers with the given function.
func (w *world) startServer(id string, answer answerFunc) (*server, error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	s := &server{id: id, address: listener.Addr().String(), listener: listener, answer: answer}
	s.startAccepting()
	return s, nil
}

// startServers starts listing servers that answer alike.
func (w *world) startServers(count int, answer answerFunc) ([]*server, error) {
	servers := make([]*server, 0, count)
	for i := range count {
		s, err := w.startServer("s-"+strconv.Itoa(i+1), answer)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// startAccepting accepts connections until accepting is interrupted or the listener is closed.
func (s *server) startAccepting() {
	ended := make(chan struct{})
	s.acceptEnded = ended
	go func() {
		defer close(ended)
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.accepted++
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
}

// acceptedConnections returns the number of connections that the server has accepted.
func (s *server) acceptedConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// serve answers the requests on a connection, one at a time.
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
		if !s.answer(conn, s.noteArrival(request)) {
			return
		}
	}
}

// noteArrival stores the arrival of a request.
func (s *server) noteArrival(request *http.Request) arrival {
	deadline, err := strconv.ParseFloat(request.Header.Get("Req-Deadline"), 64)
	if err != nil {
		deadline = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := arrival{at: time.Now(), id: request.Header.Get("Req-Id"), server: s.id,
		target: request.RequestURI, deadline: deadline, sequence: len(s.arrivals) + 1}
	s.arrivals = append(s.arrivals, a)
	return a
}

// arrivalsAt returns the arrivals at all servers.
func arrivalsAt(servers []*server) (all []arrival) {
	for _, s := range servers {
		s.mu.Lock()
		all = append(all, s.arrivals...)
		s.mu.Unlock()
	}
	return all
}

// bodyFor is the body that a listing server makes for a request.
func bodyFor(id string) string { return "answer for " + id }

// answerAfter returns a function that answers each request with 200 after the service time.
func answerAfter(serviceTime time.Duration) answerFunc {
	return func(conn net.Conn, a arrival) bool {
		time.Sleep(serviceTime)
		body := bodyFor(a.id)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	}
}
