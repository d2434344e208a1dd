package upstream

import (
	"errors"

	"springfield/internal/oserror"
	"springfield/policy"
)

// Errors that prevent an attempt from getting a connection.
var (
	errPoolFull       = errors.New("connection pool is full")
	errAttemptAborted = errors.New("attempt was aborted")
	errNotSyscallConn = errors.New("dialed connection does not implement syscall.Conn")
)

// errIncompleteHead is the error of a request whose head cannot be encoded.
var errIncompleteHead = errors.New("the head of the request cannot be encoded")

// Errors that cause a response to be discarded.
var (
	errResponseTooLong = errors.New("response is too long")
	errAmbiguousLength = errors.New("response length is ambiguous")
	errShortBody       = errors.New("response body is shorter than its length")
	errExcessBytes     = errors.New("response goes on past its Content-Length")
)

// sendErrorStatus maps an error that occurred before the last byte of a request was written to the status of the
// attempt. A full pool is a limit of the gateway itself. It is not attributed to the endpoint, and neither is a failure
// of this machine.
func sendErrorStatus(err error) policy.Status {
	switch {
	case errors.Is(err, errPoolFull) || errors.Is(err, errAttemptAborted):
		return policy.StatusNotSent
	case oserror.IsLocal(err):
		return policy.StatusLocalFailure
	default:
		return policy.StatusConnectFailed
	}
}

// responseErrorStatus maps an error that occurred after the last byte of a request was written to the status of the
// attempt. The request may have been executed. A failure of this machine is not attributed to the endpoint.
func responseErrorStatus(err error) policy.Status {
	if oserror.IsLocal(err) {
		return policy.StatusCancelled
	}
	return policy.StatusReset
}
