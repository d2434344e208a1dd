package frontend

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// Time limits for a request body. The later of the two resulting deadlines applies.
const (
	bodyTimeoutFromAccept = 2700 * time.Millisecond // from accepting the connection
	bodyTimeoutFromHead   = time.Second             // from reading the request head
)

// readBody reads the body of a request whose Content-Length has been validated. Its error is errRequestEvicted or a
// *RequestError.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(bodyDeadline(r)); err != nil {
		return nil, &RequestError{http.StatusInternalServerError, "set the read deadline: " + err.Error()}
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		switch {
		case errors.Is(err, errRequestEvicted):
			return nil, errRequestEvicted
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, &RequestError{http.StatusRequestTimeout, "the body did not arrive in time"}
		}
		return nil, badRequest("the body is incomplete: " + err.Error())
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, &RequestError{http.StatusInternalServerError, "clear the read deadline: " + err.Error()}
	}
	return body, nil
}

// bodyDeadline returns the time by which the body of a request must have arrived.
func bodyDeadline(r *http.Request) time.Time {
	deadline := time.Now().Add(bodyTimeoutFromHead)
	if conn := connectionOf(r); conn != nil {
		if fromAccept := conn.acceptedAt.Add(bodyTimeoutFromAccept); fromAccept.After(deadline) {
			return fromAccept
		}
	}
	return deadline
}
