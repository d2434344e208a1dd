package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one request of a client.
type request struct {
	id       string
	method   string
	class    string
	plan     string
	customer int
	deadline time.Duration
	body     string
}

// encode returns the request in the form of the protocol page.
func (q *request) encode() string {
	length := ""
	if q.method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return fmt.Sprintf("%s /%s/%016x HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\nPlan: %s\r\nReq-Deadline: %.3f\r\n%s"+
		"Quota-Info: units=1,spread=%d,first=0\r\n\r\n%s",
		q.method, q.class, q.customer, q.id, q.plan, q.deadline.Seconds(), length, gatewayCount, q.body)
}

// result is what a client got for a request.
type result struct {
	request
	status int    // 0 if the connection ended without a complete answer, or the client stopped waiting
	body   string // valid with status 200
	took   time.Duration
	err    error
}

// connection is a client's connection to a gateway.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// ask sends the request and waits for its answer until patience has passed. last reports whether the connection serves
// no further request.
func (c *connection) ask(record *record, q request, patience time.Duration) (r result, last bool) {
	r.request = q
	sentAt := time.Now()
	_ = c.SetDeadline(sentAt.Add(patience))
	record.logf("ask    id=%s %s /%s deadline=%.3f", q.id, q.method, q.class, q.deadline.Seconds())
	if _, r.err = io.WriteString(c, q.encode()); r.err == nil {
		last, r.err = c.readAnswer(&r)
	}
	r.took = time.Since(sentAt)
	if r.err != nil {
		r.status = 0
	}
	record.logf("answer id=%s status=%d after=%.3f error=%v body=%q", q.id, r.status, r.took.Seconds(), r.err, r.body)
	return r, last || r.err != nil
}

func (c *connection) readAnswer(r *result) (last bool, err error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return true, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r.status, r.body = response.StatusCode, string(body)
	return response.Close, err
}
