package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// socketsSlack is the time by which each time limit is longer on sockets.
const socketsSlack = 50 * time.Millisecond

// deployment is what a case runs: listing servers, the agent of discovery, and a gateway.
type deployment struct {
	*site
	servers []*server
	gateway *gateway
}

// deploy starts a gateway with the settings of a site, in front of as many listing servers that answer alike.
func (w *world) deploy(s *site, servers int, answer answerFunc, memoryMB, sockets int) (*deployment, error) {
	d := &deployment{site: s}
	for i := range servers {
		server, err := w.startServer(fmt.Sprintf("s-%d", i+1), answer)
		if err != nil {
			return nil, err
		}
		d.servers = append(d.servers, server)
	}
	discovery, err := startAgent(d.servers, s.zone)
	if err != nil {
		return nil, err
	}
	d.gateway, err = w.startGateway("gateway-0", discovery, limitsOf(memoryMB, sockets), s.settings(0))
	return d, err
}

// sentRequest is a request, the time of its last byte, and its response.
type sentRequest struct {
	request
	at       time.Time
	response response
}

// sendSteadily sends a request at each interval for a time, each on a connection of its own, and waits for the
// responses.
func (d *deployment) sendSteadily(interval, length time.Duration, next func(number int) request) []sentRequest {
	var mu sync.Mutex
	var sent []sentRequest
	var clients sync.WaitGroup
	endAt := time.Now().Add(length)
	for i := 0; time.Now().Before(endAt); i++ {
		r := next(i)
		clients.Go(func() {
			at := time.Now()
			result := exchange(d.gateway.address, r)
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, sentRequest{r, at, result})
		})
		time.Sleep(interval)
	}
	clients.Wait()
	return sent
}

// judgeBodies counts the requests that were served with the answer that was made for them and those that were served
// with anything else.
func (w *world) judgeBodies(sent []sentRequest) (own, other int) {
	for _, r := range sent {
		verdict := "not served"
		switch {
		case r.response.status != http.StatusOK:
		case r.response.body == bodyFor(r.id):
			verdict = "served with its answer"
			own++
		default:
			verdict = "SERVED WITH SOMETHING ELSE"
			other++
		}
		w.logf("%s of customer %d, sent at %.3f, ended at %.3f: %s: %v", r.id, r.customer, w.since(r.at),
			w.since(r.response.at), verdict, r.response)
	}
	return own, other
}
