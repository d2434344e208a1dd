package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// keepAliveInterval is the interval of the empty lines of a watch.
const keepAliveInterval = 2 * time.Second

// agent is the agent of discovery on a gateway's machine. Its list never changes.
type agent struct {
	version     int
	list        []byte // one line
	silentUntil time.Time
}

// listOf returns a whole list in which the servers are up, except those that are draining by id.
func listOf(version int, servers []*server, draining map[string]bool) object {
	entries := make([]object, 0, len(servers))
	for _, s := range servers {
		state := "up"
		if draining[s.id] {
			state = "draining"
		}
		entries = append(entries, object{"id": s.id, "addr": s.address, "zone": "a", "kind": "std-2c", "cell": 0,
			"state": state, "weight": 1.0, "started_ms": 0})
	}
	return object{"version": version, "full": true, "servers": entries}
}

// startAgent starts an agent at which all servers are up, and returns its address.
func (w *world) startAgent(servers []*server) (string, error) {
	return w.startAgentWith(1, listOf(1, servers, nil), time.Time{})
}

// startAgentWith starts an agent with a list. It takes calls at once, but is silent on them until the given time.
func (w *world) startAgentWith(version int, list object, silentUntil time.Time) (string, error) {
	line, err := json.Marshal(list)
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	a := &agent{version: version, list: append(line, '\n'), silentUntil: silentUntil}
	go func() { _ = http.Serve(listener, a) }() // ends with the process
	return listener.Addr().String(), nil
}

// ServeHTTP answers a call for the list or a watch.
func (a *agent) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
		return
	case <-time.After(time.Until(a.silentUntil)):
	}
	line := a.list
	if r.URL.Query().Get("watch") == "" {
		_, _ = rw.Write(line) // the gateway asks again if it misses the answer
		return
	}
	if r.URL.Query().Get("after") == fmt.Sprint(a.version) {
		line = []byte("\n")
	}
	control := http.NewResponseController(rw)
	for {
		if _, err := rw.Write(line); err != nil || control.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(keepAliveInterval):
			line = []byte("\n")
		}
	}
}
