package discovery

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"springfield/internal/testkit"
	"springfield/policy"
)

// A watch may deliver an indented change. None of its lines is valid JSON by itself, so the lines must be assembled.
func TestIndentedChangeIsRead(t *testing.T) {
	registry := testkit.NewRegistry(t)
	client, sink := newTestClient(registry.Address())
	runClientForTest(t, client)
	sink.next(t)
	watch := testkit.Receive(t, "the watch", registry.Watches)
	watch <- "{\n  \"version\": 2,\n  \"full\": false,\n  \"servers\": [\n    {\n      \"id\": \"}{\\\"[\",\n" +
		"      \"addr\": \"127.0.0.1:1\",\n      \"state\": \"draining\"\n    }\n  ]\n}\n"
	update := sink.next(t)
	if update.Kind != policy.UpdateDelta || len(update.Endpoints) != 1 ||
		update.Endpoints[0].State != policy.StateDraining {
		t.Errorf("got %+v, want one draining endpoint", update)
	}
	watch <- `{"version":3,"full":false,"servers":[{"id":"b","addr":"127.0.0.1:2","state":"up"}]}`
	if update := sink.next(t); len(update.Endpoints) != 1 || update.Endpoints[0].State != policy.StateReady {
		t.Errorf("after the indented change: got %+v, want one ready endpoint", update)
	}
}

// A change that arrives incomplete is lost. The complete list must be fetched next, whether an empty line follows, the
// watch ends, or it falls silent.
func TestIncompleteChangeLeadsToFullList(t *testing.T) {
	for name, test := range map[string]struct {
		after        string // sent after the incomplete change
		staysOpen    bool
		watchTimeout time.Duration
	}{
		"empty line": {after: "\n\n", staysOpen: true, watchTimeout: 2 * testkit.Timeout},
		"end":        {watchTimeout: 2 * testkit.Timeout},
		"silence":    {staysOpen: true, watchTimeout: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan string, 100)
			address := newServer(t, func(w http.ResponseWriter, request *http.Request) {
				if !isWatch(request) {
					calls <- "list"
					writeText(w, `{"version":9,"full":true,"servers":[]}`)
					return
				}
				calls <- "watch"
				writeText(w, "{\"version\":10,\n\"servers\":[{\"id\":")
				if test.staysOpen {
					writeText(w, test.after)
					flush(w)
					<-request.Context().Done()
				}
			})
			client, _ := newTestClient(address)
			client.watchTimeout = test.watchTimeout
			runClientForTest(t, client)
			for i, want := range []string{"list", "watch", "list", "watch"} {
				if got := testkit.Receive(t, "a call", calls); got != want {
					t.Errorf("call %d requests a %s, want a %s", i, got, want)
				}
			}
		})
	}
}

// A watch that falls silent after a change must be opened again from the version of that change.
func TestSilentWatchResumesFromItsVersion(t *testing.T) {
	versions := make(chan string, 100)
	address := newServer(t, func(w http.ResponseWriter, request *http.Request) {
		if !isWatch(request) {
			writeText(w, `{"version":9,"full":true,"servers":[]}`)
			return
		}
		versions <- request.URL.Query().Get("after")
		writeText(w, `{"version":12,"full":false,"servers":[]}`+"\n\n")
		flush(w)
		<-request.Context().Done()
	})
	client, _ := newTestClient(address)
	client.watchTimeout = 50 * time.Millisecond
	runClientForTest(t, client)
	for _, want := range []string{"9", "12", "12"} {
		if got := testkit.Receive(t, "a watch", versions); got != want {
			t.Errorf("watch from version %s, want %s", got, want)
		}
	}
}

// A watch that delivers nothing must be renewed even if its connection is still open.
func TestSilentWatchIsRenewed(t *testing.T) {
	registry := testkit.NewRegistry(t)
	client, _ := newTestClient(registry.Address())
	client.watchTimeout = 100 * time.Millisecond
	runClientForTest(t, client)
	for range 3 {
		testkit.Receive(t, "a new watch", registry.Watches)
	}
}

