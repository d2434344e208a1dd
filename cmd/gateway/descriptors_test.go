package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"springfield/internal/testkit"
)

// Idle clients must not use up the file descriptors. When discovery is back after an outage, the call to it, the dials
// to endpoints and the connections of new clients must each get a descriptor at once. The program runs with a real
// descriptor limit, which is set in the configuration or only in the operating system.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	for name, limits := range map[string]string{
		"limit in the configuration":    `,"limits":{"sockets":48}`,
		"limit of the operating system": "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv(descriptorLimitVariable, "48")
			testIdleClientsDoNotExhaustDescriptors(t, limits)
		})
	}
}

func testIdleClientsDoNotExhaustDescriptors(t *testing.T, limits string) {
	const concurrent = 6
	endpoint := listen(t, "127.0.0.1:0")
	serveHTTP(t, endpoint, answerOnceConcurrent(concurrent))
	down := listen(t, "127.0.0.1:0")
	discovery := down.Addr().String()
	if err := down.Close(); err != nil {
		t.Fatal(err)
	}
	gateway := startProgram(t, writeConfig(t, `{"name":"n0","listen":"127.0.0.1:0","discovery":"`+discovery+`"`+limits+`,
"settings":{"Balancers":1,
	"Classes":[{"Name":"pay","AimMs":5000,"HardLimitMs":8000,"Repeat":"at_most_once","Value":1}],
	"Contracts":[{"Name":"team","UnitsPerS":100,"Burst":100,"Pays":1}],"Limits":{"Cancel":true}}}`))
	log := gateway.collectLog()
	fillWithIdleClients(t, gateway.address)

	watched := make(chan struct{})
	var once sync.Once
	list := testkit.EndpointListJSON(1, true, testkit.EndpointLine("s", endpoint.Addr().String(), "up", 0))
	serveHTTP(t, listen(t, discovery), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") == "" {
			_, _ = io.WriteString(w, list) // without an endpoint list the gateway serves no request
			return
		}
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		once.Do(func() { close(watched) })
		<-r.Context().Done()
	})
	select {
	case <-watched:
	case rest := <-log:
		t.Fatalf("the program ended; log: %s", rest)
	case <-time.After(testkit.Timeout):
		t.Fatal("the gateway did not open a watch of discovery")
	}

	responses := make(chan testkit.Response, concurrent)
	for i := range concurrent {
		request := payRequest(t, gateway.address, i)
		go func() {
			client := http.Client{Transport: &http.Transport{}, Timeout: testkit.Timeout}
			defer client.CloseIdleConnections()
			responses <- testkit.RoundTrip(&client, request)
		}()
	}
	for range concurrent {
		if response := <-responses; response.Status != http.StatusOK {
			t.Errorf("got %+v", response)
		}
	}
	gateway.signal(syscall.SIGTERM)
	rest := <-log
	if err := gateway.command.Wait(); err != nil || strings.Contains(rest, "too many open files") {
		t.Errorf("the program ended with %v; log: %s", err, rest)
	}
}

// answerOnceConcurrent returns a handler that answers requests once the given number of them is in flight, so that each
// of them needs a connection of its own.
func answerOnceConcurrent(requests int32) http.HandlerFunc {
	var received atomic.Int32
	allReceived := make(chan struct{})
	return func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1) == requests {
			close(allReceived)
		}
		<-allReceived
		_, _ = io.WriteString(w, "done") // the client checks the response
	}
}

// fillWithIdleClients opens far more connections than the gateway has descriptors. Half of them send nothing, and half
// are idle after a request.
func fillWithIdleClients(t *testing.T, address string) {
	t.Helper()
	const connections = 120
	for i := range connections {
		client := testkit.Dial(t, address)
		if i%2 == 0 {
			// The gateway may have closed the connection already.
			_, _ = io.WriteString(client.Conn, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		}
	}
}
