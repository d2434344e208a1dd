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

// During a migration the old list must stay in effect until the complete list has been read from the new address.
// Versions may start again there, and the IDs of the old endpoints are released.
func TestMigrationKeepsOldListUntilNewListIsComplete(t *testing.T) {
	old, target := testkit.NewRegistry(t), testkit.NewRegistry(t)
	old.SetVersion(90)
	old.SetEntry("a", testkit.EndpointLine("a", "127.0.0.1:1", "up", 0))
	target.SetEntry("b", testkit.EndpointLine("b", "127.0.0.1:2", "up", 0))
	client, sink := newTestClient(old.Address())
	runClientForTest(t, client)
	sink.next(t)
	testkit.Receive(t, "a watch", old.Watches)
	release := target.HoldLists()
	client.Migrate(target.Address(), time.Now())
	select {
	case update := <-sink.updates:
		t.Errorf("got an update before the list was complete: %+v", update)
	default:
	}
	release()
	update := sink.next(t)
	if update.Kind != policy.UpdateFull || len(update.Endpoints) != 1 || update.Endpoints[0].Address != "127.0.0.1:2" {
		t.Errorf("got %+v, want the complete list of the new address", update)
	}
	ids := &client.decoder.ids
	if len(ids.idByName) != 1 || len(ids.names) != 1 {
		t.Errorf("the ID of the old endpoint is not released: %v", ids.idByName)
	}
	watch := testkit.Receive(t, "a watch", target.Watches)
	watch <- `{"version":1,"full":false,"servers":[{"id":"b","state":"removed"}]}`
	update = sink.next(t)
	if update.Kind != policy.UpdateDelta || update.Endpoints[0].State != policy.StateRemoved || len(ids.idByName) != 0 {
		t.Errorf("got %+v, IDs %v", update, ids.idByName)
	}
}

// manualSink accepts updates without applying them, or rejects them with err. A test closes applied to apply an update.
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

// PublishCached must not return before the list is applied, except when its context ends or the sink rejects the list.
func TestPublishCachedWaitsUntilListIsApplied(t *testing.T) {
	list := EndpointList{Version: 3, Full: true, Servers: []Instance{{ID: "a", Addr: "127.0.0.1:1", State: "up"}}}
	sink := newManualSink()
	var isApplied atomic.Bool
	go func() {
		<-sink.published
		isApplied.Store(true)
		close(sink.applied)
	}()
	NewClient(Options{}, sink).PublishCached(t.Context(), list)
	if !isApplied.Load() {
		t.Error("returned before the list was applied")
	}

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	NewClient(Options{}, newManualSink()).PublishCached(ctx, list) // returns although the list is not applied

	rejectingSink := newManualSink()
	rejectingSink.err = errors.New("stopped")
	NewClient(Options{}, rejectingSink).PublishCached(t.Context(), list) // returns although the list is not applied
}

// An empty list in the configuration must count as no list, so that the client fetches the complete list first.
func TestEmptyCachedListIsNotPublished(t *testing.T) {
	sink := newManualSink()
	client := NewClient(Options{}, sink)
	client.PublishCached(t.Context(), EndpointList{Version: 3, Full: true, Servers: []Instance{}})
	if len(sink.published) != 0 || client.listURL != "" {
		t.Errorf("got %d updates and a list from %q, want none", len(sink.published), client.listURL)
	}
}

// A change that the sink did not accept must be requested again, so the version must stay.
func TestRejectedUpdateDoesNotAdvanceVersion(t *testing.T) {
	sink := newManualSink()
	client := NewClient(Options{}, sink)
	client.publish(t.Context(), client.url, EndpointList{Version: 5, Full: true, Servers: []Instance{}})
	sink.err = errors.New("stopped")
	client.publish(t.Context(), "elsewhere", EndpointList{Version: 6, Full: true, Servers: []Instance{}})
	if client.listVersion != 5 || client.listURL != client.url {
		t.Errorf("got version %d from %s, want the last accepted version 5", client.listVersion, client.listURL)
	}
}

// A gateway becomes ready at the first response of discovery. The signal must come after the response and not before.
func TestFirstResponseIsSignalled(t *testing.T) {
	registry := testkit.NewRegistry(t)
	release := registry.HoldLists()
	client, _ := newTestClient(registry.Address())
	runClientForTest(t, client)
	select {
	case <-client.FirstResponse():
		t.Error("signalled before any response")
	default:
	}
	release()
	testkit.WaitFor(t, "the first response", client.FirstResponse())
}

// logBuffer collects log output. It may be written and read from different goroutines.
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

// captureLog redirects the log to the returned buffer until the end of the test.
func captureLog(t *testing.T) *logBuffer {
	t.Helper()
	buffer := &logBuffer{}
	logger, output, flags := slog.Default(), log.Writer(), log.Flags()
	slog.SetDefault(slog.New(slog.NewTextHandler(buffer, nil)))
	t.Cleanup(func() {
		slog.SetDefault(logger)
		log.SetOutput(output) // SetDefault has redirected package log as well
		log.SetFlags(flags)
	})
	return buffer
}

// An error that repeats must be logged only once, until it changes or discovery has responded.
func TestRepeatedErrorIsLoggedOnce(t *testing.T) {
	logged := captureLog(t)
	statuses := []int{503, 503, 503, 404, 404, 200, 404} // of the responses to calls for the list
	calls := make(chan struct{}, 100)
	var lists atomic.Int32
	address := newServer(t, func(w http.ResponseWriter, request *http.Request) {
		if isWatch(request) {
			writeText(w, "not JSON\n")
			return
		}
		status := statuses[min(int(lists.Add(1)), len(statuses))-1]
		w.WriteHeader(status)
		if status == http.StatusOK {
			writeText(w, testkit.EndpointListJSON(1, true))
		}
		calls <- struct{}{}
	})
	client, _ := newTestClient(address)
	stop := runClient(t, client)
	for range len(statuses) + 1 { // one more call: by then the last listed status has been logged
		testkit.WaitFor(t, "a call", calls)
	}
	stop()
	if got := logged.count("discovery failed"); got != 3 {
		t.Errorf("%d errors logged, want 503, 404 and, after a response, 404 again", got)
	}
	if got := logged.count("503 Service Unavailable"); got != 1 {
		t.Errorf("status 503 was logged %d times, want once", got)
	}
}

// Invalid changes must be logged, once for each reason. Nothing else would show them, because the complete list is
// fetched after each.
func TestReasonOfWatchEndIsLoggedOnce(t *testing.T) {
	logged := captureLog(t)
	watches := make(chan struct{}, 100)
	address := newServer(t, func(w http.ResponseWriter, request *http.Request) {
		if !isWatch(request) {
			writeText(w, testkit.EndpointListJSON(1, true))
			return
		}
		writeText(w, "not JSON\n")
		watches <- struct{}{}
	})
	client, _ := newTestClient(address)
	stop := runClient(t, client)
	for range 3 {
		testkit.WaitFor(t, "a watch", watches)
	}
	stop()
	if got := logged.count(errInvalidChange.Error()); got != 1 {
		t.Errorf("invalid changes were logged %d times, want once", got)
	}
}
