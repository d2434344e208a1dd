package testkit_test

import (
	"bufio"
	"net/http"
	"testing"

	"springfield/internal/testkit"
)

// Guards tests against a registry that serves a list or a watch other than the one that the test has set.
func TestRegistryServesListAndWatch(t *testing.T) {
	registry := testkit.NewRegistry(t)
	registry.SetVersion(3)
	entry := testkit.EndpointLine("a", "127.0.0.1:1", "up", 5)
	registry.SetEntry("a", entry)
	url := "http://" + registry.Address() + "/registry/instances"

	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"version":3,"full":true,"servers":[` + entry + `]}`
	if got := testkit.RoundTrip(http.DefaultClient, request); got.Status != http.StatusOK || got.Body != want {
		t.Errorf("got %+v, want %s", got, want)
	}

	response, err := http.Get(url + "?watch=1&after=3")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }() // the error of closing a watch is irrelevant
	watch := testkit.Receive(t, "the watch", registry.Watches)
	watch <- testkit.EndpointListJSON(4, false)
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	if want := `{"version":4,"full":false,"servers":[]}` + "\n"; err != nil || line != want {
		t.Errorf("got %q, %v, want %q", line, err, want)
	}
}

// Guards tests against a server that does not run its script for each request, or counts requests and connections
// wrongly.
func TestServerRunsScriptForEachRequest(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true))
	for range 2 {
		client := testkit.Dial(t, server.Address())
		client.WriteText(testkit.RequestHead(http.MethodPost, "pay", "a", "1") + "x")
		if got := client.ReadResponse(); got.Status != http.StatusOK || got.Body != "ok" || got.Close {
			t.Errorf("got %+v", got)
		}
		client.Reset()
		testkit.WaitFor(t, "the closed connection", server.Closed)
	}
	if server.Connections.Load() != 2 || server.Requests.Load() != 2 {
		t.Errorf("%d connections, %d requests", server.Connections.Load(), server.Requests.Load())
	}
}
