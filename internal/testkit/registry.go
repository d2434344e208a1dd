package testkit

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

const watchCapacity = 100

// Registry is a discovery service whose lists and watches a test controls.
type Registry struct {
	*httptest.Server
	Watches <-chan chan<- string // receives a channel at the start of each watch; the watch sends the channel's lines

	watches chan chan<- string
	mu      sync.Mutex
	version int
	entries map[string]string // entry of each endpoint by endpoint ID
}

// NewRegistry starts a discovery service with an empty list. It stops at the end of the test.
func NewRegistry(t testing.TB) *Registry {
	watches := make(chan chan<- string, watchCapacity)
	r := &Registry{Watches: watches, watches: watches, entries: map[string]string{}}
	r.Server = httptest.NewServer(r)
	t.Cleanup(func() { r.CloseClientConnections(); r.Close() })
	return r
}

// Address returns the address of the service.
func (r *Registry) Address() string { return r.Listener.Addr().String() }

// SetVersion sets the version of the full list.
func (r *Registry) SetVersion(version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
}

// SetEntry sets the entry of one endpoint in the full list. EndpointLine returns such an entry.
func (r *Registry) SetEntry(id, entry string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[id] = entry
}

// HoldLists makes the service accept requests for the full list but delay its responses until release is called.
func (r *Registry) HoldLists() (release func()) {
	r.mu.Lock()
	return r.mu.Unlock
}

// ServeHTTP answers a request for the full list or for a watch.
func (r *Registry) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Query().Get("watch") == "" {
		r.serveList(w)
		return
	}
	r.serveWatch(w, request)
}

func (r *Registry) serveList(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := make([]string, 0, len(r.entries))
	for _, entry := range r.entries {
		entries = append(entries, entry)
	}
	_, _ = io.WriteString(w, EndpointListJSON(r.version, true, entries...)) // fails if the client has disconnected
}

func (r *Registry) serveWatch(w http.ResponseWriter, request *http.Request) {
	w.WriteHeader(http.StatusOK)
	flush(w)
	lines := make(chan string)
	r.watches <- lines
	for {
		select {
		case <-request.Context().Done():
			return
		case line := <-lines:
			_, _ = io.WriteString(w, line+"\n") // fails if the client has disconnected
			flush(w)
		}
	}
}

func flush(w http.ResponseWriter) { w.(http.Flusher).Flush() }

// EndpointLine returns the JSON entry of one endpoint as discovery sends it.
func EndpointLine(id, address, state string, startedMS int) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"m","cell":1,"state":%q,"weight":1,"started_ms":%d}`,
		id, address, state, startedMS)
}

// EndpointListJSON returns a list with the given entries as discovery sends it. The entries are the full list or, if
// full is false, only the changed ones.
func EndpointListJSON(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}
