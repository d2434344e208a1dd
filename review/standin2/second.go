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
	secondServers  = 4
	secondClients  = 7
	secondLength   = 20 * time.Second
	secondService  = 100 * time.Millisecond
	secondLate     = 4 * time.Millisecond   // from the answer to its second copy
	secondPause    = 30 * time.Millisecond  // from an answer to the client's next request
	secondRest     = 500 * time.Millisecond // after the last answer, in which servers finish their work
	secondShare    = 10                     // one in so many answers has a second copy
	secondFull     = 10                     // a server's waiting room is full for one in so many requests
	secondDeadline = 4.0                    // seconds
)

// secondCase holds what the servers have executed, by the id of the request.
type secondCase struct {
	world *world

	mu       sync.Mutex
	executed map[string]int
}

// answer turns a request away, or executes it and answers. It sends each secondShare-th answer a second time some
// milliseconds later. At that moment nothing else waits on the connection, because the server reads the next request
// only then.
func (c *secondCase) answer(conn *net.TCPConn, a arrival) bool {
	// The socket has the options that the system gives it. Go would set TCP_NODELAY.
	if conn.SetNoDelay(false) != nil {
		return false
	}
	if a.sequence%secondFull == secondFull/2 {
		c.world.logf("%s turns %s away", a.server, a.id)
		_, err := fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	c.mu.Lock()
	c.executed[a.id]++
	c.mu.Unlock()
	c.world.logf("%s executes %s", a.server, a.id)
	if !answerAfter(secondService)(conn, a) {
		return false
	}
	if !c.world.trouble || a.sequence%secondShare != 0 {
		return true
	}
	answeredAt := time.Now()
	time.Sleep(secondLate)
	written := writeAnswer(conn, a)
	c.world.logf("%s wrote the second copy of its answer for %s %.1f ms after the answer", a.server, a.id,
		float64(time.Since(answeredAt).Microseconds())/1000)
	return written
}

// playSecond lets a tenth of the answers come twice.
func playSecond(w *world) (broken bool, err error) {
	c := &secondCase{world: w, executed: map[string]int{}}
	d, err := w.deploy(&oslo, secondServers, c.answer, 128, 512)
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
				newRequest := d.safeRequest
				if n%2 == 0 {
					newRequest = d.unsafeRequest
				}
				r := newRequest(fmt.Sprintf("second-%d-%03d", i, n), n*secondClients+i, secondDeadline)
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
	time.Sleep(secondRest)
	return c.judge(sent)
}

// judge checks that each request was served with its own answer, and that no paid request ran twice or was refused
// after it had run.
func (c *secondCase) judge(sent []sentRequest) (broken bool, err error) {
	own, other := c.world.judgeBodies(sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	twice, refused := 0, 0
	for _, r := range sent {
		executions := c.executed[r.id]
		if r.method != http.MethodPost || executions == 0 {
			continue
		}
		if executions > 1 {
			c.world.logf("RAN %d TIMES: %s, which must never run twice", executions, r.id)
			twice++
		}
		if r.response.status == http.StatusServiceUnavailable {
			c.world.logf("REFUSED AFTER IT RAN: %s", r.id)
			refused++
		}
	}
	c.world.logf("%d of %d requests were served with their answer, %d with an answer for another request; %d paid "+
		"requests ran twice, %d were refused after they had run", own, len(sent), other, twice, refused)
	if own == 0 {
		return false, errors.New("nothing was served")
	}
	return other+twice+refused > 0, nil
}
