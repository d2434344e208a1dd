package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is a request of a client.
type request struct {
	id       string
	class    string
	method   string
	customer int
	plan     string
	deadline float64 // seconds
	units    int
	spread   int
}

// encode returns the request as it is written to a connection.
func (r request) encode() string {
	text := fmt.Sprintf("%s /%s/%016x HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\nPlan: %s\r\n"+
		"Req-Deadline: %.3f\r\nQuota-Info: units=%d,spread=%d,first=0\r\n",
		r.method, r.class, r.customer, r.id, r.plan, r.deadline, r.units, r.spread)
	if r.method == http.MethodPost {
		text += "Content-Length: 2\r\n"
	}
	text += "\r\n"
	if r.method == http.MethodPost {
		text += "{}"
	}
	return text
}

// response is a response to a client, or the reason why there is none.
type response struct {
	at     time.Time // time of the last byte, or of the end of the connection
	status int       // 0 if there is none
	body   string
	err    error
}

// String describes the response for the record.
func (r response) String() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	return fmt.Sprintf("%d %q", r.status, r.body)
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// dialClient connects to a gateway.
func dialClient(address string) (*clientConn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// readResponse reads the next response.
func (c *clientConn) readResponse() response {
	head, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{at: time.Now(), err: err}
	}
	body, err := io.ReadAll(head.Body)
	return response{at: time.Now(), status: head.StatusCode, body: string(body), err: err}
}

// exchange sends a request on a connection of its own and returns the response, for which it waits until the timeout.
func exchange(address string, r request, timeout time.Duration) response {
	return exchangeText(address, r.encode(), timeout)
}

// exchangeText is like exchange for the text of a request.
func exchangeText(address, text string, timeout time.Duration) response {
	conn, err := dialClient(address)
	if err != nil {
		return response{at: time.Now(), err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout)) // fails only on a closed connection
	if _, err := io.WriteString(conn, text); err != nil {
		return response{at: time.Now(), err: err}
	}
	return conn.readResponse()
}
