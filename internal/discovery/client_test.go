package discovery

import (
	"bytes"
	"context"
	"errors"
	"log"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"springfield/internal/testkit"
	"springfield/policy"
)

// In a migration the old list stays until the new one is complete, and versions may start again.
func TestMigrationKeepsTheListUntilTheNewOneIsComplete(t *testing.T) {
	old, fresh := testkit.NewRegistry(t), testkit.NewRegistry(t)
	old.SetVersion(90)
	old.SetEntry("a", testkit.EndpointLine("a", "127.0.0.1:1", "up", 0))
	fresh.SetEntry("b", testkit.EndpointLine("b", "127.0.0.1:2", "up", 0))
	client, sink := newTestClient(old.Address())
	startForTest(t, client)
	sink.next(t)
	testkit.Receive(t, "a watch", old.Watches)
	release := fresh.HoldLists()
	client.Migrate(fresh.Address(), time.Now())
	select {
	case update := <-sink.updates:
		t.Errorf("update before the list is complete: %+v", update)
	default:
	}
	release()
	update := sink.next(t)
	if update.Kind != policy.UpdateFull || len(update.Endpoints) != 1 || update.Endpoints[0].Address != "127.0.0.1:2" {
		t.Errorf("%+v", update)
	}
	ids := &client.decoder.ids
	if len(ids.byName) != 1 || len(ids.names) != 1 {
		t.Errorf("the old endpoint still has a number: %v", ids.byName)
	}
	watch := testkit.Receive(t, "a watch", fresh.Watches)
	watch <- `{"version":1,"full":false,"servers":[{"id":"b","state":"removed"}]}`
	update = sink.next(t)
	if update.Kind != policy.UpdateDelta || update.Endpoints[0].State != policy.StateRemoved || len(ids.byName) != 0 {
		t.Errorf("%+v, numbers %v", update, ids.byName)
	}
}

// manualSink accepts an update but does not apply it, or rejects it.
type manualSink struct {
	applied   chan struct{}
	err       error
	published chan struct{}
}

func (s *manualSink) PublishEndpoints(context.Context, Update) (<-chan struct{}, error) {
	s.published <- struct{}{}
	return s.applied, s.err
}

func newManualSink() *manualSink {
	return &manualSink{applied: make(chan struct{}), published: make(chan struct{}, updateCapacity)}
}

func TestPublishCachedWaitsUntilTheListIsInForce(t *testing.T) {
	list := EndpointList{Version: 3, Full: true, Servers: []Instance{{ID: "a", Addr: "127.0.0.1:1", State: "up"}}}
	sink := newManualSink()
	var inForce atomic.Bool
	go func() {
		<-sink.published
		inForce.Store(true)
		close(sink.applied)
	}()
	NewClient(Options{}, sink).PublishCached(t.Context(), list)
	if !inForce.Load() {
		t.Error("returned before the list was in force")
	}

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	NewClient(Options{}, newManualSink()).PublishCached(ctx, list) // returns though nothing applies the list

	rejecting := newManualSink()
	rejecting.err = errors.New("stopped")
	NewClient(Options{}, rejecting).PublishCached(t.Context(), list) // the same
}

// An empty list in the configuration is no list: the first real one is fetched.
func TestEmptyCachedListIsNotPublished(t *testing.T) {
	sink := newManualSink()
	client := NewClient(Options{}, sink)
	client.PublishCached(t.Context(), EndpointList{Version: 3, Full: true, Servers: []Instance{}})
	if len(sink.published) != 0 || client.listURL != "" {
		t.Errorf("%d updates, list from %q", len(sink.published), client.listURL)
	}
}

// A change that the sink did not accept is requested again.
func TestVersionStaysWhenTheSinkRejectsAnUpdate(t *testing.T) {
	sink := newManualSink()
	client := NewClient(Options{}, sink)
	client.publish(t.Context(), client.url, EndpointList{Version: 5, Full: true, Servers: []Instance{}})
	sink.err = errors.New("stopped")
	client.publish(t.Context(), "elsewhere", EndpointList{Version: 6, Full: true, Servers: []Instance{}})
	if client.listVersion != 5 || client.listURL != client.url {
		t.Errorf("version %d from %s", client.listVersion, client.listURL)
	}
}

func TestFirstResponseIsSignalled(t *testing.T) {
	registry := testkit.NewRegistry(t)
	release := registry.HoldLists()
	client, _ := newTestClient(registry.Address())
	startForTest(t, client)
	select {
	case <-client.FirstResponse():
		t.Error("signalled before any response")
	default:
	}
	release()
	testkit.WaitFor(t, "the first response", client.FirstResponse())
}

// logBuffer is written by the goroutine of the client.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(text)
}

func (b *logBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Count(b.text.Bytes(), []byte(text))
}

// captureLog redirects the log until the end of the test.
func captureLog(t *testing.T) *logBuffer {
	t.Helper()
	buffer := &logBuffer{}
	logger, output, flags := slog.Default(), log.Writer(), log.Flags()
	slog.SetDefault(slog.New(slog.NewTextHandler(buffer, nil)))
	t.Cleanup(func() {
		slog.SetDefault(logger)
		log.SetOutput(output) // SetDefault has redirected package log, too
		log.SetFlags(flags)
	})
	return buffer
}

// An error is logged once until it changes or discovery has responded.
func TestRepeatedErrorIsLoggedOnce(t *testing.T) {
	logged := captureLog(t)
	statuses := []int{503, 503, 503, 404, 404, 200, 404} // of the calls for the list
	calls := make(chan struct{}, 100)
	var lists atomic.Int32
	address := newServer(t, func(w http.ResponseWriter, request *http.Request) {
		if isWatch(request) {
			write(w, "not JSON\n")
			return
		}
		status := statuses[min(int(lists.Add(1)), len(statuses))-1]
		w.WriteHeader(status)
		if status == http.StatusOK {
			write(w, testkit.EndpointListJSON(1, true))
		}
		calls <- struct{}{}
	})
	client, _ := newTestClient(address)
	stop := start(t, client)
	for range len(statuses) + 1 { // the last status repeats; the call before it has been logged by then
		testkit.WaitFor(t, "a call", calls)
	}
	stop()
	if got := logged.count("discovery failed"); got != 3 {
		t.Errorf("%d errors logged, want 503, 404 and, after a response, 404 again", got)
	}
	if got := logged.count("503 Service Unavailable"); got != 1 {
		t.Errorf("status 503 logged %d times", got)
	}
}

// Changes that cannot be read leave a trace, once for each reason: since the complete list is fetched each time,
// nothing else would tell of them.
func TestReasonOfWatchEndIsLoggedOnce(t *testing.T) {
	logged := captureLog(t)
	watches := make(chan struct{}, 100)
	address := newServer(t, func(w http.ResponseWriter, request *http.Request) {
		if !isWatch(request) {
			write(w, testkit.EndpointListJSON(1, true))
			return
		}
		write(w, "not JSON\n")
		watches <- struct{}{}
	})
	client, _ := newTestClient(address)
	stop := start(t, client)
	for range 3 {
		testkit.WaitFor(t, "a watch", watches)
	}
	stop()
	if got := logged.count(errBadChange.Error()); got != 1 {
		t.Errorf("%d lines tell of the changes, want 1", got)
	}
}
