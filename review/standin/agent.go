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

// instance is an entry of the endpoint list.
type instance struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// endpointList is the list in the form of discovery.
type endpointList struct {
	Version int        `json:"version"`
	Full    bool       `json:"full"`
	Servers []instance `json:"servers"`
}

// agent is the discovery agent of one gateway. Its list does not change.
type agent struct {
	listener net.Listener
	list     endpointList
}

func startAgent(list endpointList) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{listener: listener, list: list}
	go func() { _ = http.Serve(listener, a) }() // ends with the process
	return a, nil
}

func (a *agent) address() string { return a.listener.Addr().String() }

// ServeHTTP answers with the whole list, or with a watch on which nothing changes.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := json.Marshal(a.list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	query := r.URL.Query()
	if query.Get("watch") == "" {
		_, _ = w.Write(text)
		return
	}
	w.WriteHeader(http.StatusOK)
	if query.Get("after") != fmt.Sprint(a.list.Version) {
		_, _ = fmt.Fprintf(w, "%s\n", text)
	}
	for {
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(keepAliveInterval):
			_, _ = fmt.Fprintln(w)
		}
	}
}
