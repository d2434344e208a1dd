package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	ceilingServers   = 6
	ceilingLate      = 1    // index of the server whose connections come up late
	ceilingRate      = 60.0 // units per second
	ceilingBurst     = 66.0 // units; 1.1 seconds of the rate
	ceilingTolerance = 0.1 * ceilingBurst
	ceilingDial      = 1500.0 // milliseconds
	ceilingService   = 20 * time.Millisecond
	ceilingDeadline  = 6.0 // seconds

	ceilingFillTime  = 2 * time.Second         // after the start, in which a restarted gateway earns its share
	ceilingHoldTime  = 900 * time.Millisecond  // connections come up when their handshake is repeated after a second
	ceilingPause     = 1020 * time.Millisecond // between the two bursts
	firstBurstUnits  = 30                      // at each gateway: fewer than the rate earns during the pause
	secondBurstUnits = 33                      // at each gateway: half of the burst
	ceilingRounds    = 3
	ceilingRest      = 4 * time.Second // between two rounds, in which all stores fill
)

// playCeiling lets a customer press against its ceiling while a third of the connections come up a second late.
func playCeiling(w *world) (broken bool, err error) {
	servers, err := w.startServers(ceilingServers, answerAfter(ceilingService))
	if err != nil {
		return false, err
	}
	discovery, err := w.startAgent(servers)
	if err != nil {
		return false, err
	}
	capped := plan("kjede")
	capped["HardRate"], capped["CeilingBurst"], capped["Tolerance"] = ceilingRate, ceilingBurst, ceilingTolerance
	for round := range ceilingRounds {
		var addresses []string
		for i := range gatewayCount {
			settings := settingsOf(i, []object{class("post-ad", "at_most_once", 2000, 8000)}, []object{capped})
			settings["Limits"].(object)["DialTimeoutMs"] = ceilingDial
			g, err := w.startGateway(fmt.Sprintf("gateway-%d-%d", round, i), discovery, limitsOf(128, 512), settings)
			if err != nil {
				return false, err
			}
			addresses = append(addresses, g.address)
		}
		time.Sleep(ceilingFillTime)
		if err := w.pressCeiling(servers, addresses, round); err != nil {
			return false, err
		}
		w.killGateways()
		time.Sleep(ceilingRest)
	}
	return w.judgeCeiling(servers)
}

// pressCeiling sends the two bursts of a round.
func (w *world) pressCeiling(servers []*server, addresses []string, round int) error {
	late := servers[ceilingLate]
	var filler net.Conn
	if w.trouble {
		var err error
		if filler, err = late.hold(); err != nil {
			return err
		}
	}
	startedAt := time.Now()
	var clients sync.WaitGroup
	clients.Go(func() { w.sendBurst(addresses, fmt.Sprintf("ceiling-%d-first", round), firstBurstUnits) })
	time.Sleep(time.Until(startedAt.Add(ceilingHoldTime)))
	if filler != nil {
		if err := late.release(filler); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(startedAt.Add(ceilingPause)))
	clients.Go(func() { w.sendBurst(addresses, fmt.Sprintf("ceiling-%d-second", round), secondBurstUnits) })
	clients.Wait()
	return nil
}

// sendBurst sends requests of one unit to each gateway at once and records the responses.
func (w *world) sendBurst(addresses []string, name string, units int) {
	var clients sync.WaitGroup
	for gateway, address := range addresses {
		for i := range units {
			r := request{id: fmt.Sprintf("%s-%d-%02d", name, gateway, i), class: "post-ad", method: http.MethodPost,
				customer: 7, plan: "kjede", deadline: ceilingDeadline, units: 1, spread: gatewayCount}
			clients.Go(func() {
				at := time.Now()
				result := exchange(address, r, 2*time.Duration(ceilingDeadline)*time.Second)
				w.logf("%s sent at %.3f: %v", r.id, w.since(at), result)
			})
		}
	}
	clients.Wait()
}

// judgeCeiling follows the customer's store, from which each request takes a unit when its first attempt arrives.
func (w *world) judgeCeiling(servers []*server) (broken bool, err error) {
	arrivals := arrivalsAt(servers)
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	for _, s := range servers {
		w.logf("%s accepted %d connections", s.id, s.acceptedConnections())
	}
	store, lowest, counted := ceilingBurst, ceilingBurst, map[string]bool{}
	last := w.startedAt
	for _, a := range arrivals {
		if counted[a.id] {
			continue
		}
		counted[a.id] = true
		store = min(ceilingBurst, store+ceilingRate*a.at.Sub(last).Seconds()) - 1
		last = a.at
		lowest = min(lowest, store)
		w.logf("%s ran at %.3f at %s; the store holds %.1f units", a.id, w.since(a.at), a.server, store)
	}
	bound := -ceilingTolerance - ceilingRate*socketsSlack.Seconds()
	w.logf("%d requests took a unit; the store's lowest level was %.1f units, and %.1f are allowed", len(counted),
		lowest, bound)
	if len(counted) < firstBurstUnits {
		return false, errors.New("hardly any request was sent on")
	}
	return lowest < bound, nil
}
