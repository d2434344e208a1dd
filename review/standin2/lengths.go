package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	lengthsServers  = 4
	lengthsLength   = 12 * time.Second
	lengthsInterval = 100 * time.Millisecond
	lengthsService  = 150 * time.Millisecond
	lengthsDeadline = 4.0 // seconds
	lengthsShare    = 4   // one in so many answers has no length
)

// lengthless notes the ids of the requests whose answers had no length. All of these answers came whole.
type lengthless struct {
	mu  sync.Mutex
	ids map[string]bool
}

// answer gives each lengthsShare-th request an answer without a length, which ends with the connection.
func (l *lengthless) answer(conn *net.TCPConn, a arrival) bool {
	if a.sequence%lengthsShare != 0 {
		return answerAfter(lengthsService)(conn, a)
	}
	time.Sleep(lengthsService)
	if _, err := fmt.Fprintf(conn, "%sConnection: close\r\n\r\n%s", answerHead, bodyFor(a.id)); err != nil {
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
	d, err := w.deploy(&oslo, lengthsServers, answer, 128, 512)
	if err != nil {
		return false, err
	}
	sent := d.sendSteadily(lengthsInterval, lengthsLength, func(number int) request {
		return d.unsafeRequest(fmt.Sprintf("lengths-%03d", number), number, lengthsDeadline)
	})
	own, _ := w.judgeBodies(sent)
	forwarded := 0
	for _, r := range sent {
		if !l.ids[r.id] {
			continue
		}
		w.logf("%s was executed and answered whole, without a length; the client got %v", r.id, r.response)
		if r.response.body == bodyFor(r.id) {
			forwarded++
		}
	}
	w.logf("%d of %d requests were served; %d of %d whole answers without a length were forwarded", own, len(sent),
		forwarded, len(l.ids))
	if own == 0 || w.trouble && len(l.ids) == 0 {
		return false, errors.New("nothing was served, or no answer had no length")
	}
	return 2*forwarded < len(l.ids), nil
}