// Each line of a watch, including an empty one, must restart the silence timer, which must fire once no more lines
// arrive. lastLineAt must be the arrival of the last line.
func TestKeepAliveLinesRestartTheSilenceTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const keepAliveInterval = 2 * time.Second
		client, _ := newTestClient("127.0.0.1:1")
		silent := make(chan struct{})
		timer := time.AfterFunc(watchTimeout, func() { close(silent) })
		body, lines := io.Pipe()
		ended := make(chan struct{})
		go func() {
			if err := client.readChanges(t.Context(), client.url, body, timer); err != nil {
				t.Errorf("the watch ended with error %v", err)
			}
			close(ended)
		}()
		for range 10 {
			time.Sleep(keepAliveInterval)
			writeText(lines, "\n")
		}
		lastWriteAt := time.Now()
		select {
		case <-silent:
			t.Error("timed out despite the lines")
		default:
		}
		<-silent
		if took := time.Since(lastWriteAt); took != watchTimeout {
			t.Errorf("timed out %v after the last line, want the watch timeout", took)
		}
		if err := lines.Close(); err != nil {
			t.Error(err)
		}
		<-ended
		if !client.lastLineAt.Equal(lastWriteAt) {
			t.Errorf("last line recorded at %v, written at %v", client.lastLineAt, lastWriteAt)
		}
	})
}

// Requests for complete lists by many gateways at once overload discovery. A gateway that has a list must request only
// later changes, and the complete list only when a change is lost.
func TestCachedListIsWatchedFromItsVersion(t *testing.T) {
	calls, lines := make(chan string, 100), make(chan string, 1)
	address := newServer(t, func(w http.ResponseWriter, request *http.Request) {
		calls <- request.URL.RawQuery
		if !isWatch(request) {
			writeText(w, testkit.EndpointListJSON(9, true, testkit.EndpointLine("c", "127.0.0.1:3", "up", 0)))
			return
		}
		writeText(w, <-lines+"\n")
	})
	client, sink := newTestClient(address)
	client.PublishCached(t.Context(), EndpointList{Version: 41, Full: true,
		Servers: []Instance{{ID: "a", Addr: "127.0.0.1:1", State: "up"}}})
	if update := sink.next(t); update.Kind != policy.UpdateCached || len(update.Endpoints) != 1 {
		t.Errorf("cached list: got %+v", update)
	}
	runClientForTest(t, client)
	for _, call := range []struct{ query, line string }{
		{"watch=1&after=41", testkit.EndpointListJSON(42, false, testkit.EndpointLine("b", "127.0.0.1:2", "up", 0))},
		{"watch=1&after=42", `{"version":43,"full":fal`}, // an incomplete change, which is lost
		{"", ""},
		{"watch=1&after=9", ""},
	} {
		if got := testkit.Receive(t, "a call with "+call.query, calls); got != call.query {
			t.Fatalf("called with %q, want %q", got, call.query)
		}
		if call.query != "" {
			lines <- call.line
		}
	}
}

// An invalid list or change must not replace the current list.
func TestInvalidListsAreNotPublished(t *testing.T) {
	valid := testkit.EndpointListJSON(7, true, testkit.EndpointLine("a", "127.0.0.1:1", "up", 0))
	for _, invalid := range []string{
		`{"version":8,"full":true}`, `{"version":8,"full":true,"servers":null}`, `{}`, `null`, `[]`, `{"version":-1}`,
		`{"version":8,"full":true,"servers":[{"id":"a","started_ms":1e300}]}`, `not JSON`,
	} {
		t.Run(invalid, func(t *testing.T) {
			var lists atomic.Int32
			thirdList := make(chan struct{})
			address := newServer(t, func(w http.ResponseWriter, request *http.Request) {
				if isWatch(request) {
					writeText(w, invalid+"\n")
					return
				}
				switch lists.Add(1) {
				case 1:
					writeText(w, valid)
				case 2:
					writeText(w, invalid)
				case 3:
					close(thirdList)
				}
			})
			client, sink := newTestClient(address)
			stop := runClient(t, client)
			testkit.WaitFor(t, "a third call for the list", thirdList)
			stop()
			if count := len(sink.updates); count != 1 {
				t.Errorf("got %d updates, want 1", count)
			}
			if update := sink.next(t); len(update.Endpoints) != 1 || len(client.decoder.ids.idByName) != 1 {
				t.Errorf("got %+v with IDs %v, want the valid list", update, client.decoder.ids.idByName)
			}
		})
	}
}

// follow must return an error for a change in place of the complete list, for a list without servers, and for a status
// other than 200.
func TestFollowReportsFailedCalls(t *testing.T) {
	for body, want := range map[string]string{
		`{"version":8,"full":false,"servers":[]}`: errNotFullList.Error(),
		`{"version":8,"full":true}`:               errMissingServers.Error(),
		``:                                        "503 Service Unavailable",
	} {
		address := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
			if body == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			writeText(w, body)
		})
		client, sink := newTestClient(address)
		err := client.follow(t.Context(), client.url)
		if err == nil || !strings.Contains(err.Error(), want) || client.listURL != "" || len(sink.updates) != 0 {
			t.Errorf("response %s: got error %v, want %q; list from %q", body, err, want, client.listURL)
		}
	}
}
