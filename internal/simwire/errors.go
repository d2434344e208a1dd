package simwire

import "fmt"

// FormatError reports input that is not as the wire defines it.
type FormatError struct {
	Offset int    // of the fault, counted from the first byte of the frame
	Reason string // what is wrong
	Err    error  // cause, if another error led to this one; never io.EOF, which is left to the end of the input
}

// Error returns the offset, the reason and the cause.
func (e *FormatError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("offset %d: %s: %v", e.Offset, e.Reason, e.Err)
	}
	return fmt.Sprintf("offset %d: %s", e.Offset, e.Reason)
}

// Unwrap returns the cause, or nil.
func (e *FormatError) Unwrap() error { return e.Err }

func formatErrorf(offset int, format string, args ...any) *FormatError {
	return &FormatError{Offset: offset, Reason: fmt.Sprintf(format, args...)}
}
