package frontend

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"springfield/internal/clock"
	"springfield/internal/counters"
	"springfield/internal/eventloop"
	"springfield/internal/invariant"
	"springfield/internal/upstream"
	"springfield/policy"
)

const healthPath = "/health/ready"

// unknownLength stands for the length of a body whose end is not known.
const unknownLength = -1

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
	sent     *sentRequests
	ready    atomic.Bool
	draining atomic.Bool

	roomRetryAfter time.Duration // Retry-After of requests that are rejected for want of connections; 0 means none
}

func newHandler(options Options, limiter *connectionLimiter) *handler {
	return &handler{
		clock:   options.Clock,
		engine:  options.Engine,
		parser:  newRequestParser(options.Settings),
		limiter: limiter,
		open:    openRequests{ids: map[string]struct{}{}},
		sent:    newSentRequests(options.MaxSentRequests, options.LongestDeadline+transferMargin),

		roomRetryAfter: roomRetryAfter(options.Settings),
	}
}

// ServeHTTP serves one request. If no response may be sent, it panics with http.ErrAbortHandler, which closes the
// connection.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connectionOf(r)
	defer h.limiter.releaseMemory(conn)
	receivedAt := h.clock.Now() - conn.queueDelay()
	framingErr := checkFraming(r, conn.hasTransferEncoding())
	bodyLength := r.ContentLength
	if framingErr != nil {
		bodyLength = unknownLength
	}
	if conn != nil && !conn.beginRequest(bodyLength) {
		invariant.RecordViolation(invariant.Starting, r.Header.Get("Req-Id"), "the request starts on a closed connection")
		panic(http.ErrAbortHandler)
	}
	if framingErr != nil {
		h.respondError(w, r, framingErr)
		return
	}
	if r.URL.Path == healthPath {
		h.respondHealth(w, r)
		return
	}
	parsed, body, err := h.readRequest(w, r, receivedAt)
	switch {
	case errors.Is(err, errRequestEvicted):
		counters.Count(counters.RequestEvicted, r.Header.Get("Req-Id"))
		h.respondIncomplete(w, r)
	case errors.Is(err, errNoMemory):
		counters.Count(counters.RequestWithoutMemory, r.Header.Get("Req-Id"))
		h.respondIncomplete(w, r)
	case err != nil:
		h.respondError(w, r, err)
	case conn != nil && conn.closedByClient(): // before its request was read
		conn.markAbandoned()
		counters.Count(counters.RequestAbandoned, parsed.id)
		panic(http.ErrAbortHandler)
	case conn != nil && conn.hidesClose():
		counters.Count(counters.RequestHidesClose, parsed.id)
		h.respondRejected(w, r, 0)
	case h.limiter.isFull(conn):
		counters.Count(counters.RequestWithoutRoom, parsed.id)
		h.respondRejected(w, r, h.roomRetryAfter)
	default:
		h.serveRequest(w, r, parsed, body)
	}
}

// readRequest parses the head of a request and reads its body. Its error is errRequestEvicted, errNoMemory or a
// *RequestError.
func (h *handler) readRequest(w http.ResponseWriter, r *http.Request, receivedAt time.Duration) (parsedRequest, []byte,
	error) {
	parsed, err := h.parser.parse(r, receivedAt)
	if err != nil {
		return parsedRequest{}, nil, err
	}
	if !h.limiter.reserveBody(connectionOf(r), int(r.ContentLength), parsed.deadline-h.clock.Now()) {
		return parsedRequest{}, nil, errNoMemory
	}
	body, err := readBody(w, r)
	return parsed, body, err
}

// serveRequest submits a complete request and serves it.
func (h *handler) serveRequest(w http.ResponseWriter, r *http.Request, parsed parsedRequest, body []byte) {
	if !h.open.add(parsed.id) {
		h.respondError(w, r, &RequestError{http.StatusConflict, "a request with the same id is open"})
		return
	}
	defer h.open.remove(parsed.id)
	if !parsed.repeatable && h.sent.contains(parsed.id, time.Now()) {
		h.respondError(w, r, &RequestError{http.StatusConflict, "a request with the same id has been sent"})
		return
	}
	if conn := connectionOf(r); conn != nil {
		conn.markUnanswered(parsed.id)
	}
	call := eventloop.NewCall(parsed.id, parsed.request, parsed.deadline)
	h.engine.Submit(call)
	stop := context.AfterFunc(r.Context(), func() { h.engine.DisconnectClient(call) })
	defer stop()
	h.serveCall(w, r, call, parsed, body)
}

// checkFraming rejects bodies without a definite length, which allow request smuggling. If a request has both a
// Content-Length and a Transfer-Encoding, net/http silently drops the length, and the bytes after the last chunk may be
// another request. For HTTP/1.0, which has no transfer codings, net/http drops the Transfer-Encoding instead, so that
// the caller has to tell from the head as it was received whether there is one. Clients of the protocol send a
// Content-Length only.
func checkFraming(r *http.Request, hasTransferEncoding bool) error {
	if hasTransferEncoding || r.TransferEncoding != nil || r.ContentLength != 0 && !r.ProtoAtLeast(1, 1) {
		return badRequest("the body has no definite length")
	}
	return nil
}

// serveAttempt carries out an attempt and reports whether its response was sent to the client.
func (h *handler) serveAttempt(w http.ResponseWriter, r *http.Request, call *eventloop.Call, attempt *upstream.Attempt,
	parsed parsedRequest, body []byte) bool {
	result := attempt.Do(newUpstreamRequest(r), body)
	defer result.Response.Release()
	if !parsed.repeatable && !result.Status.NeverExecuted() {
		h.sent.add(parsed.id, time.Now())
	}
	h.engine.FinishAttempt(call, result)
	if result.Status != policy.StatusOK {
		return false
	}
	h.respond(w, r, http.StatusOK, result.Response)
	return true
}

// serveCall carries out the commands for a call until the response is sent.
func (h *handler) serveCall(w http.ResponseWriter, r *http.Request, call *eventloop.Call, parsed parsedRequest,
	body []byte) {
	for command := range call.Commands() {
		switch command := command.(type) {
		case eventloop.Forward:
			if h.serveAttempt(w, r, call, command.Attempt, parsed, body) {
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
