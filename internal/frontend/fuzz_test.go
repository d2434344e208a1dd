package frontend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"springfield/internal/settings"
	"springfield/internal/testkit"
	"springfield/internal/upstream"
)

// fuzzGatewayCount is the number of gateways in the settings of the fuzz tests.
const fuzzGatewayCount = 16

// Patterns of valid paths and quota headers, independent of the checks of the parser. Any white space in the sense of
// unicode.IsSpace is allowed around the fields of a quota header.
var (
	pathPattern  = regexp.MustCompile(`(?s)^/(lookup|add|pay)/(.*/)?([0-9a-fA-F]{16})$`)
	quotaPattern = regexp.MustCompile(`^` + quotaFieldPattern + `,` + quotaFieldPattern + `,` + quotaFieldPattern + `$`)
)

// transferEncodingPattern is the pattern of a Transfer-Encoding field in a head.
var transferEncodingPattern = regexp.MustCompile(`(?i)\nTransfer-Encoding[ \t]*:`)

const quotaFieldPattern = `[\s\v\x{85}\p{Z}]*(units|spread|first)=([0-9.]+)[\s\v\x{85}\p{Z}]*`

func newFuzzParser(t testing.TB) (*requestParser, settings.Settings) {
	t.Helper()
	s := testkit.Settings(t)
	s.Balancers = fuzzGatewayCount
	return newRequestParser(&s), s
}

// FuzzRequestHead checks that no request causes a panic, that an invalid request gets a client error, and that an
// accepted request is within the bounds of the protocol.
func FuzzRequestHead(f *testing.F) {
	parser, s := newFuzzParser(f)
	f.Add([]byte(testkit.RequestHead(http.MethodGet, "lookup", "a", "0.480")))
	f.Add([]byte(testkit.RequestHead(http.MethodPost, "pay", "a", "8") + "x"))
	http10 := strings.Replace(testkit.RequestHead(http.MethodGet, "lookup", "a", "1"), "HTTP/1.1\r\n",
		"HTTP/1.0\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n", 1)
	f.Add([]byte(http10))
	f.Add([]byte(strings.Replace(http10, "Transfer-Encoding", "tRANSFER-eNCODING", 1)))
	f.Add([]byte(strings.Replace(http10, "Transfer-Encoding: chunked", "X: a\r\n Transfer-Encoding: chunked", 1)))
	f.Fuzz(func(t *testing.T, input []byte) {
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(input)))
		if err != nil {
			return // net/http responds to it
		}
		var boundary requestBoundary
		head := input[:boundary.advance(input)]
		if err = checkFraming(request, boundary.hasTransferEncoding); err != nil {
			checkClientError(t, err)
			return
		}
		if transferEncodingPattern.Match(head) {
			t.Errorf("accepted a request with a Transfer-Encoding: %q", head)
		}
		parsed, err := parser.parse(request, time.Hour)
		if err != nil {
			checkClientError(t, err)
			return
		}
		checkAccepted(t, &s, request, parsed)
	})
}

// checkClientError checks that the error is a RequestError with a 4xx status other than 429.
func checkClientError(t *testing.T, err error) {
	t.Helper()
	requestError, ok := errors.AsType[*RequestError](err)
	if !ok || requestError.Status < 400 || requestError.Status > 499 || requestError.Status == http.StatusTooManyRequests {
		t.Errorf("%v is not a client error", err)
	}
}

