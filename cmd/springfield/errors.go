package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// The exit statuses.
const (
	statusSuccess  = 0
	statusFailure  = 1 // a run has failed, was interrupted, or has broken a rule
	statusBadInput = 2
)

// inputError wraps an error whose cause is the command line or a file that it names.
type inputError struct{ err error }

func (e *inputError) Error() string { return e.err.Error() }

func (e *inputError) Unwrap() error { return e.err }

// inputErrorf formats an inputError.
func inputErrorf(format string, arguments ...any) error {
	return &inputError{fmt.Errorf(format, arguments...)}
}

// errRulesBroken is returned by commands whose runs have broken a rule.
var errRulesBroken = errors.New("a rule was broken")

// exitStatus writes an error on one line and returns the exit status for it.
func exitStatus(stderr io.Writer, err error) int {
	if err == nil {
		return statusSuccess
	}
	// The line tells the same as the exit status: where it cannot be written, that is left.
	_, _ = fmt.Fprintf(stderr, "%s: %s\n", programName, oneLine(err.Error()))
	var input *inputError
	if errors.As(err, &input) {
		return statusBadInput
	}
	return statusFailure
}

// oneLine joins the lines of a text.
func oneLine(text string) string {
	return strings.Join(strings.FieldsFunc(text, func(r rune) bool { return r == '\n' || r == '\r' }), "; ")
}
