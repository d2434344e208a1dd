package upstream

import (
	"errors"

	"springfield/internal/oserror"
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

// connectStatus maps an error before the last byte of a request to the status of the attempt. A full pool is the
// gateway's own limit and, as a failure of this machine, no fault of the endpoint.
func connectStatus(err error) policy.Status {
	switch {
	case errors.Is(err, errPoolFull) || errors.Is(err, errAttemptAborted):
		return policy.StatusNotSent
	case oserror.IsLocal(err):
		return policy.StatusLocalFailure
	default:
		return policy.StatusConnectFailed
	}
}

// brokenStatus maps an error after the last byte of a request to the status of the attempt: it may have run. A failure
// of this machine is not held against the endpoint.
func brokenStatus(err error) policy.Status {
	if oserror.IsLocal(err) {
		return policy.StatusCancelled
	}
	return policy.StatusReset
}
