package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"springfield/policy"
)

// Size limits of a message. The header limit includes preceding 1xx responses.
const (
	MaxBodyBytes   = 64 << 10
	MaxHeaderBytes = 16 << 10

	maxChunkOverhead = 16 << 10 // bytes that the chunked coding may add to a body
	smallBodyBytes   = 4 << 10  // length up to which a body needs no reservation of memory
	maxExcessCompare = 512      // bytes behind a response that are compared with it while they are in the socket
)

const (
	usageHeader     = "Usage-Percent"
	rejectionHeader = "Srv-Declined"

	maxStatusCode   = 599 // highest valid status code
	percent         = 100
	maxUsagePercent = 1e6
)

// Response is the part of an upstream response that is passed on to the client. Its user calls Release.
type Response struct {
	ContentType []string
	Body        []byte

	memory *reservation // of the body
}

// Release returns the memory of the body, which must not be used any more.
func (r *Response) Release() {
	r.Body = nil
	if r.memory != nil {
		r.memory.release()
	}
}

// readResponse reads the complete response and reports whether the connection can be reused. A response with an
// ambiguous end is an error, because it may be a part of another response; the request may have been executed. Long
// bodies are reserved in memory, which the caller releases.
func (c *connection) readResponse(request *http.Request, memory *reservation) (result Result, keepAlive bool,
	err error) {
	defer c.forgetHead()
	response, err := c.readHead(request)
	if err != nil {
		return Result{}, false, err
	}
	c.remainingBytes = MaxBodyBytes + maxChunkOverhead
	body, err := c.readBody(response, memory)
	if err != nil {
		return Result{}, false, err
	}
	hasExcess, err := c.checkExcess(response, body)
	if err != nil {
		return Result{}, false, err
	}
	result.Status = responseStatus(response)
	result.Usage, result.HasUsage = parseUsage(response.Header[usageHeader])
	result.Response = Response{ContentType: response.Header["Content-Type"], Body: body, memory: memory}
	return result, !hasExcess && canReuseAfter(response), nil
}

// checkExcess reports whether bytes have arrived behind a response. They are an error if the response may be
// incomplete: a body that goes on past its Content-Length looks like a complete one with something behind it. They are
// no error if the coding or the status marks the end, or if they repeat the response.
func (c *connection) checkExcess(response *http.Response, body []byte) (hasExcess bool, err error) {
	var buffer [maxExcessCompare]byte
	excess := c.peekExcess(buffer[:])
	isEndMarked := len(response.TransferEncoding) > 0 || endsWithHead(response)
	if len(excess) > 0 && !isEndMarked && !c.isCopy(excess, body) {
		return true, errExcessBytes
	}
	return len(excess) > 0, nil
}

// isCopy reports whether excess begins a second copy of the response with the given body. Its status line must be
// complete, since the end of a body could be taken for a shorter text.
func (c *connection) isCopy(excess, body []byte) bool {
	head := c.head[c.headStart:c.headEnd]
	statusLineLength := bytes.IndexByte(head, '\n') + 1
	if len(excess) < statusLineLength {
		return false
	}
	headPart := min(len(excess), len(head))
	bodyPart := min(len(excess)-headPart, len(body))
	return bytes.Equal(excess[:headPart], head[:headPart]) &&
		bytes.Equal(excess[headPart:headPart+bodyPart], body[:bodyPart])
}

// canReuseAfter reports whether a further request may be sent on the connection after a complete response. A response
// that ends with its head because of its status does not count: what belongs to it may still be on its way.
func canReuseAfter(response *http.Response) bool {
	isValid := response.StatusCode >= http.StatusOK && response.StatusCode <= maxStatusCode
	return isValid && !endsWithHead(response) && !response.Close
}

// endsWithHead reports whether a response has no body because of its status.
func endsWithHead(response *http.Response) bool {
	return response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
}

// readHead reads the head of the final response and skips interim ones. Status 101 counts as interim: the gateway never
// asks for another protocol, so the final response follows on the same connection.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	c.remainingBytes, c.readingHead = MaxHeaderBytes, true
	defer func() { c.readingHead = false }()
	for {
		c.headStart = c.headLength()
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		c.headEnd = c.headLength()
		isInterim := response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK
		if !isInterim {
			return response, nil
		}
	}
}

