package frontend

import (
	"cmp"
	"context"
	"net/http"
)

// forwardedHeaders lists the request headers that are passed on to the endpoint unchanged.
var forwardedHeaders = []string{"Req-Id", "Idempotency-Key", "Content-Type"}

// noUserAgent keeps net/http from adding its own User-Agent header. It is never modified.
var noUserAgent = []string{""}

// upstreamHeaderCapacity has room for the forwarded headers, User-Agent and the deadline that the attempt adds.
const upstreamHeaderCapacity = 6

// fallbackHost is the Host of a forwarded request whose client sent none, which HTTP/1.0 allows.
const fallbackHost = "localhost"

// newUpstreamRequest returns the request that an attempt sends to an endpoint, without its body.
func newUpstreamRequest(r *http.Request) *http.Request {
	header := make(http.Header, upstreamHeaderCapacity)
	for _, name := range forwardedHeaders {
		if values := r.Header[name]; values != nil {
			header[name] = values
		}
	}
	header["User-Agent"] = noUserAgent
	request := &http.Request{
		Method:     r.Method,
		URL:        r.URL,
		Host:       cmp.Or(r.Host, fallbackHost),
		Header:     header,
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	return request.WithContext(clientContext{Context: r.Context(), conn: connectionOf(r)})
}

// clientContext is the context of a client's request. Its error also reports a disconnect of the client that net/http
// has not noticed yet, because the process was suspended or had no processor time, and one that cannot be seen. Done
// does not.
type clientContext struct {
	context.Context
	conn *clientConn // nil if no limitedListener accepted the connection
}

// Err implements context.Context.
func (c clientContext) Err() error {
	if err := c.Context.Err(); err != nil {
		return err
	}
	if c.conn != nil && c.conn.mayHaveLeft() {
		return context.Canceled
	}
	return nil
}
