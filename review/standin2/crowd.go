package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	crowdServers  = 9
	crowdSockets  = 256
	crowdMemory   = 128
	crowdClients  = 200                    // bad clients
	crowdStart    = 500 * time.Millisecond // after the bad clients the usual ones come
	crowdLength   = 12 * time.Second
	crowdInterval = 100 * time.Millisecond // between two requests of usual clients
	crowdService  = 60 * time.Millisecond
	crowdDeadline = 1.25                   // seconds; half of the class's deadline
	lateAnswer    = 500 * time.Millisecond // a final answer may come so long after the request's time
)

// playCrowd lets bad clients connect by hundreds and stop in the middle of their second request.
func playCrowd(w *world) (broken bool, err error) {
	d, err := w.deploy(&kalisz, crowdServers, answerAfter(crowdService), crowdMemory, crowdSockets)
	if err != nil {
		return false, err
	}
	endAt := time.Now().Add(crowdStart + crowdLength)
	var badClients sync.WaitGroup
	if w.trouble {
		w.logf("%d bad clients begin: each sends a request and the half of another, stays, and does so again when its "+
			"connection is ended", crowdClients)
		for i := range crowdClients {
			badClients.Go(func() {
				for n := 0; time.Now().Before(endAt); n++ {
					text := d.safeRequest(fmt.Sprintf("bad-%d-%d", i, n), i, crowdDeadline).encode()
					stay(d.gateway.address, text+text[:len(text)/2])
				}
			})
		}
	}
	time.Sleep(crowdStart)
	sent := d.sendSteadily(crowdInterval, crowdLength, func(number int) request {
		return d.safeRequest(fmt.Sprintf("usual-%03d", number), number, crowdDeadline)
	})
	badClients.Wait()
	return w.judgeFinalAnswers(sent)
}

// judgeFinalAnswers checks that each request got its final answer in the time that is allowed.
func (w *world) judgeFinalAnswers(sent []sentRequest) (broken bool, err error) {
	lost, late, served := 0, 0, 0
	for _, r := range sent {
		after := r.response.at.Sub(r.at) - time.Duration(r.deadline*float64(time.Second))
		verdict := "in time"
		switch {
		case r.response.err != nil || after > lateAnswer+socketsSlack:
			verdict = "LOST"
			lost++
		case after > 0:
			verdict = "late"
			late++
		case r.response.status == http.StatusOK:
			served++
		}
		w.logf("%s written at %.3f with a deadline of %.2f s, ended at %.3f, %.3f s after its time: %s: %v", r.id,
			w.since(r.at), r.deadline, w.since(r.response.at), after.Seconds(), verdict, r.response)
	}
	w.logf("%d requests: %d served in time, %d answered up to 0.55 s after their time, %d had no final answer by then",
		len(sent), served, late, lost)
	if served == 0 {
		return false, errors.New("no request was served in time")
	}
	return lost > 0, nil
}
