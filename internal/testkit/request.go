package testkit

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// CustomerPath is the last segment of a request's path, which identifies the customer.
const CustomerPath = "/00000000b4d65521"

// The default header values of requests.
const (
	RequestID = "9b1f03aa5c7e2d41"
	Plan      = "team"
)

// NewRequest returns a client's request to the gateway at the address. All headers are valid with the settings that
// Settings returns. The deadline is in seconds.
func NewRequest(t testing.TB, address, method, path, plan, body, deadline string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header = http.Header{
		"Req-Id":          {RequestID},
		"Plan":            {plan},
		"Req-Deadline":    {deadline},
		"Idempotency-Key": {"5c0f"},
		"Quota-Info":      {"units=2,spread=1,first=0"},
	}
	return request
}

// RequestHead returns the head of a client's request as text, including the final empty line. The head of a POST
// declares a body of one byte. The deadline is in seconds.
func RequestHead(method, class, id, deadline string) string {
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 1\r\n"
	}
	return fmt.Sprintf("%s /%s%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nPlan: %s\r\nReq-Deadline: %s\r\n"+
		"Idempotency-Key: k\r\nQuota-Info: units=1,spread=1,first=0\r\n%s\r\n",
		method, class, CustomerPath, id, Plan, deadline, length)
}
