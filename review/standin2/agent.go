package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

const (
	keepAliveInterval = 2 * time.Second // between the empty lines of a watch
	listVersion       = "1"
)

// startAgent starts the agent of discovery, whose list never changes, and returns its address.
func startAgent(servers []*server, zone string) (string, error) {
	entries := make([]object, 0, len(servers))
	for _, s := range servers {
		entries = append(entries, object{"id": s.id, "addr": s.address, "zone": zone, "kind": "std-2c", "cell": 0,
			"state": "up", "weight": 1.0, "started_ms": 0})
	}
	list, err := json.Marshal(object{"version": json.Number(listVersion), "full": true, "servers": entries})
	if err != nil {
		return "", err
	}
	list = append(list, '\n')
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") == "" {
			_, _ = rw.Write(list) // the gateway asks again if it misses the answer
			return
		}
		line := list
		if r.URL.Query().Get("after") == listVersion {
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
	})
	go func() { _ = http.Serve(listener, mux) }() // ends with the process
	return listener.Addr().String(), nil
}
