package frontend

import (
	"bytes"
	"cmp"
	"io"
	"net/http"
)

// forwardedHeaders are passed on to the endpoint unchanged.
var forwardedHeaders = []string{"Req-Id", "Idempotency-Key", "Content-Type"}

// noUserAgent keeps net/http from adding its own User-Agent header. It is never modified.
var noUserAgent = []string{""}

// upstreamHeaderCount is for the headers above and the deadline that the attempt adds.
const upstreamHeaderCount = 6

// fallbackHost is the host of a request of HTTP/1.0, which may have none.
const fallbackHost = "localhost"

// newUpstreamRequest returns the request that one attempt sends to an endpoint.
func newUpstreamRequest(r *http.Request, body []byte) *http.Request {
	header := make(http.Header, upstreamHeaderCount)
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
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	return request.WithContext(r.Context()) // it ends when the client has gone
}
