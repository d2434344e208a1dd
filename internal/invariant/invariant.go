// Package invariant counts and logs violations of the rules that the gateway must never break. The guards themselves
// stand where the code acts: each asks whether an action is allowed, and reports here when it has to prevent one that
// the rest of the program should not have asked for.
package invariant

import (
	"fmt"
	"log/slog"
	"sync/atomic"
)

// Rule names an invariant.
type Rule uint8

// The rules.
const (
	Sending   Rule = iota // nothing is sent for a client that has gone, past a deadline or to an endpoint that drains
	Repeating             // a request runs once, unless its class allows repeats, and in one attempt at a time
	Closing               // a request that was read gets an answer before its connection closes
	Starting              // a request begins only where it can be answered
	ruleCount
)

var ruleNames = [ruleCount]string{"sending", "repeating", "closing", "starting"}

// String returns the name of the rule.
func (r Rule) String() string { return ruleNames[r] }

// Violation is a broken invariant.
type Violation struct {
	Rule      Rule
	RequestID string // of the client's request, if it is known
	Detail    string
}

// Error describes the violation.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %v is violated by request %q: %s", v.Rule, v.RequestID, v.Detail)
}

var (
	counts          [ruleCount]atomic.Uint64
	panicOnViolated atomic.Bool
)

// PanicOnViolation makes violations end the process. Tests turn it on.
func PanicOnViolation() { panicOnViolated.Store(true) }

// Violated records a violation.
func Violated(rule Rule, requestID, detail string) {
	counts[rule].Add(1)
	violation := &Violation{Rule: rule, RequestID: requestID, Detail: detail}
	slog.Error("invariant violated", "rule", rule.String(), "request", requestID, "detail", detail)
	if panicOnViolated.Load() {
		panic(violation)
	}
}

// Violations returns how often a rule has been violated.
func Violations(rule Rule) uint64 { return counts[rule].Load() }

// Total returns how many violations there were of all rules.
func Total() (total uint64) {
	for rule := range ruleCount {
		total += Violations(rule)
	}
	return total
}
