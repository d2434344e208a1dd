package frontend

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"springfield/internal/counters"
	"springfield/internal/settings"
	"springfield/internal/upstream"
)

// errorReadTimeout limits how long the rest of a body is read after its request was answered early. If the body were
// not read, the client would get a connection reset before it has read the response.
const errorReadTimeout = 300 * time.Millisecond

// Header values that responses share. They must not be modified.
var (
	connectionClose = []string{"close"}
	zeroLength      = []string{"0"}
)

// roomRetryAfter returns the time after which most of the connections that wait for the rest of a body have ended, as
// far as the settings allow a Retry-After.
func roomRetryAfter(s *settings.Settings) time.Duration {
	if !s.Limits.RetryAfter {
		return 0
	}
	return min(bodyTimeoutFromHead, settings.Duration(s.Limits.MaxRetryAfterMs))
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

// respondIncomplete rejects a request whose body is incomplete and closes its connection, to make room for another one.
func (h *handler) respondIncomplete(w http.ResponseWriter, r *http.Request) {
	w.Header()["Connection"] = connectionClose
	control := http.NewResponseController(w)
	// The following calls fail only if the connection is broken, in which case the response is lost as well.
	_ = control.SetReadDeadline(time.Now().Add(errorReadTimeout))
	h.respondRejected(w, r, h.roomRetryAfter)
	_ = control.Flush()
	if conn := connectionOf(r); conn != nil {
		_ = conn.CloseWrite() // a client that reads the end closes the connection, which frees the descriptor
	}
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
