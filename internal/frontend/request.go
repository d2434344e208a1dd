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
	// responseMargin is kept between the last command for a request and its client's deadline: the request was on its
	// way before it was received, and so is its response.
	responseMargin = 20 * time.Millisecond

	maxIDBytes     = 128     // of a request id or an idempotency key
	customerDigits = 16      // hexadecimal
	customerLimit  = 1 << 33 // customer numbers are below this
	maxNumberBytes = 20
)

// RequestError is a request that is not forwarded because of a fault of its client.
type RequestError struct {
	Status int    // of the response
	Reason string // for people to read
}

// Error returns the reason and the status.
func (e *RequestError) Error() string { return fmt.Sprintf("%s (status %d)", e.Reason, e.Status) }

func badRequest(reason string) error { return &RequestError{http.StatusBadRequest, reason} }

// requestParser parses requests by the settings of the deployment.
type requestParser struct {
	classes      map[string]requestClass
	plans        map[string]int // index of each plan
	gatewayCount int
	maxUnits     float64 // of one request
}

// requestClass is a class as the settings define it.
type requestClass struct {
	index       int
	method      string
	keyRequired bool
	deadline    time.Duration // 0: none
}

// parsedRequest is what the head of a request says.
type parsedRequest struct {
	id       string
	request  policy.Request
	deadline time.Duration // when the last command must have been given
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
			keyRequired: c.Repeat == settings.RepeatDeduplicated,
			deadline:    settings.Duration(c.HardLimitMs),
		}
	}
	for i, plan := range s.Contracts {
		p.plans[plan.Name] = i
	}
	return p
}

// parse parses the head of a request that was received at the given time. Its errors are of type *RequestError.
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
		id: id,
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

// matchClass returns the class that the first part of the path names, and the rest of the path.
func (p *requestParser) matchClass(r *http.Request) (class requestClass, rest string, err error) {
	path, rooted := strings.CutPrefix(r.URL.Path, "/")
	name, rest, separated := strings.Cut(path, "/")
	class, known := p.classes[name]
	if !rooted || !separated || !known {
		return requestClass{}, "", &RequestError{http.StatusNotFound, "no class has this path"}
	}
	if r.Method != class.method {
		return requestClass{}, "", &RequestError{http.StatusMethodNotAllowed, "the class has another method"}
	}
	return class, rest, nil
}

// parseCustomer parses the last part of a path.
func parseCustomer(path string) (policy.CustomerID, error) {
	digits := path[strings.LastIndexByte(path, '/')+1:]
	customer, err := strconv.ParseUint(digits, 16, 64)
	if len(digits) != customerDigits || err != nil || customer >= customerLimit {
		return 0, badRequest("the path does not end with a customer number")
	}
	return policy.CustomerID(customer), nil
}

// parseIDs returns the request id and checks the idempotency key.
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

// parsePlan returns the index of the plan in the settings.
func (p *requestParser) parsePlan(values []string) (int, error) {
	name, ok := singleValue(values)
	plan, known := p.plans[name]
	if !ok || !known {
		return 0, badRequest("the plan is missing, repeated or unknown")
	}
	return plan, nil
}

// parseDeadline returns the time that the client waits: what the header says, at most the deadline of the class.
func parseDeadline(values []string, classDeadline time.Duration) (time.Duration, error) {
	text, _ := singleValue(values)
	seconds, ok := parseNumber(text)
	if !ok || seconds <= 0 {
		return 0, badRequest("the deadline is missing, repeated or no positive number")
	}
	nanoseconds := seconds * float64(time.Second)
	if nanoseconds < float64(classDeadline) || classDeadline <= 0 {
		return time.Duration(min(nanoseconds, float64(settings.MaxDeadline))), nil
	}
	return classDeadline, nil
}

// singleValue returns the value of a header that must be there once.
func singleValue(values []string) (string, bool) {
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// parseNumber parses decimal digits with at most one point: no sign, exponent, hexadecimal digits or infinity.
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
