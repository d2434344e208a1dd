package loopback

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
)

const (
	clientDialTimeout = time.Second

	// answerSlack is added to model.AnswerGrace, because time limits are 50 ms longer over sockets than in virtual time.
	answerSlack = 50 * time.Millisecond

	// drainConnectTime is how long after SIGTERM clients still open new connections to a gateway. They go on using kept
	// connections until the gateway closes them.
	drainConnectTime = 300 * time.Millisecond
)

// clientConnection is a connection from the clients to a gateway.
type clientConnection struct {
	net.Conn
	reader    *bufio.Reader
	sent      sentRequest   // the latest request on the connection
	used      bool          // at least one request has been answered on the connection
	idleSince time.Duration // when the connection became idle; meaningful only while it is kept
}

// unreadCause is the reason why a gateway has certainly or probably not read a request.
type unreadCause uint8

const (
	unreadCauseNone         unreadCause = iota // the gateway may have read the request
	unreadCauseNoConnection                    // the gateway did not accept a new connection
	unreadCauseClosed                          // the gateway closed a kept connection and had not read the whole request
)

// outcome describes how a client's exchange with a gateway ended.
type outcome struct {
	answer       emulator.Answer
	body         string
	retryAfter   time.Duration
	unread       unreadCause
	disconnected bool // the client closed its connection, or may retry because the gateway has not read the request
}

// submit sends a try of a client, which is a first request or a retry. It runs in the scheduler.
func (w *World) submit(arrival model.Arrival) {
	w.summary.Requests++
	arrival.Gateway = w.workload.Redirect(&arrival, func(number int) bool { return w.gateways[number].takesRequests() })
	r := &request{arrival: arrival, message: newMessage(w.scenario, &arrival)}
	w.requests[arrival.Request] = r
	w.aimAtRequest(r)
	w.exchange(r)
}

// exchange sends a request to its gateway in a new goroutine. If maxClientConnections are in use, it sends nothing and
// the request's answer counts as missing.
func (w *World) exchange(r *request) {
	g := w.gateways[r.arrival.Gateway]
	g.openExchanges++
	if w.clientConnections >= maxClientConnections {
		w.scheduler.After(0, func() { w.finishRequest(r, outcome{answer: emulator.AnswerMissing}) })
		return
	}
	w.clientConnections++
	kept, process := g.takeIdle(), g.process
	w.goroutines.Go(func() {
		result := w.performExchange(g, r, kept)
		w.scheduler.Do(func() {
			w.clientConnections--
			if w.prepareResend(g, process, r, &result) {
				g.exchangeEnded()
				w.exchange(r)
				return
			}
			w.finishRequest(r, result)
		})
	})
}

// prepareResend reports whether a request is to be sent once more because the gateway has not read it: the gateway
// closed a kept connection as the request arrived, or it shuts down and accepts no new connections. In the second case
// the load balancer in front of the gateways routes the request to another gateway if it can. The load balancer notices
// a crash of a gateway only after a delay, so it does not reroute a request that was lost in a crash.
func (w *World) prepareResend(g *gateway, process *process, r *request, result *outcome) bool {
	if result.unread == unreadCauseNone || r.attempts > 0 || w.scheduler.Now() >= r.arrival.Deadline {
		return false
	}
	if result.unread == unreadCauseClosed {
		resend := !r.resent && g.process == process && g.acceptsConnections()
		r.resent = r.resent || resend
		result.disconnected = !resend && g.shutdownRequested
		return resend
	}
	if r.submissionObserved || !g.shutdownRequested {
		result.disconnected = r.resent && g.shutdownRequested
		return false
	}
	otherAvailable := func(number int) bool { return number != g.index && w.gateways[number].takesRequests() }
	r.arrival.Gateway = w.workload.Redirect(&r.arrival, otherAvailable)
	resend := !r.resent && r.arrival.Gateway != g.index
	r.resent = true
	if !resend {
		r.arrival.Gateway = g.index
	}
	return resend
}

// performExchange sends a request on the kept connection, or on a new one if conn is nil, and reads the response. It
// keeps the connection for later requests if possible.
func (w *World) performExchange(g *gateway, r *request, conn *clientConnection) outcome {
	if conn == nil {
		dialer := net.Dialer{Timeout: clientDialTimeout}
		dialed, err := dialer.DialContext(w.ctx, "tcp4", g.address)
		if err != nil {
			return outcome{answer: emulator.AnswerMissing, unread: unreadCauseNoConnection}
		}
		conn = &clientConnection{Conn: dialed, reader: bufio.NewReader(dialed)}
	}
	w.scheduler.Do(func() { w.observeSubmitted(r) })
	stop := context.AfterFunc(w.ctx, func() { closeWithReset(conn.Conn) })
	defer stop()
	response, body, err := conn.roundTrip(r)
	if err != nil {
		result := w.failedOutcome(r, conn, err)
		_ = conn.Close() // the exchange is over, so an error does not matter
		return result
	}
	conn.used = true
	if response.Close || !w.keepIdle(g, conn) {
		_ = conn.Close() // the exchange is over, so an error does not matter
	}
	return newOutcome(response, body)
}

