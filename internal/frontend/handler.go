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

// errorReadTimeout limits how long the rest of an invalid request's body is read. If the body were not read, the client
// would get a connection reset before it has read the error response.
const errorReadTimeout = 300 * time.Millisecond

const healthPath = "/health/ready"

// Header values that responses share. They must not be modified.
var (
	connectionClose = []string{"close"}
	zeroLength      = []string{"0"}
)

// Engine decides how requests are handled. eventloop.Loop implements it.
type Engine interface {
	Submit(call *eventloop.Call)
	FinishAttempt(call *eventloop.Call, result upstream.Result)
	DisconnectClient(call *eventloop.Call)
}

// handler serves requests. The goroutine of each request carries out the commands for that request, so attempts need no
// goroutines of their own.
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

// ServeHTTP serves one request. If no response may be sent, it panics with http.ErrAbortHandler, which closes the
// connection.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedAt := h.clock.Now()
	conn := connectionOf(r)
	if conn != nil && !conn.beginRequest(bodyLength(r)) {
		invariant.RecordViolation(invariant.Starting, r.Header.Get("Req-Id"), "the request starts on a closed connection")
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
		conn.markAbandoned()
		counters.Count(counters.RequestAbandoned, parsed.id)
		panic(http.ErrAbortHandler) // the client disconnected before its request was read
	}
	if !h.open.add(parsed.id) {
		h.respondError(w, r, &RequestError{http.StatusConflict, "a request with the same id is open"})
		return
	}
	defer h.open.remove(parsed.id)
	if conn != nil {
		conn.markUnanswered(parsed.id)
	}
	call := eventloop.NewCall(parsed.id, parsed.request, parsed.deadline)
	h.engine.Submit(call)
	stop := context.AfterFunc(r.Context(), func() { h.engine.DisconnectClient(call) })
	defer stop()
	h.serveCall(w, r, call, body)
}

// bodyLength returns the length of a request's body, or -1 if it is unknown.
func bodyLength(r *http.Request) int64 {
	if checkFraming(r) != nil {
		return -1
	}
	return r.ContentLength
}

// checkFraming rejects bodies without a definite length, which allow request smuggling. If a request has both a
// Content-Length and a Transfer-Encoding, net/http silently drops the length, and the bytes after the last chunk may be
// another request. For HTTP/1.0, which has no transfer codings, net/http drops the Transfer-Encoding instead. Clients
// of the protocol send a Content-Length only.
func checkFraming(r *http.Request) error {
	if r.TransferEncoding != nil || r.ContentLength != 0 && !r.ProtoAtLeast(1, 1) {
		return badRequest("the body has no definite length")
	}
	return nil
}

// serveCall carries out the commands for a call until the response is sent.
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
			// A plain return would make net/http send an empty response with status 200. A client that has closed
			// only its sending side would take that for the response of an endpoint.
			if conn := connectionOf(r); conn != nil {
				conn.markAbandoned()
			}
			panic(http.ErrAbortHandler)
		}
	}
}

// respondHealth responds to a health check.
func (h *handler) respondHealth(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	if !h.ready.Load() || h.draining.Load() {
		status = http.StatusServiceUnavailable
	}
	h.respond(w, r, status, upstream.Response{})
}

// respondRejected responds to a rejected request, with a Retry-After header unless retryAfter is 0.
func (h *handler) respondRejected(w http.ResponseWriter, r *http.Request, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header()["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	h.respond(w, r, http.StatusServiceUnavailable, upstream.Response{})
}

// respondError responds to an invalid request and closes its connection, because the start of the next request is
// uncertain.
func (h *handler) respondError(w http.ResponseWriter, r *http.Request, err error) {
	counters.Count(counters.RequestInvalid, r.Header.Get("Req-Id"))
	status := http.StatusInternalServerError
	if requestError, ok := errors.AsType[*RequestError](err); ok {
		status = requestError.Status
	}
	w.Header()["Connection"] = connectionClose
	if r.ContentLength != 0 {
		// SetReadDeadline fails only if the connection is broken, in which case the response is lost as well.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(errorReadTimeout))
	}
	h.respond(w, r, status, upstream.Response{})
}

// respond writes a complete response. During a drain the response closes its connection, also if the request arrived
// before the drain, because a further request might not be served. The same holds while the limit on connections is
// exceeded. If the client has already sent a further request or a part of one, the connection stays open, because that
// request counts as accepted and must be answered.
func (h *handler) respond(w http.ResponseWriter, r *http.Request, status int, response upstream.Response) {
	header := w.Header()
	conn := connectionOf(r)
	if conn != nil {
		conn.markAnswered()
	}
	if (h.draining.Load() || h.limiter.excess() > 0) && (conn == nil || !conn.hasUnread()) {
		header["Connection"] = connectionClose
	}
	header["Date"] = nil // nil keeps net/http from adding it, which saves CPU time
	header["Content-Type"] = response.ContentType
	header["Content-Length"] = zeroLength
	if len(response.Body) > 0 {
		header["Content-Length"] = []string{strconv.Itoa(len(response.Body))}
	}
	w.WriteHeader(status)
	_, _ = w.Write(response.Body) // net/http closes the connection on an error
}

// openRequests is the set of ids of the requests that are not answered yet. It serves to reject a second request with
// the id of an open one, which an endpoint would take for a copy of that request.
type openRequests struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// add inserts the id of a request. It returns false if a request with this id is open already.
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
