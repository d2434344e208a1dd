// Package invariant counts and logs violations of the rules that the gateway must never break. The checks are located
// where the actions are carried out. Each of them prevents a forbidden action and reports it here, because the rest of
// the program should not have requested it.
package invariant

import (
	"fmt"
	"log/slog"
	"sync/atomic"
)

// Rule identifies an invariant.
type Rule uint8

// The invariants that are checked.
const (
	Sending   Rule = iota // no attempt is sent after its client left, past its deadline or to a draining endpoint
	Repeating             // a request runs once, unless its class allows repeats, and in one attempt at a time
	Closing               // a request that was read gets a response before its connection closes
	Starting              // a request starts only if it can be answered
	ruleCount
)

var ruleNames = [ruleCount]string{"sending", "repeating", "closing", "starting"}

// String returns the name of the rule.
func (r Rule) String() string { return ruleNames[r] }

// Violation is a broken invariant.
type Violation struct {
	Rule      Rule
	RequestID string // ID of the client's request, or "" if it is unknown
	Detail    string
}

// Error describes the violation.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %v is violated by request %q: %s", v.Rule, v.RequestID, v.Detail)
}

var (
	counts           [ruleCount]atomic.Uint64
	panicOnViolation atomic.Bool
)

// PanicOnViolation makes each violation panic. Tests enable it.
func PanicOnViolation() { panicOnViolation.Store(true) }

// RecordViolation counts and logs a violation. It panics if PanicOnViolation has been called.
func RecordViolation(rule Rule, requestID, detail string) {
	counts[rule].Add(1)
	violation := &Violation{Rule: rule, RequestID: requestID, Detail: detail}
	slog.Error("invariant violated", "rule", rule.String(), "request", requestID, "detail", detail)
	if panicOnViolation.Load() {
		panic(violation)
	}
}

// Violations returns the number of violations of a rule.
func Violations(rule Rule) uint64 { return counts[rule].Load() }

// Total returns the number of violations of all rules.
func Total() (total uint64) {
	for rule := range ruleCount {
		total += Violations(rule)
	}
	return total
}