// checkAccepted checks that an accepted request, received at time.Hour of the gateway clock, is within the bounds of
// the protocol.
func checkAccepted(t *testing.T, s *settings.Settings, request *http.Request, parsed parsedRequest) {
	t.Helper()
	got := parsed.request
	if got.Class < 0 || got.Class >= len(s.Classes) || got.Plan < 0 || got.Plan >= len(s.Contracts) {
		t.Fatalf("class %d, plan %d", got.Class, got.Plan)
	}
	class := &s.Classes[got.Class]
	path := pathPattern.FindStringSubmatch(request.URL.Path)
	if path == nil || path[1] != class.Name {
		t.Fatalf("class %q for path %q", class.Name, request.URL.Path)
	}
	if customer, err := strconv.ParseUint(path[3], 16, 64); err != nil || customer != uint64(got.Customer) ||
		customer >= 1<<33 {
		t.Errorf("customer %x for path %q", got.Customer, request.URL.Path)
	}
	if isGet := class.Repeat == settings.RepeatIdempotent; isGet != (request.Method == http.MethodGet) ||
		!isGet && request.Method != http.MethodPost || isGet && request.ContentLength != 0 {
		t.Errorf("class %q with method %s and a body of %d bytes", class.Name, request.Method, request.ContentLength)
	}
	if request.ContentLength < 0 || request.ContentLength > upstream.MaxBodyBytes {
		t.Errorf("a body of %d bytes", request.ContentLength)
	}
	if parsed.id == "" || len(parsed.id) > maxIDBytes || parsed.id != request.Header.Get("Req-Id") {
		t.Errorf("id %q", parsed.id)
	}
	if plan := request.Header.Get("Plan"); plan != s.Contracts[got.Plan].Name {
		t.Errorf("plan %d for %q", got.Plan, plan)
	}
	timeLeft := parsed.deadline + responseMargin - time.Hour
	stated, err := strconv.ParseFloat(request.Header.Get("Req-Deadline"), 64)
	if err != nil || stated <= 0 || timeLeft < 0 || timeLeft.Seconds() > stated ||
		timeLeft > settings.Duration(class.HardLimitMs) {
		t.Errorf("%v left of a deadline of %q", timeLeft, request.Header.Get("Req-Deadline"))
	}
	checkQuota(t, s.Extra.MostUnits, request.Header.Get("Quota-Info"),
		quotaInfo{units: got.Units, setSize: got.SetSize, setFirst: got.SetFirst})
}

// checkQuota checks the values that were parsed from an accepted quota header.
func checkQuota(t *testing.T, maxUnits float64, text string, got quotaInfo) {
	t.Helper()
	if !(got.units > 0 && got.units <= maxUnits) || got.setSize < 1 || got.setSize > fuzzGatewayCount ||
		got.setFirst < 0 || got.setFirst >= fuzzGatewayCount {
		t.Errorf("%q gives %+v", text, got)
	}
	fields := quotaPattern.FindStringSubmatch(text)
	if fields == nil {
		t.Fatalf("%q is accepted", text)
	}
	values := map[string]float64{}
	for i := 1; i < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i+1], 64)
		if err != nil {
			t.Fatalf("%q is accepted: %v", text, err)
		}
		values[fields[i]] = value
	}
	want := map[string]float64{"units": got.units, "spread": float64(got.setSize), "first": float64(got.setFirst)}
	if len(values) != len(want) {
		t.Errorf("%q is accepted", text)
	}
	for name, value := range want {
		if values[name] != value {
			t.Errorf("%q gives %+v", text, got)
		}
	}
}

// FuzzQuotaInfo checks that no quota header causes a panic, that accepted values are within their bounds, and that they
// survive formatting and parsing.
func FuzzQuotaInfo(f *testing.F) {
	parser, s := newFuzzParser(f)
	f.Add("units=2,spread=3,first=1")
	f.Add("first=15, spread=16, units=0.25")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := parser.parseQuotaInfo([]string{text})
		if err != nil {
			checkClientError(t, err)
			return
		}
		checkQuota(t, s.Extra.MostUnits, text, got)
		units := strconv.FormatFloat(got.units, 'f', -1, 64)
		if len(units) > maxNumberBytes {
			return
		}
		formatted := fmt.Sprintf("units=%s,spread=%d,first=%d", units, got.setSize, got.setFirst)
		if reparsed, err := parser.parseQuotaInfo([]string{formatted}); err != nil || reparsed != got {
			t.Errorf("%q gives %+v, %q gives %+v, %v", text, got, formatted, reparsed, err)
		}
	})
}
