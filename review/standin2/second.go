package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	secondServers  = 4
	secondClients  = 7
	secondLength   = 15 * time.Second
	secondService  = 100 * time.Millisecond
	secondLate     = 4 * time.Millisecond  // from the answer to its second copy
	secondPause    = 30 * time.Millisecond // from an answer to the client's next request
	secondShare    = 10                    // one in so many answers has a second copy
	secondDeadline = 4.0                   // seconds
)

// answerTwice gives each request its answer and sends each secondShare-th answer a second time some milliseconds later.
// At that moment nothing else waits on the connection, because the server reads the next request only then.
func (w *world) answerTwice(conn *net.TCPConn, a arrival) bool {
	if !answerAfter(secondService)(conn, a) {
		return false
	}
	if !w.trouble || a.sequence%secondShare != 0 {
		return true
	}
	answeredAt := time.Now()
	time.Sleep(secondLate)
	written := writeAnswer(conn, a)
	w.logf("%s wrote the second copy of its answer for %s %.1f ms after the answer", a.server, a.id,
		float64(time.Since(answeredAt).Microseconds())/1000)
	return written
}

// playSecond lets a tenth of the answers come twice.
func playSecond(w *world) (broken bool, err error) {
	d, err := w.deploy(&oslo, secondServers, func(conn *net.TCPConn, a arrival) bool {
		// The socket has the options that the system gives it. Go would set TCP_NODELAY.
		return conn.SetNoDelay(false) == nil && w.answerTwice(conn, a)
	}, 128, 512)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var sent []sentRequest
	var clients sync.WaitGroup
	endAt := time.Now().Add(secondLength)
	for i := range secondClients {
		clients.Go(func() {
			for n := 0; time.Now().Before(endAt); n++ {
				r := d.safeRequest(fmt.Sprintf("second-%d-%03d", i, n), n*secondClients+i, secondDeadline)
				at := time.Now()
				result := exchange(d.gateway.address, r)
				mu.Lock()
				sent = append(sent, sentRequest{r, at, result})
				mu.Unlock()
				time.Sleep(secondPause)
			}
		})
	}
	clients.Wait()
	own, other := w.judgeBodies(sent)
	w.logf("%d of %d requests were served with their answer, %d with an answer for another request", own, len(sent),
		other)
	if own == 0 {
		return false, errors.New("nothing was served")
	}
	return other > 0, nil
}