// roundTrip writes a request and reads the response.
func (c *clientConnection) roundTrip(r *request) (*http.Response, string, error) {
	readDeadline := r.arrival.Deadline + model.AnswerGrace + answerSlack
	if r.arrival.AbandonAt > 0 {
		readDeadline = min(readDeadline, r.arrival.AbandonAt)
	}
	if err := c.SetDeadline(time.Unix(0, int64(readDeadline))); err != nil {
		return nil, "", err
	}
	r.departure.beginWait(c.Conn)
	defer r.departure.endWait()
	// The client states the time that it will have left when it has sent the last byte.
	wait := r.arrival.Deadline - time.Duration(time.Now().UnixNano()) - r.transmission.length()
	encoded := r.transmission.encode(&r.message, max(time.Millisecond, wait))
	c.sent = beginSending(c.Conn, len(encoded))
	if err := r.transmission.write(c, encoded); err != nil {
		return nil, "", err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, "", err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.message.method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	return response, string(body), err
}

// failedOutcome returns the outcome of an exchange that failed: the client has given up, or the connection has ended.
func (w *World) failedOutcome(r *request, conn *clientConnection, err error) outcome {
	result := outcome{answer: emulator.AnswerMissing}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		abandoned := r.arrival.AbandonAt > 0 && w.scheduler.Now() >= r.arrival.AbandonAt
		result.disconnected = abandoned || r.departure.hasLeft()
		if result.disconnected {
			w.scheduler.Do(func() { w.observeDisconnected(r) }) // the observation must precede the close of the connection
		}
		return result
	}
	if conn.used && conn.reader.Buffered() == 0 && !conn.sent.readBeforeClose(err) {
		result.unread = unreadCauseClosed
	}
	return result
}

func (w *World) observeDisconnected(r *request) {
	w.observe(emulator.ClientDisconnected{Request: r.arrival.Request, Gateway: r.arrival.Gateway})
}

func newOutcome(response *http.Response, body string) outcome {
	result := outcome{answer: emulator.AnswerFailed, body: body}
	switch response.StatusCode {
	case http.StatusOK:
		result.answer = emulator.AnswerServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		result.answer = emulator.AnswerRejected
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err == nil {
			result.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	return result
}

// observeSubmitted observes, once for each request, that the request is sent to its gateway.
func (w *World) observeSubmitted(r *request) {
	if r.submissionObserved {
		return
	}
	r.submissionObserved = true
	w.observe(emulator.RequestSubmitted{
		Request:  r.arrival.Request,
		Original: r.arrival.Original,
		Gateway:  r.arrival.Gateway,
		Customer: r.arrival.Customer,
		Plan:     r.arrival.Plan,
		Class:    r.arrival.Class,
		Units:    r.arrival.Units,
		Deadline: r.arrival.Deadline,
	})
}

// finishRequest handles the final outcome of a try, and schedules the client's retry if there is one.
func (w *World) finishRequest(r *request, result outcome) {
	w.gateways[r.arrival.Gateway].exchangeEnded()
	w.scheduler.After(requestRetention, func() { delete(w.requests, r.arrival.Request) })
	if !r.submissionObserved {
		w.summary.FailedDials++
		w.observeSubmitted(r)
	}
	switch {
	case !result.disconnected:
		w.observe(emulator.RequestAnswered{
			Request: r.arrival.Request,
			Gateway: r.arrival.Gateway,
			Answer:  result.answer,
			Genuine: result.answer == emulator.AnswerServed && slices.Contains(r.bodies, result.body),
		})
	case result.unread != unreadCauseNone:
		w.observeDisconnected(r)
		result.answer = emulator.AnswerRejected // the gateway has not read the request, so a retry is harmless
	default:
		w.recordFinalOutcome()
		return
	}
	now := w.scheduler.Now()
	next, ok := w.workload.Retry(r.arrival, result.answer, result.retryAfter, now)
	if !ok {
		w.recordFinalOutcome()
		return
	}
	w.scheduler.After(next.At-now, func() { w.submit(next) })
}
