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
	body     string
}

// encode returns the request as it is written to a connection.
func (r request) encode() string {
	text := fmt.Sprintf("%s /%s/%016x HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\nPlan: %s\r\n"+
		"Req-Deadline: %.3f\r\nQuota-Info: units=%d,spread=%d,first=0\r\n",
		r.method, r.class, r.customer, r.id, r.plan, r.deadline, r.units, r.spread)
	if r.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return text + "\r\n" + r.body
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

// patience is how long a client waits for its response, which is longer than any deadline.
const patience = 15 * time.Second

// exchange sends a request on a connection of its own and returns the response.
func exchange(address string, r request) response {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return response{at: time.Now(), err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience)) // fails only on a closed connection
	if _, err := io.WriteString(conn, r.encode()); err != nil {
		return response{at: time.Now(), err: err}
	}
	head, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return response{at: time.Now(), err: err}
	}
	body, err := io.ReadAll(head.Body)
	return response{at: time.Now(), status: head.StatusCode, body: string(body), err: err}
}

// stay sends a text and stays until the gateway ends the connection.
func stay(address, text string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience)) // fails only on a closed connection
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn) // until the gateway ends the connection
}
