package upstream

import (
	"errors"

	"springfield/policy"
)

// Reasons for which an attempt gets no connection.
var (
	errPoolFull       = errors.New("all connections of the pool are open")
	errAttemptAborted = errors.New("the attempt was aborted")
	errNoSocket       = errors.New("the dialer returned a connection without a socket")
)

// Reasons for which a response is not used.
var (
	errResponseTooLong = errors.New("the response is too long")
	errAmbiguousLength = errors.New("the length of the response is ambiguous")
)

// connectStatus maps an error of Attempt.connect to the status of the attempt. A full pool is the gateway's
// own limit and no fault of the endpoint.
func connectStatus(err error) policy.Status {
	if errors.Is(err, errPoolFull) || errors.Is(err, errAttemptAborted) {
		return policy.StatusNotSent
	}
	return policy.StatusConnectFailed
}