// readBody reads the body of a response. A body without a length ends where the endpoint closes the connection; a reset
// or any other error is no end.
func (c *connection) readBody(response *http.Response, memory *reservation) ([]byte, error) {
	length := response.ContentLength
	switch {
	case length > MaxBodyBytes:
		return nil, errResponseTooLong
	case hasAmbiguousLength(response, c.head[:c.headEnd]):
		return nil, errAmbiguousLength
	case length >= 0:
		return readBytes(response.Body, int(length), memory)
	}
	body, err := readBytes(response.Body, MaxBodyBytes+1, memory)
	switch {
	case err == nil:
		return nil, errResponseTooLong
	case !errors.Is(err, errShortBody):
		return nil, err
	case len(response.TransferEncoding) == 0 && bytes.Contains(body, c.head[c.headStart:c.headEnd]):
		return nil, errAmbiguousLength // a second copy of the response may follow the first
	}
	return body, nil
}

// readBytes reads the given number of bytes. If the body ends before, it returns what it has read and errShortBody.
// Memory for a long body is reserved and allocated once more than smallBodyBytes have arrived, so that an endpoint that
// stops after a head takes none.
func readBytes(body io.Reader, length int, memory *reservation) ([]byte, error) {
	buffer := make([]byte, min(length, smallBodyBytes))
	n, err := readFull(body, buffer)
	if err != nil || n == length {
		return buffer[:n], err
	}
	if err := memory.reserve(length); err != nil {
		return nil, err
	}
	whole := make([]byte, length)
	copy(whole, buffer)
	read, err := readFull(body, whole[n:])
	return whole[:n+read], err
}

// readFull fills the buffer. Its error is errShortBody if the body ends before. io.ReadFull is not used because its
// io.ErrUnexpectedEOF is also the error of a body that is cut off.
func readFull(body io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var read int
		read, err = body.Read(buffer[n:])
		n += read
	}
	if n < len(buffer) && errors.Is(err, io.EOF) {
		return n, errShortBody
	}
	if n == len(buffer) {
		return n, nil
	}
	return n, err
}

// headLength returns the length of the heads that have been parsed since the request. It is valid until a body is read.
func (c *connection) headLength() int { return len(c.head) - c.reader.Buffered() }

// hasAmbiguousLength reports whether the head of a response has both a Content-Length and a Transfer-Encoding field, or
// one of them that net/http has not used. net/http silently drops the Content-Length next to a Transfer-Encoding, and
// the Transfer-Encoding of an HTTP/1.0 response, so that they show only in the text of the head.
func hasAmbiguousLength(response *http.Response, head []byte) bool {
	switch {
	case len(response.TransferEncoding) > 0:
		return hasField(head, "content-length")
	case response.ContentLength >= 0 && response.ProtoAtLeast(1, 1):
		return false
	case response.ContentLength >= 0:
		return hasField(head, "transfer-encoding")
	default:
		return hasField(head, "transfer-encoding") || hasField(head, "content-length")
	}
}

// hasField reports whether a head has a field whose name begins with the given name, in lower case. Longer names count
// as well, because no response is better than an ambiguous one.
func hasField(head []byte, name string) bool {
	return bytes.Contains(bytes.ToLower(head), []byte("\n"+name))
}

// responseStatus maps a complete response to the status of its attempt.
func responseStatus(response *http.Response) policy.Status {
	rejected := response.Header.Get(rejectionHeader) == "1"
	switch code := response.StatusCode; {
	case code == http.StatusOK:
		return policy.StatusOK
	case rejected && (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout):
		return policy.StatusRejected
	default:
		return policy.StatusServerError
	}
}

// parseUsage parses the customer's usage from the values of its header and returns it as a fraction of the quota.
func parseUsage(values []string) (usage float64, ok bool) {
	if len(values) == 0 {
		return 0, false
	}
	value, err := strconv.ParseFloat(values[0], 64)
	if err == nil && value >= 0 && value <= maxUsagePercent { // the comparison is false for NaN
		return value / percent, true
	}
	return 0, false
}
