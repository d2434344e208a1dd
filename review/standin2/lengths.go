package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	lengthsRequests = 120
	lengthsInterval = 100 * time.Millisecond
	lengthsDeadline = 4.0 // seconds
	lengthsService  = 50 * time.Millisecond
	lengthsShare    = 4 // one in so many answers of a server has no length
)

// lengthless notes the ids of the requests that got an answer without a length, all of which came whole.
type lengthless struct {
	mu  sync.Mutex
	ids map[string]bool
}

// answer gives each lengthsShare-th request an answer without a length, which ends with the connection.
func (l *lengthless) answer(conn net.Conn, a arrival) bool {
	if a.sequence%lengthsShare != 0 {
		return answerAfter(lengthsService)(conn, a)
	}
	time.Sleep(lengthsService)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", bodyFor(a.id)); err != nil {
		return false
	}
	l.mu.Lock()
	l.ids[a.id] = true
	l.mu.Unlock()
	return false
}

// playLengths lets a quarter of the answers come without a length, all of them whole.
func playLengths(w *world) (broken bool, err error) {
	l := &lengthless{ids: map[string]bool{}}
	answer := answerAfter(lengthsService)
	if w.trouble {
		answer = l.answer
	}
	servers, err := w.startServers(4, answer)
	if err != nil {
		return false, err
	}
	discovery, err := w.startAgent(servers)
	if err != nil {
		return false, err
	}
	classes := []object{class("post-ad", "at_most_once", 2000, 4000)}
	g, err := w.startGateway("gateway-0", discovery, limitsOf(128, 512),
		settingsOf(0, classes, []object{plan("standard")}))
	if err != nil {
		return false, err
	}
	sent := make([]sentRequest, lengthsRequests)
	var clients sync.WaitGroup
	for i := range sent {
		r := request{id: fmt.Sprintf("lengths-%03d", i), class: "post-ad", method: http.MethodPost, customer: i%8 + 1,
			plan: "standard", deadline: lengthsDeadline, units: 1, spread: 2}
		clients.Go(func() {
			at := time.Now()
			sent[i] = sentRequest{r, at, exchange(g.address, r, 2*time.Second*time.Duration(lengthsDeadline))}
		})
		time.Sleep(lengthsInterval)
	}
	clients.Wait()
	return w.judgeLengths(sent, l.ids)
}

// judgeLengths checks that at least half of the whole answers without a length were forwarded.
func (w *world) judgeLengths(sent []sentRequest, withoutLength map[string]bool) (broken bool, err error) {
	served, forwarded := 0, 0
	for _, r := range sent {
		w.logf("%s answered without a length: %v; the client got %v", r.id, withoutLength[r.id], r.response)
		if r.response.status != http.StatusOK || r.response.body != bodyFor(r.id) {
			continue
		}
		served++
		if withoutLength[r.id] {
			forwarded++
		}
	}
	w.logf("%d of %d requests served; %d of %d answers without a length forwarded", served, len(sent), forwarded,
		len(withoutLength))
	if served == 0 || w.trouble && len(withoutLength) == 0 {
		return false, errors.New("nothing was served, or no answer had no length")
	}
	return 2*forwarded < len(withoutLength), nil
}
