package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	secondClients  = 8
	secondLength   = 10 * time.Second
	secondService  = 40 * time.Millisecond
	secondLate     = 4 * time.Millisecond  // time from the answer to its second copy
	secondPause    = 30 * time.Millisecond // time from an answer to the client's next request
	secondShare    = 10                    // one in so many answers has a second copy
	secondDeadline = 4.0                   // seconds
	secondTimeout  = 8 * time.Second
)

// answerTwice answers each request and sends each secondShare-th answer a second time some milliseconds later. At that
// moment nothing else waits on the connection, because the server reads the next request only then.
func answerTwice(w *world) answerFunc {
	return func(conn net.Conn, a arrival) bool {
		if !answerAfter(secondService)(conn, a) {
			return false
		}
		if a.sequence%secondShare != 0 {
			return true
		}
		answeredAt := time.Now()
		time.Sleep(secondLate)
		if !answerAfter(0)(conn, a) {
			return false
		}
		w.logf("%s sent the second copy of its answer for %s %.1f ms after the answer", a.server, a.id,
			float64(time.Since(answeredAt).Microseconds())/1000)
		return true
	}
}

// playSecond lets a tenth of the answers come twice.
func playSecond(w *world) (broken bool, err error) {
	answer := answerAfter(secondService)
	if w.trouble {
		answer = answerTwice(w)
	}
	servers, err := w.startServers(4, func(conn net.Conn, a arrival) bool {
		// The socket has the options that the system gives it: small writes may be held back. Go sets TCP_NODELAY.
		if err := conn.(*net.TCPConn).SetNoDelay(false); err != nil {
			return false
		}
		return answer(conn, a)
	})
	if err != nil {
		return false, err
	}
	discovery, err := w.startAgent(servers)
	if err != nil {
		return false, err
	}
	settings := settingsOf(0, []object{class("search", "idempotent", 1500, 4000)}, []object{plan("standard")})
	g, err := w.startGateway("gateway-0", discovery, limitsOf(128, 512), settings)
	if err != nil {
		return false, err
	}
	sent := make([][]sentRequest, secondClients)
	endAt := time.Now().Add(secondLength)
	var clients sync.WaitGroup
	for i := range sent {
		clients.Go(func() {
			for n := 0; time.Now().Before(endAt); n++ {
				r := request{id: fmt.Sprintf("second-%d-%03d", i, n), class: "search", method: http.MethodGet,
					customer: i + 1, plan: "standard", deadline: secondDeadline, units: 1, spread: 2}
				at := time.Now()
				sent[i] = append(sent[i], sentRequest{r, at, exchange(g.address, r, secondTimeout)})
				time.Sleep(secondPause)
			}
		})
	}
	clients.Wait()
	return w.judgeBodies(sent)
}

// judgeBodies checks that no client was served an answer that was made for another request.
func (w *world) judgeBodies(sent [][]sentRequest) (broken bool, err error) {
	served, foreign := 0, 0
	for _, batch := range sent {
		for _, r := range batch {
			w.logf("%s (customer %d) sent at %.3f: %v", r.id, r.customer, w.since(r.at), r.response)
			switch {
			case r.response.status != http.StatusOK:
			case r.response.body == bodyFor(r.id):
				served++
			default:
				foreign++
				w.logf("FOREIGN: %s was served %q", r.id, strings.TrimSpace(r.response.body))
			}
		}
	}
	w.logf("%d requests were served their own answer, %d an answer for another request", served, foreign)
	if served == 0 {
		return false, errors.New("nothing was served")
	}
	return foreign > 0, nil
}
