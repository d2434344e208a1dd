package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"springfield/policy"
)

// Limits of a message's size. The header limit includes preceding 1xx responses.
const (
	MaxBodyBytes   = 64 << 10
	MaxHeaderBytes = 16 << 10

	maxChunkOverhead = 16 << 10 // what the chunked coding of a body may add to it
)

const (
	usageHeader  = "Usage-Percent"
	rejectHeader = "Srv-Declined"

	percent         = 100
	maxUsagePercent = 1e6
)

// Response is a response that is passed on to the client.
type Response struct {
	ContentType []string
	Body        []byte
}

// readResponse reads the complete response and reports whether the connection can be kept. A response whose
// end is ambiguous may be a part of another one, so it is an error; the request may have run.
func (c *connection) readResponse(request *http.Request) (result Result, keep bool, err error) {
	c.allowance, c.head = MaxHeaderBytes, c.head[:0]
	response, err := c.readHead(request)
	if err != nil {
		return Result{}, false, err
	}
	c.allowance = MaxBodyBytes + maxChunkOverhead
	body, err := c.readBody(response)
	if err != nil {
		return Result{}, false, err
	}
	result.Status = responseStatus(response)
	result.Usage, result.HasUsage = parseUsage(response.Header[usageHeader])
	result.Response = Response{ContentType: response.Header["Content-Type"], Body: body}
	return result, !response.Close && c.reader.Buffered() == 0, nil
}

// readHead reads the head of the final response and skips interim ones.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		interim := response.StatusCode/100 == 1 && response.StatusCode != http.StatusSwitchingProtocols
		if !interim {
			return response, nil
		}
	}
}

func (c *connection) readBody(response *http.Response) ([]byte, error) {
	length := response.ContentLength
	if length > MaxBodyBytes {
		return nil, errResponseTooLong
	}
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	if len(response.TransferEncoding) == 0 || hasContentLength(c.head) {
		return nil, errAmbiguousLength
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBodyBytes+1))
	if err == nil && len(body) > MaxBodyBytes {
		err = errResponseTooLong
	}
	return body, err
}

// hasContentLength reports whether a head has a Content-Length field, which net/http drops without notice if
// there is a Transfer-Encoding. What looks like one in the part of the body that came along counts as well:
// no response is better than an ambiguous one.
func hasContentLength(head []byte) bool {
	return bytes.Contains(bytes.ToLower(head), []byte("\ncontent-length"))
}

// responseStatus maps a complete response to the status of its attempt.
func responseStatus(response *http.Response) policy.Status {
	rejected := response.Header.Get(rejectHeader) == "1"
	switch code := response.StatusCode; {
	case code == http.StatusOK:
		return policy.StatusOK
	case rejected && (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout):
		return policy.StatusRejected
	default:
		return policy.StatusServerError
	}
}

// parseUsage reads the customer's usage from the values of its header, as a share of the quota.
func parseUsage(values []string) (usage float64, ok bool) {
	if len(values) == 0 {
		return 0, false
	}
	value, err := strconv.ParseFloat(values[0], 64)
	if err == nil && value >= 0 && value <= maxUsagePercent { // false for NaN
		return value / percent, true
	}
	return 0, false
}
