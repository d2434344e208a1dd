package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// These are the exit statuses of the program.
const (
	statusSuccess  = 0
	statusFailure  = 1 // a run failed, was interrupted or broke a rule
	statusBadInput = 2
)

// inputError marks an error as caused by the command line or by a file that it names. It exits with statusBadInput.
type inputError struct{ err error }

func (e *inputError) Error() string { return e.err.Error() }

func (e *inputError) Unwrap() error { return e.err }

// inputErrorf returns an inputError with a formatted message.
func inputErrorf(format string, arguments ...any) error {
	return &inputError{fmt.Errorf(format, arguments...)}
}

// errRulesBroken is the error of a command in which a run broke a rule.
var errRulesBroken = errors.New("a rule was broken")

// exitStatus writes an error as one line and returns the exit status for it.
func exitStatus(stderr io.Writer, err error) int {
	if err == nil {
		return statusSuccess
	}
	// A failed write is ignored: the exit status still reports the error.
	_, _ = fmt.Fprintf(stderr, "%s: %s\n", programName, oneLine(err.Error()))
	var input *inputError
	if errors.As(err, &input) {
		return statusBadInput
	}
	return statusFailure
}

// oneLine joins the lines of a text with semicolons.
func oneLine(text string) string {
	return strings.Join(strings.FieldsFunc(text, func(r rune) bool { return r == '\n' || r == '\r' }), "; ")
}
