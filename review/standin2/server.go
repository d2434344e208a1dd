package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// arrival is a request that has reached a listing server whole.
type arrival struct {
	id       string
	server   string
	sequence int // number of the request at its server, from 1
}

// answerFunc answers a request on a connection and reports whether the connection stays open.
type answerFunc func(conn *net.TCPConn, a arrival) (keep bool)

// server is a listing server.
type server struct {
	id       string
	address  string
	world    *world
	answer   answerFunc
	arrivals chan int // holds the number of requests so far
}

// startServer starts a listing server that answers with the given function.
func (w *world) startServer(id string, answer answerFunc) (*server, error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	s := &server{id: id, address: listener.Addr().String(), world: w, answer: answer, arrivals: make(chan int, 1)}
	s.arrivals <- 0
	go func() { // ends with the process
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// serve answers the requests on a connection, one at a time.
func (s *server) serve(conn *net.TCPConn) {
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
		sequence := <-s.arrivals + 1
		s.arrivals <- sequence
		id := request.Header.Get("Req-Id")
		s.world.logf("%s got %s whole", s.id, id)
		if !s.answer(conn, arrival{id: id, server: s.id, sequence: sequence}) {
			return
		}
	}
}

// bodyFor is the body that a listing server makes for a request.
func bodyFor(id string) string { return "answer for " + id }

// answerHead is the head of each good answer, without its end. The customers use half of their quotas.
const answerHead = "HTTP/1.1 200 OK\r\nUsage-Percent: 50\r\nBilled-Units: 1\r\n"

// writeAnswer writes the good answer to a request.
func writeAnswer(conn net.Conn, a arrival) bool {
	body := bodyFor(a.id)
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", answerHead, len(body), body)
	return err == nil
}

// answerAfter returns a function that gives each request its good answer after the service time.
func answerAfter(serviceTime time.Duration) answerFunc {
	return func(conn *net.TCPConn, a arrival) bool {
		time.Sleep(serviceTime)
		return writeAnswer(conn, a)
	}
}
