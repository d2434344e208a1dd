package frontend

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"springfield/internal/settings"
	"springfield/internal/upstream"
	"springfield/policy"
)

const (
	// responseMargin is the time between the last command for a request and the client's deadline. It covers the
	// network transit of the request before it was received and that of the response.
	responseMargin = 20 * time.Millisecond

	maxIDBytes     = 128     // maximum length of a request id or an idempotency key
	customerDigits = 16      // number of hexadecimal digits of a customer number
	customerLimit  = 1 << 33 // exclusive upper bound of customer numbers
	maxNumberBytes = 20      // maximum length of a decimal number in a header
)

// RequestError is the error for a request that is answered with an error status instead of being forwarded.
type RequestError struct {
	Status int    // HTTP status of the response
	Reason string // human-readable explanation
}

// Error returns the reason and the status.
func (e *RequestError) Error() string { return fmt.Sprintf("%s (status %d)", e.Reason, e.Status) }

func badRequest(reason string) error { return &RequestError{http.StatusBadRequest, reason} }

// requestParser parses and validates requests according to the settings of the deployment.
type requestParser struct {
	classes      map[string]requestClass // classes by name
	plans        map[string]int          // index in the settings of each plan by name
	gatewayCount int
	maxUnits     float64 // maximum size of a request
}

// requestClass holds the properties of a class that the parser checks.
type requestClass struct {
	index       int // index in the settings
	method      string
	repeatable  bool // a request may run more than once
	keyRequired bool
	deadline    time.Duration // longest deadline of a request; 0 means no limit
}

// parsedRequest is the parsed head of a request.
type parsedRequest struct {
	id         string
	repeatable bool // it may run more than once
	request    policy.Request
	deadline   time.Duration // time on the gateway clock by which the last command must be given
}

func newRequestParser(s *settings.Settings) *requestParser {
	p := &requestParser{
		classes:      make(map[string]requestClass, len(s.Classes)),
		plans:        make(map[string]int, len(s.Contracts)),
		gatewayCount: max(1, s.Balancers),
		maxUnits:     s.Extra.MostUnits,
	}
	if p.maxUnits <= 0 {
		p.maxUnits = math.MaxFloat32
	}
	for i, c := range s.Classes {
		method := http.MethodPost
		if c.Repeat == settings.RepeatIdempotent {
			method = http.MethodGet
		}
		p.classes[c.Name] = requestClass{
			index:       i,
			method:      method,
			repeatable:  c.Repeat == settings.RepeatIdempotent,
			keyRequired: c.Repeat == settings.RepeatDeduplicated,
			deadline:    settings.Duration(c.HardLimitMs),
		}
	}
	for i, plan := range s.Contracts {
		p.plans[plan.Name] = i
	}
	return p
}

// parse parses and validates the head of a request. receivedAt is a time on the gateway clock. Its errors are of type
// *RequestError.
func (p *requestParser) parse(r *http.Request, receivedAt time.Duration) (parsedRequest, error) {
	class, rest, err := p.matchClass(r)
	if err != nil {
		return parsedRequest{}, err
	}
	if r.ContentLength > upstream.MaxBodyBytes {
		return parsedRequest{}, &RequestError{http.StatusRequestEntityTooLarge, "the body is too long"}
	}
	if class.method == http.MethodGet && r.ContentLength != 0 {
		return parsedRequest{}, badRequest("a GET request has a body")
	}
	customer, err := parseCustomer(rest)
	if err != nil {
		return parsedRequest{}, err
	}
	id, err := parseIDs(r.Header, class.keyRequired)
	if err != nil {
		return parsedRequest{}, err
	}
	plan, err := p.parsePlan(r.Header["Plan"])
	if err != nil {
		return parsedRequest{}, err
	}
	timeLeft, err := parseDeadline(r.Header["Req-Deadline"], class.deadline)
	if err != nil {
		return parsedRequest{}, err
	}
	quota, err := p.parseQuotaInfo(r.Header["Quota-Info"])
	if err != nil {
		return parsedRequest{}, err
	}
	return parsedRequest{
		id:         id,
		repeatable: class.repeatable,
		request: policy.Request{
			Class:    class.index,
			Plan:     plan,
			Customer: customer,
			Units:    quota.units,
			SetSize:  quota.setSize,
			SetFirst: quota.setFirst,
		},
		deadline: receivedAt + timeLeft - responseMargin,
	}, nil
}

// matchClass returns the class that the first segment of the path names, and the rest of the path.
func (p *requestParser) matchClass(r *http.Request) (class requestClass, rest string, err error) {
	path, rooted := strings.CutPrefix(r.URL.Path, "/")
	name, rest, separated := strings.Cut(path, "/")
	class, known := p.classes[name]
	if !rooted || !separated || !known {
		return requestClass{}, "", &RequestError{http.StatusNotFound, "the path does not begin with a class"}
	}
	if r.Method != class.method {
		return requestClass{}, "", &RequestError{http.StatusMethodNotAllowed, "the class does not allow this method"}
	}
	return class, rest, nil
}

// parseCustomer parses the customer number in the last segment of a path.
func parseCustomer(path string) (policy.CustomerID, error) {
	digits := path[strings.LastIndexByte(path, '/')+1:]
	customer, err := strconv.ParseUint(digits, 16, 64)
	if len(digits) != customerDigits || err != nil || customer >= customerLimit {
		return 0, badRequest("the path does not end with a customer number")
	}
	return policy.CustomerID(customer), nil
}

// parseIDs returns the request id and validates the idempotency key.
func parseIDs(header http.Header, keyRequired bool) (id string, err error) {
	id, ok := singleValue(header["Req-Id"])
	if !ok || len(id) > maxIDBytes {
		return "", badRequest("the request id is missing, repeated or too long")
	}
	key, ok := singleValue(header["Idempotency-Key"])
	if keyRequired && !ok || len(header["Idempotency-Key"]) > 1 || len(key) > maxIDBytes {
		return "", badRequest("the idempotency key is missing, repeated or too long")
	}
	return id, nil
}

// parsePlan returns the index in the settings of the plan that the Plan header names.
func (p *requestParser) parsePlan(values []string) (int, error) {
	name, ok := singleValue(values)
	plan, known := p.plans[name]
	if !ok || !known {
		return 0, badRequest("the plan is missing, repeated or unknown")
	}
	return plan, nil
}

// parseDeadline returns how long the client waits for the response: the value of the header, at most the deadline of
// the class.
func parseDeadline(values []string, classDeadline time.Duration) (time.Duration, error) {
	text, _ := singleValue(values)
	seconds, ok := parseNumber(text)
	if !ok || seconds <= 0 {
		return 0, badRequest("the deadline is missing, repeated or not a positive number")
	}
	nanoseconds := seconds * float64(time.Second)
	if nanoseconds < float64(classDeadline) || classDeadline <= 0 {
		return time.Duration(min(nanoseconds, float64(settings.MaxDeadline))), nil
	}
	return classDeadline, nil
}

// singleValue returns the value of a header that must occur once and must not be empty.
func singleValue(values []string) (string, bool) {
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// parseNumber parses a number of decimal digits with at most one decimal point. Unlike strconv.ParseFloat it accepts no
// sign, exponent, hexadecimal digits, infinity or NaN.
func parseNumber(text string) (float64, bool) {
	if text == "" || len(text) > maxNumberBytes {
		return 0, false
	}
	for i := range len(text) {
		if c := text[i]; c != '.' && (c < '0' || c > '9') {
			return 0, false
		}
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil
}
