package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	crowdSockets  = 256
	crowdMemory   = 128
	crowdClients  = 200                    // bad clients
	crowdStart    = 500 * time.Millisecond // after the bad clients the usual ones come
	crowdLength   = 12 * time.Second
	crowdInterval = 200 * time.Millisecond // between two requests of usual clients
	crowdDeadline = 1.0                    // seconds
	crowdStay     = 10 * time.Second
)

// playCrowd lets bad clients connect by hundreds and stop in the middle of their second request.
func playCrowd(w *world) (broken bool, err error) {
	servers, err := w.startServers(4, answerAfter(50*time.Millisecond))
	if err != nil {
		return false, err
	}
	discovery, err := w.startAgent(servers)
	if err != nil {
		return false, err
	}
	g, err := w.startGateway("gateway-0", discovery, limitsOf(crowdMemory, crowdSockets),
		settingsOf(0, []object{class("search", "idempotent", 700, 2000)}, []object{plan("standard")}))
	if err != nil {
		return false, err
	}
	endAt := time.Now().Add(crowdLength)
	var badClients sync.WaitGroup
	if w.trouble {
		w.logf("%d bad clients begin: each sends a request and the half of another, stays, and does so again when its "+
			"connection is ended", crowdClients)
		for i := range crowdClients {
			badClients.Go(func() {
				for n := 0; time.Now().Before(endAt); n++ {
					text := searchRequest(fmt.Sprintf("bad-%d-%d", i, n), 99).encode()
					stay(g.address, text+text[:len(text)/2])
				}
			})
		}
	}
	time.Sleep(crowdStart)
	sent := sendSteadily(g.address, endAt)
	badClients.Wait()
	return w.judgeDeadlines([][]sentRequest{sent}, nil)
}

// searchRequest returns a valid request.
func searchRequest(id string, customer int) request {
	return request{id: id, class: "search", method: http.MethodGet, customer: customer, plan: "standard",
		deadline: crowdDeadline, units: 1, spread: 2}
}

// sendSteadily sends the requests of usual clients, each on a connection of its own.
func sendSteadily(address string, endAt time.Time) []sentRequest {
	var mu sync.Mutex
	var sent []sentRequest
	var clients sync.WaitGroup
	for i := 0; time.Now().Before(endAt); i++ {
		r := searchRequest(fmt.Sprintf("usual-%03d", i), i%8+1)
		clients.Go(func() {
			at := time.Now()
			result := exchange(address, r, crowdStay)
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, sentRequest{r, at, result})
		})
		time.Sleep(crowdInterval)
	}
	clients.Wait()
	return sent
}

// stay sends a text and stays until the gateway ends the connection.
func stay(address, text string) {
	conn, err := dialClient(address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(crowdStay)) // fails only on a closed connection
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn) // until the gateway ends the connection
}
