package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	pipelineClients  = 3
	pipelineRequests = 16
	pipelineDeadline = 1.0 // seconds
	pipelineService  = 150 * time.Millisecond
	pipelineWait     = 15 * time.Second

	lateAnswer   = 500 * time.Millisecond // an answer may come so long after the request's time
	toldSlack    = 150 * time.Millisecond // an attempt may tell its server so much more than is left
	socketsSlack = 50 * time.Millisecond  // every time limit is longer by this on sockets
)

// sentRequest is a request with its last byte's time and its response.
type sentRequest struct {
	request
	at       time.Time
	response response
}

// playPipeline sends many requests at once on each connection.
func playPipeline(w *world) (broken bool, err error) {
	servers, err := w.startServers(4, answerAfter(pipelineService))
	if err != nil {
		return false, err
	}
	discovery, err := w.startAgent(servers)
	if err != nil {
		return false, err
	}
	settings := settingsOf(0, []object{class("search", "idempotent", 700, 2000)}, []object{plan("standard")})
	g, err := w.startGateway("gateway-0", discovery, limitsOf(128, 512), settings)
	if err != nil {
		return false, err
	}
	sent := make([][]sentRequest, pipelineClients)
	var clients sync.WaitGroup
	for i := range sent {
		clients.Go(func() {
			if w.trouble {
				sent[i] = sendAtOnce(g.address, pipelineBatch(i))
			} else {
				sent[i] = sendOneByOne(g.address, pipelineBatch(i))
			}
		})
	}
	clients.Wait()
	return w.judgeDeadlines(sent, arrivalsAt(servers))
}

// pipelineBatch returns the requests of a client.
func pipelineBatch(client int) []request {
	batch := make([]request, pipelineRequests)
	for i := range batch {
		batch[i] = request{id: fmt.Sprintf("pipeline-%d-%02d", client, i), class: "search", method: http.MethodGet,
			customer: client + 1, plan: "standard", deadline: pipelineDeadline, units: 1, spread: 2}
	}
	return batch
}

// sendAtOnce writes all requests to one connection and then reads the responses, which come in order.
func sendAtOnce(address string, batch []request) []sentRequest {
	sent := make([]sentRequest, len(batch))
	var text strings.Builder
	for i, r := range batch {
		text.WriteString(r.encode())
		sent[i].request = r
	}
	conn, err := dialClient(address)
	if err == nil {
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(pipelineWait)) // fails only on a closed connection
		_, err = io.WriteString(conn, text.String())
	}
	at := time.Now()
	for i := range sent {
		sent[i].at = at
		if err != nil {
			sent[i].response = response{at: time.Now(), err: err}
			continue
		}
		sent[i].response = conn.readResponse()
		err = sent[i].response.err
	}
	return sent
}

// sendOneByOne sends each request on a kept connection once the one before has been answered.
func sendOneByOne(address string, batch []request) []sentRequest {
	sent := make([]sentRequest, 0, len(batch))
	for _, r := range batch {
		at := time.Now()
		sent = append(sent, sentRequest{r, at, exchange(address, r, pipelineWait)})
	}
	return sent
}

// judgeDeadlines checks that each request was answered in time, and what each attempt told its server.
func (w *world) judgeDeadlines(sent [][]sentRequest, arrivals []arrival) (broken bool, err error) {
	endOf := map[string]time.Time{}
	late, told, inTime := 0, 0, 0
	for _, batch := range sent {
		for _, r := range batch {
			endOf[r.id] = r.at.Add(time.Duration(r.deadline * float64(time.Second)))
			after := r.response.at.Sub(endOf[r.id])
			w.logf("%s sent at %.3f, deadline %.3f s, ended at %.3f, %.3f s after its time: %v", r.id, w.since(r.at),
				r.deadline, w.since(r.response.at), after.Seconds(), r.response)
			switch {
			case r.response.err != nil || after > lateAnswer+socketsSlack:
				late++
			case r.response.status == http.StatusOK && after <= 0:
				inTime++
			}
		}
	}
	for _, a := range arrivals {
		excess := time.Duration(a.deadline*float64(time.Second)) - endOf[a.id].Sub(a.at)
		if excess > toldSlack+socketsSlack {
			told++
		}
		w.logf("%s ran at %.3f at %s, which was told %.3f s, %.3f s more than is left", a.id, w.since(a.at), a.server,
			a.deadline, excess.Seconds())
	}
	w.logf("%d requests served in time; %d without a final answer 0.55 s after their time; %d attempts told 0.2 s or "+
		"more too much", inTime, late, told)
	if inTime == 0 {
		return false, errors.New("no request was served in time")
	}
	return late > 0, nil
}
