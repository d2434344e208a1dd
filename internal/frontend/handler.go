package frontend

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"springfield/internal/clock"
	"springfield/internal/counters"
	"springfield/internal/eventloop"
	"springfield/internal/invariant"
	"springfield/internal/upstream"
	"springfield/policy"
)

// errorReadTimeout is for how long the rest of a bad request's body may still arrive. Without it the client would see
// a reset before it has read the error response.
const errorReadTimeout = 300 * time.Millisecond

const healthPath = "/health/ready"

// Header values that many responses share. They are never modified.
var (
	connectionClose = []string{"close"}
	noLength        = []string{"0"}
)

// Engine decides what happens to requests. It is implemented by eventloop.Loop.
type Engine interface {
	Submit(call *eventloop.Call)
	FinishAttempt(call *eventloop.Call, result upstream.Result)
	DisconnectClient(call *eventloop.Call)
}

// handler serves requests. The goroutine of each request carries out the commands for it, so that an attempt needs no
// goroutine of its own.
type handler struct {
	clock    clock.Clock
	engine   Engine
	parser   *requestParser
	limiter  *connectionLimiter
	open     openRequests
	ready    atomic.Bool
	draining atomic.Bool
}

func newHandler(options Options, limiter *connectionLimiter) *handler {
	return &handler{
		clock:   options.Clock,
		engine:  options.Engine,
		parser:  newRequestParser(options.Settings),
		limiter: limiter,
		open:    openRequests{ids: map[string]struct{}{}},
	}
}

// ServeHTTP serves one request. It panics with http.ErrAbortHandler, which closes the connection, where no response
// may be sent.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := h.clock.Now()
	conn := connectionOf(r)
	if conn != nil && !conn.claim(bodyLength(r)) {
		invariant.Violated(invariant.Starting, r.Header.Get("Req-Id"), "its connection is closed")
		panic(http.ErrAbortHandler)
	}
	if err := checkFraming(r); err != nil {
		h.respondError(w, r, err)
		return
	}
	if r.URL.Path == healthPath {
		h.respondHealth(w, r)
		return
	}
	parsed, err := h.parser.parse(r, receivedAt)
	if err != nil {
		h.respondError(w, r, err)
		return
	}
	body, err := readBody(w, r)
	if err != nil {
		h.respondError(w, r, err)
		return
	}
	if conn != nil && conn.closedByClient() {
		conn.abandon()
		counters.Count(counters.RequestAbandoned, parsed.id)
		panic(http.ErrAbortHandler) // the request was read only after its client had given up
	}
	if !h.open.add(parsed.id) {
		h.respondError(w, r, &RequestError{http.StatusConflict, "a request with this id is open"})
		return
	}
	defer h.open.remove(parsed.id)
	if conn != nil {
		conn.owe(parsed.id)
	}
	call := eventloop.NewCall(parsed.id, parsed.request, parsed.deadline)
	h.engine.Submit(call)
	stop := context.AfterFunc(r.Context(), func() { h.engine.DisconnectClient(call) })
	defer stop()
	h.serveCall(w, r, call, body)
}

// bodyLength returns the length of a request's body, or -1 if it has no definite one.
func bodyLength(r *http.Request) int64 {
	if checkFraming(r) != nil {
		return -1
	}
	return r.ContentLength
}

// checkFraming rejects bodies without a definite length. Of a length beside a transfer coding net/http drops the length
// without a trace, and the bytes after the last chunk may be another request. HTTP/1.0 has no transfer codings, and
// net/http drops the coding there. The protocol's clients send lengths only.
func checkFraming(r *http.Request) error {
	if r.TransferEncoding != nil || r.ContentLength != 0 && !r.ProtoAtLeast(1, 1) {
		return badRequest("the body has no definite length")
	}
	return nil
}

// serveCall carries out the commands for a call up to the response.
func (h *handler) serveCall(w http.ResponseWriter, r *http.Request, call *eventloop.Call, body []byte) {
	for command := range call.Commands() {
		switch command := command.(type) {
		case eventloop.Forward:
			result := command.Attempt.Do(newUpstreamRequest(r, body))
			h.engine.FinishAttempt(call, result)
			if result.Status == policy.StatusOK {
				h.respond(w, r, http.StatusOK, result.Response)
				return
			}
		case eventloop.Reject:
			h.respondRejected(w, r, command.RetryAfter)
			return
		case eventloop.Fail:
			h.respond(w, r, http.StatusBadGateway, upstream.Response{})
			return
		case eventloop.Abandon:
			// net/http would send an empty response. A client that has closed only its sending side would take that
			// for a response of an endpoint.
			if conn := connectionOf(r); conn != nil {
				conn.abandon()
			}
			panic(http.ErrAbortHandler)
		}
	}
}

func (h *handler) respondHealth(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	if !h.ready.Load() || h.draining.Load() {
		status = http.StatusServiceUnavailable
	}
	h.respond(w, r, status, upstream.Response{})
}

func (h *handler) respondRejected(w http.ResponseWriter, r *http.Request, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header()["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	h.respond(w, r, http.StatusServiceUnavailable, upstream.Response{})
}

// respondError responds to a bad request and closes its connection: where the next request begins is uncertain.
func (h *handler) respondError(w http.ResponseWriter, r *http.Request, err error) {
	counters.Count(counters.RequestInvalid, r.Header.Get("Req-Id"))
	status := http.StatusInternalServerError
	if requestError, ok := errors.AsType[*RequestError](err); ok {
		status = requestError.Status
	}
	w.Header()["Connection"] = connectionClose
	if r.ContentLength != 0 {
		// If it fails, the connection is broken and the response is lost anyway.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(errorReadTimeout))
	}
	h.respond(w, r, status, upstream.Response{})
}

// respond writes a complete response. In a drain it is the last one on its connection, even to a request that came
// before: what the client sent next might reach nobody. The same holds while there are too many connections. A further
// request that the client has sent already, or a part of one, is answered first: it was accepted.
func (h *handler) respond(w http.ResponseWriter, r *http.Request, status int, response upstream.Response) {
	header := w.Header()
	conn := connectionOf(r)
	if conn != nil {
		conn.answered()
	}
	if (h.draining.Load() || h.limiter.excess() > 0) && (conn == nil || !conn.hasUnread()) {
		header["Connection"] = connectionClose
	}
	header["Date"] = nil // suppressed: it costs more CPU than it is worth
	header["Content-Type"] = response.ContentType
	header["Content-Length"] = noLength
	if len(response.Body) > 0 {
		header["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	}
	w.WriteHeader(status)
	_, _ = w.Write(response.Body) // if it fails, net/http closes the connection
}

// openRequests are the ids of the requests that are not answered yet. An endpoint would take a second request with the
// id of an open one for a copy of it, whoever sent it.
type openRequests struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// add inserts an id. It reports false if the id is open already.
func (o *openRequests) add(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.ids[id]; ok {
		return false
	}
	o.ids[id] = struct{}{}
	return true
}

func (o *openRequests) remove(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.ids, id)
}

func (o *openRequests) contains(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.ids[id]
	return ok
}
