package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"springfield/internal/counters"
	"springfield/policy"
)

// Attempt is one attempt to execute a request at an endpoint. Its reads and writes have no deadlines of their own; its
// owner calls Abort when its time is up.
type Attempt struct {
	endpoint *Endpoint
	deadline time.Time

	mu          sync.Mutex
	conn        net.Conn           // set while the request is in flight on it
	cancelDial  context.CancelFunc // set while a connection is being dialed
	cancelWait  context.CancelFunc // set while the response waits for memory
	aborted     bool
	abortStatus policy.Status
}

// Result describes how an attempt ended.
type Result struct {
	Status   policy.Status
	HasUsage bool     // Usage is valid
	Usage    float64  // customer's usage as a fraction of its quota
	Response Response // set if a complete response was received
}

// NewAttempt returns an attempt that is carried out with Do. The endpoint is nil if it has left the list; such an
// attempt is not sent. Neither is an attempt whose first byte would be sent after the deadline.
func NewAttempt(endpoint *Endpoint, deadline time.Time) *Attempt {
	return &Attempt{endpoint: endpoint, deadline: deadline}
}

// Abort ends the attempt because it is cancelled, it has timed out, or its endpoint was replaced. Do closes the
// connection before it returns a result with the given status, so that two attempts of a request are never in flight at
// once.
func (a *Attempt) Abort(status policy.Status) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abortLocked(status)
}

// AbortUnsent cancels the attempt if nothing has been sent yet. Otherwise the attempt continues.
func (a *Attempt) AbortUnsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		a.abortLocked(policy.StatusCancelled)
	}
}

// abortLocked aborts the attempt. The caller must hold a.mu.
func (a *Attempt) abortLocked(status policy.Status) {
	if a.aborted {
		return
	}
	a.aborted, a.abortStatus = true, status
	if a.cancelDial != nil {
		a.cancelDial()
	}
	if a.cancelWait != nil {
		a.cancelWait()
	}
	if a.conn != nil {
		_ = a.conn.SetDeadline(time.Unix(1, 0)) // interrupts pending I/O; fails only on a closed connection
	}
}

// Do carries out the attempt, from getting a connection to reading the last byte of the response, which the caller
// releases. It must be called once. It sets the Req-Deadline header of the request, whose body is passed separately.
// The context of the request must end when the client disconnects.
func (a *Attempt) Do(request *http.Request, body []byte) Result {
	if a.endpoint == nil || !a.endpoint.ready.Load() {
		return Result{Status: policy.StatusNotSent}
	}
	a.endpoint.addActive(a)
	defer a.endpoint.removeActive(a)
	buffer := requestBuffers.Get().(*bytes.Buffer)
	buffer.Reset()
	defer requestBuffers.Put(buffer)

	c, err := a.connect()
	if err != nil {
		return Result{Status: sendErrorStatus(err)}
	}
	request.Header["Req-Deadline"] = []string{formatSeconds(time.Until(a.deadline))}
	message, err := encodeRequest(buffer, request, body)
	if err != nil {
		a.endpoint.releaseIdle(c)
		return Result{Status: policy.StatusNotSent}
	}
	if refusal, refused := a.startSending(request.Context(), c); refused {
		counters.Count(refusal, request.Header.Get("Req-Id"))
		a.endpoint.releaseIdle(c)
		return Result{Status: policy.StatusNotSent}
	}
	return a.exchange(c, request, message)
}

// exchange writes the encoded request and reads its response.
func (a *Attempt) exchange(c *connection, request *http.Request, message encodedRequest) Result {
	isWhole, err := message.writeTo(c)
	if !isWhole {
		a.stopSending()
		a.endpoint.pool.closeConnection(c)
		return Result{Status: sendErrorStatus(err)} // an incomplete request cannot have been executed
	}
	var result Result
	var keepAlive bool
	memory := &reservation{budget: a.endpoint.pool.responseMemory, attempt: a}
	if err == nil {
		result, keepAlive, err = c.readResponse(request, memory)
	}
	aborted, abortStatus := a.stopSending()
	if err == nil && keepAlive && !aborted {
		a.endpoint.releaseIdle(c)
	} else {
		a.endpoint.pool.closeConnection(c)
	}
	if err == nil {
		return result
	}
	memory.release()
	if aborted {
		return Result{Status: abortStatus}
	}
	return Result{Status: responseErrorStatus(err)}
}

// startSending marks the request as in flight on the connection, or returns the reason why it must no longer be sent.
// It is the only check right before the first byte. clientContext ends when the client disconnects.
func (a *Attempt) startSending(clientContext context.Context, c *connection) (refusal counters.Event, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.aborted:
		return counters.SendRefusedAborted, true
	case clientContext.Err() != nil:
		return counters.SendRefusedClient, true
	case !a.endpoint.ready.Load():
		return counters.SendRefusedEndpoint, true
	case !time.Now().Before(a.deadline):
		return counters.SendRefusedDeadline, true
	}
	a.conn = c.Conn
	return 0, false
}

// stopSending detaches the connection from the attempt. It reports whether the attempt was aborted, and with which
// status.
func (a *Attempt) stopSending() (aborted bool, status policy.Status) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return a.aborted, a.abortStatus
}

// connect returns an idle connection to the endpoint or opens a new one.
func (a *Attempt) connect() (*connection, error) {
	if c := a.endpoint.acquireIdle(); c != nil {
		return c, nil
	}
	pool := a.endpoint.pool
	if !pool.reserveConnection() {
		return nil, errPoolFull
	}
	conn, err := a.dial()
	if err != nil {
		pool.freeConnection()
		return nil, err
	}
	c, err := newConnection(conn)
	if err != nil {
		_ = conn.Close() // nothing has been sent on it
		pool.freeConnection()
		return nil, err
	}
	return c, nil
}

// dial opens a connection to the endpoint unless the attempt is aborted first. A connection that was established in
// spite of an abort is returned all the same, because another attempt can use it.
func (a *Attempt) dial() (net.Conn, error) {
	pool := a.endpoint.pool
	ctx, cancel := context.WithDeadline(context.Background(), earlier(a.deadline, time.Now().Add(pool.dialTimeout)))
	defer cancel()
	if !a.startDial(cancel) {
		return nil, errAttemptAborted
	}
	conn, err := pool.dial(ctx, "tcp", a.endpoint.address)
	if aborted := a.stopDial(); err != nil && aborted {
		return nil, errAttemptAborted
	}
	return conn, err
}

// startDial registers the function with which an abort cancels the dial. It returns false if the attempt has already
// been aborted.
func (a *Attempt) startDial(cancel context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		return false
	}
	a.cancelDial = cancel
	return true
}

// stopDial marks the dial as finished and reports whether the attempt was aborted during it.
func (a *Attempt) stopDial() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelDial = nil
	return a.aborted
}

// abortContext returns a context that ends when the attempt is aborted. cancel releases it.
func (a *Attempt) abortContext() (ctx context.Context, cancel context.CancelFunc) {
	ctx, end := context.WithCancel(context.Background())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelWait = end
	if a.aborted {
		end()
	}
	return ctx, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.cancelWait = nil
		end()
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
