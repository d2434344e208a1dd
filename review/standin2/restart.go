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
	restartSilence  = 8 * time.Second // outage of discovery
	restartLength   = 7 * time.Second
	restartInterval = 20 * time.Millisecond
	restartService  = 50 * time.Millisecond
	restartDeadline = 3.0 // seconds
	drainGrace      = time.Second
)

// turnAway answers as a listing server that drains: it turns the request away unseen.
func turnAway(conn net.Conn, _ arrival) bool {
	_, err := fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// playRestart starts a gateway whose known list is out of date while its agent is silent.
func playRestart(w *world) (broken bool, err error) {
	servers, err := w.startServers(3, answerAfter(restartService))
	if err != nil {
		return false, err
	}
	draining, err := w.startServer("s-draining", turnAway)
	if err != nil {
		return false, err
	}
	servers = append(servers, draining)
	silentUntil := time.Now()
	if w.trouble {
		silentUntil = silentUntil.Add(restartSilence)
	}
	w.logf("the agent has been sent that %s drains; discovery is down until %.3f", draining.id, w.since(silentUntil))
	discovery, err := w.startAgentWith(41, listOf(41, servers, map[string]bool{draining.id: true}), silentUntil)
	if err != nil {
		return false, err
	}
	settings := settingsOf(0, []object{class("search", "idempotent", 1500, 6000)}, []object{plan("standard")})
	g, err := w.startGatewayKnowing("gateway-0", discovery, limitsOf(128, 512), settings, listOf(40, servers, nil))
	if err != nil {
		return false, err
	}
	readyAt := time.Now()
	w.logf("the gateway is ready; the front admits it")
	var clients sync.WaitGroup
	for i := 0; time.Since(readyAt) < restartLength; i++ {
		r := request{id: fmt.Sprintf("restart-%03d", i), class: "search", method: http.MethodGet, customer: i%8 + 1,
			plan: "standard", deadline: restartDeadline, units: 1, spread: 2}
		clients.Go(func() {
			at := time.Now()
			result := exchange(g.address, r, 2*time.Second*time.Duration(restartDeadline))
			w.logf("%s sent at %.3f: %v", r.id, w.since(at), result)
		})
		time.Sleep(restartInterval)
	}
	clients.Wait()
	return w.judgeDrain(servers, draining, readyAt)
}

// judgeDrain checks that the draining server got nothing after the grace, counted from when the gateway was ready,
// which is later than the first moment of its process.
func (w *world) judgeDrain(servers []*server, draining *server, readyAt time.Time) (broken bool, err error) {
	late := 0
	arrivals := arrivalsAt(servers)
	for _, a := range arrivals {
		after := a.at.Sub(readyAt)
		if a.server != draining.id {
			continue
		}
		w.logf("%s reached %s at %.3f, %.3f s after the gateway was ready", a.id, a.server, w.since(a.at),
			after.Seconds())
		if after > drainGrace+socketsSlack {
			late++
		}
	}
	w.logf("%d requests were sent on, %d of them to the draining server 1.05 s or more after the gateway was ready",
		len(arrivals), late)
	if len(arrivals) == 0 {
		return false, errors.New("nothing was sent on")
	}
	return late > 0, nil
}
