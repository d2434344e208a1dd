package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// requestBuffers holds buffers of type *bytes.Buffer into which requests are encoded.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// encodedRequest is the text of a request.
type encodedRequest struct {
	head []byte // the head, and the body too if it is short
	body []byte // a long body, which is not copied
}

// encodeRequest encodes a request into the buffer, whose content is a part of the result. A short body follows its head
// in the buffer, so that one write sends both.
func encodeRequest(buffer *bytes.Buffer, request *http.Request, body []byte) (encodedRequest, error) {
	if err := encodeHead(buffer, request, len(body)); err != nil {
		return encodedRequest{}, err
	}
	if len(body) > smallBodyBytes {
		return encodedRequest{head: buffer.Bytes(), body: body}, nil
	}
	buffer.Write(body) // never fails
	return encodedRequest{head: buffer.Bytes()}, nil
}

// encodeHead encodes the head of a request with a body of the given length.
func encodeHead(buffer *bytes.Buffer, request *http.Request, bodyLength int) error {
	if bodyLength == 0 {
		return request.Write(buffer)
	}
	end := new(endOfHead)
	request.Body, request.ContentLength = end, int64(bodyLength)
	if err := request.Write(buffer); !end.isReached {
		return errors.Join(errIncompleteHead, err)
	}
	return nil
}

// endOfHead is a body that stops the encoding of a request after its head.
type endOfHead struct{ isReached bool }

// Read implements io.Reader.
func (e *endOfHead) Read([]byte) (int, error) {
	e.isReached = true
	return 0, io.ErrUnexpectedEOF
}

// Close implements io.Closer.
func (e *endOfHead) Close() error { return nil }

// writeTo writes the request. isWhole reports whether its last byte was written.
func (r encodedRequest) writeTo(w io.Writer) (isWhole bool, err error) {
	n, err := w.Write(r.head)
	if n < len(r.head) || len(r.body) == 0 {
		return n == len(r.head), err
	}
	if err != nil {
		return false, err
	}
	n, err = w.Write(r.body)
	return n == len(r.body), err
}

// formatSeconds formats a duration as decimal seconds, and a negative one as 0.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(max(0, d.Seconds()), 'f', 3, 64)
}
