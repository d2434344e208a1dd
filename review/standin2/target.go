package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	targetRounds   = 20
	targetInterval = 100 * time.Millisecond
	targetService  = 20 * time.Millisecond
	targetTimeout  = 5 * time.Second
)

// badSegments are path segments with characters that HTTP does not allow in a request target.
var badSegments = []string{"møbler", `"sofa"`, "a|b", "<x>", "a^b", "{id}", `a\b`}

// playTarget lets bad clients send request targets with characters that HTTP does not allow.
func playTarget(w *world) (broken bool, err error) {
	servers, err := w.startServers(3, answerAfter(targetService))
	if err != nil {
		return false, err
	}
	discovery, err := w.startAgent(servers)
	if err != nil {
		return false, err
	}
	settings := settingsOf(0, []object{class("search", "idempotent", 1500, 6000)}, []object{plan("standard")})
	g, err := w.startGateway("gateway-0", discovery, limitsOf(128, 512), settings)
	if err != nil {
		return false, err
	}
	targets := map[string]string{} // as the clients sent them, by id
	send := func(id, segment string) {
		r := request{id: id, class: "search/" + segment, method: http.MethodGet, customer: 3, plan: "standard",
			deadline: 3, units: 1, spread: 2}
		text := r.encode()
		targets[id] = strings.Split(text, " ")[1]
		w.logf("%s is sent with the target %q: %v", id, targets[id], exchangeText(g.address, text, targetTimeout))
	}
	for i := range targetRounds {
		send(fmt.Sprintf("usual-%02d", i), "sofa")
		if w.trouble {
			send(fmt.Sprintf("bad-%02d", i), badSegments[i%len(badSegments)])
		}
		time.Sleep(targetInterval)
	}
	return w.judgeTargets(servers, targets)
}

// judgeTargets checks that the servers got each request in the form in which a client sent it.
func (w *world) judgeTargets(servers []*server, targets map[string]string) (broken bool, err error) {
	arrivals := arrivalsAt(servers)
	changed := 0
	for _, a := range arrivals {
		if a.target != targets[a.id] {
			changed++
			w.logf("%s got %s with the target %q; the client sent %q", a.server, a.id, a.target, targets[a.id])
		}
	}
	w.logf("%d requests reached a server, %d of them in a form that no client sent", len(arrivals), changed)
	if len(arrivals) == 0 {
		return false, errors.New("nothing was sent on")
	}
	return changed > 0, nil
}
