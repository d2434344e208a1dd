package simwire

import "fmt"

// FormatError reports input that violates the protocol.
type FormatError struct {
	Offset int    // offset of the invalid data from the first byte of the frame
	Reason string // description of the error
	Err    error  // underlying error, or nil; never io.EOF, which only marks the end of the input
}

// Error returns the offset, the reason and the underlying error, if any.
func (e *FormatError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("offset %d: %s: %v", e.Offset, e.Reason, e.Err)
	}
	return fmt.Sprintf("offset %d: %s", e.Offset, e.Reason)
}

// Unwrap returns the underlying error, or nil.
func (e *FormatError) Unwrap() error { return e.Err }

func formatErrorf(offset int, format string, args ...any) *FormatError {
	return &FormatError{Offset: offset, Reason: fmt.Sprintf(format, args...)}
}
