// Package configcheck validates a gateway's configuration file. Unlike package config, which stops at the first value
// that prevents the gateway from starting, it reports every problem with its JSON path and line.
package configcheck

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"springfield/internal/config"
)

// Severity classifies a problem.
type Severity uint8

// The severities of a problem.
const (
	// Warning marks a value that has no effect or is likely to be a mistake.
	Warning Severity = iota + 1
	// Error marks a value that the gateway cannot use: it would not start, or would not do what the file says.
	Error
)

// String returns the severity in lower case.
func (s Severity) String() string {
	switch s {
	case Warning:
		return "warning"
	case Error:
		return "error"
	default:
		return fmt.Sprintf("Severity(%d)", uint8(s))
	}
}

// Problem describes an invalid or questionable value of a configuration.
type Problem struct {
	Severity Severity
	Path     string // JSON path, such as "$.settings.Classes[0].AimMs"
	Line     int    // line number from 1; for a missing value, the line of the enclosing object
	Reason   string
}

// String returns the path and the reason.
func (p Problem) String() string { return p.Path + ": " + p.Reason }

// Check returns the problems of a configuration file, ordered by line. A file that is not valid JSON has a single
// problem.
func Check(text []byte) []Problem {
	document, err := parse(text)
	if err != nil {
		return []Problem{{Severity: Error, Path: rootPath, Line: errorLine(text, err), Reason: err.Error()}}
	}
	c := &checker{lines: map[string]int{}, unusable: map[string]bool{}}
	c.checkType(document, rootPath, reflect.TypeFor[config.Config]())
	var parsed config.Config
	var mistyped *json.UnmarshalTypeError // checkType has already reported all values of a wrong type
	if err := json.Unmarshal(text, &parsed); err != nil && !errors.As(err, &mistyped) {
		c.fail(rootPath, "%v", err)
	}
	c.checkNumbers(rootPath, reflect.ValueOf(parsed))
	c.checkGateway(&parsed)
	c.checkSettings(&parsed.Settings)
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return c.problems
}

// Count returns the number of problems with the given severity.
func Count(problems []Problem, severity Severity) int {
	count := 0
	for _, problem := range problems {
		if problem.Severity == severity {
			count++
		}
	}
	return count
}

// checker collects the problems of a document.
type checker struct {
	problems []Problem
	lines    map[string]int  // line number of each path in the document
	unusable map[string]bool // paths of values that could not be decoded
}

// fail reports an error.
func (c *checker) fail(path, format string, arguments ...any) {
	c.add(Error, path, fmt.Sprintf(format, arguments...))
}

// warn reports a warning.
func (c *checker) warn(path, format string, arguments ...any) {
	c.add(Warning, path, fmt.Sprintf(format, arguments...))
}

// failMissing reports a required value that is missing or empty.
func (c *checker) failMissing(path, want string) {
	if c.has(path) {
		c.fail(path, "is empty, want %s", want)
		return
	}
	c.fail(path, "is missing, want %s", want)
}

// add reports a problem unless the value or one that contains it could not be decoded, which has already been reported.
func (c *checker) add(severity Severity, path, reason string) {
	for parent := path; parent != ""; parent = parentPath(parent) {
		if c.unusable[parent] {
			return
		}
	}
	c.problems = append(c.problems, Problem{Severity: severity, Path: path, Line: c.line(path), Reason: reason})
}

func (c *checker) has(path string) bool { return c.lines[path] > 0 }

// line returns the line of a path or, if the document does not contain it, of the innermost object that would.
func (c *checker) line(path string) int {
	for ; path != ""; path = parentPath(path) {
		if line, ok := c.lines[path]; ok {
			return line
		}
	}
	return 1
}

// rootPath is the JSON path of the whole document.
const rootPath = "$"

func memberPath(parent, key string) string {
	if isPlainKey(key) {
		return parent + "." + key
	}
	return parent + "['" + strings.NewReplacer(`\`, `\\`, `'`, `\'`).Replace(key) + "']"
}

func elementPath(parent string, index int) string { return fmt.Sprintf("%s[%d]", parent, index) }

// parentPath returns the path of the object or array that contains the given path, or "" for the root.
func parentPath(path string) string { return path[:max(0, strings.LastIndexAny(path, ".["))] }

// isPlainKey reports whether a key needs no quotes in a JSON path.
func isPlainKey(key string) bool {
	for i, r := range key {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '_'
		if !letter && (i == 0 || r < '0' || r > '9') {
			return false
		}
	}
	return key != ""
}
