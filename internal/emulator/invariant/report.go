package invariant

import (
	"fmt"
	"time"

	"springfield/internal/emulator"
)

// Rule is the name of a rule that gateways must follow.
type Rule string

// The rules, in the order in which a Report lists them.
const (
	// RuleFinalAnswer requires exactly one final answer to each request, at most AnswerGrace after its deadline, and no
	// attempt after the answer. A served answer must be the one that an endpoint produced for the request. Requests of
	// a killed gateway need no answer.
	//
	// The check is stricter than the operators' rule in one point: every connection that ends without a complete
	// response is a violation, while the operators tolerate it for one in 200 requests that were not yet forwarded.
	//
	// Source: WIRE, "No lost request"; PROTOCOL, "The rules on sockets"; STANDING.
	RuleFinalAnswer Rule = "final-answer"
	// RuleSingleExecution forbids a retry of a non-idempotent request that may have been executed. It also forbids such a
	// retry of a request with an idempotency key outside of the key's scope or lifetime. Source: WIRE, "Each effect
	// happens once".
	RuleSingleExecution Rule = "single-execution"
	// RuleSafeRejection allows a rejection only if the request cannot have been executed, or if it is safe to repeat at
	// any endpoint. Source: WIRE, "Each effect happens once".
	RuleSafeRejection Rule = "safe-rejection"
	// RuleSingleAttempt allows one attempt of a request in flight at a time, unless hedging is allowed. Source: WIRE,
	// "Each effect happens once"; PROTOCOL, "Edge nodes to listing servers".
	RuleSingleAttempt Rule = "single-attempt"
	// RuleDrain forbids attempts at an endpoint once the drain grace period has passed since the gateway counts as
	// notified that the endpoint drains or was removed. Source: WIRE, "Orderly drain".
	RuleDrain Rule = "drain"
	// RuleSlowStart forbids overloading an endpoint that warms up. An overload is a violation if more than two thirds of
	// the work came from gateways that count as notified of the endpoint's start. Source: STANDING, "The whole fleet";
	// WIRE, "Controlled fail-back".
	RuleSlowStart Rule = "slow-start"
	// RuleCeiling forbids that all gateways together forward more units of a customer's requests than its ceiling
	// allows. A request is charged the units that it states, when its first attempt reaches an endpoint. Source: WIRE,
	// "No ceiling passed"; PROTOCOL, "The rules on sockets".
	RuleCeiling Rule = "ceiling"
	// RuleDisconnect forbids attempts that start more than DisconnectGrace after the client has disconnected. The check
	// is stricter than the operators' rule, which tolerates two such attempts: every one is a violation. Source:
	// STANDING, "The whole fleet".
	RuleDisconnect Rule = "disconnect"
	// RuleDeadline forbids attempts that state a later deadline than that of the client. It also forbids attempts that
	// start after the client's deadline. Over sockets, a gateway counts the time that the client states from when it
	// reads the request; see WithTransit. Source: WIRE; PROTOCOL, "Edge nodes to
	// listing servers".
	RuleDeadline Rule = "deadline"
)

// allRules lists the rules in the order of a Report.
var allRules = [...]Rule{
	RuleFinalAnswer, RuleSingleExecution, RuleSafeRejection, RuleSingleAttempt,
	RuleDrain, RuleSlowStart, RuleCeiling, RuleDisconnect, RuleDeadline,
}

// maxReportedRequests is the maximum number of requests that a RuleReport lists.
const maxReportedRequests = 20

// RuleReport describes the violations of a rule.
type RuleReport struct {
	Rule     Rule                  `json:"rule"`
	Count    int                   `json:"count"`
	Requests []emulator.RequestKey `json:"requests,omitempty"` // the first 20; none for RuleSlowStart
	FirstAt  time.Duration         `json:"first_at_ns"`        // Unix time on the clock of the run
	First    string                `json:"first"`              // description of the first violation
}

// Report lists the rules that a run broke and the extent of the checks.
type Report struct {
	Violations []RuleReport `json:"violations"` // only the broken rules, in a fixed order
	Requests   int64        `json:"requests"`   // number of requests checked
	Attempts   int64        `json:"attempts"`   // number of attempts checked
	// Undecided is the number of requests that were still open, but not overdue, at the end of the run.
	Undecided int `json:"undecided"`
	// Unlocated is the number of retries whose key scope was not checked, because the zone and cell of an endpoint were
	// unknown. emulator.EndpointStarted, Checker.SetEndpointLocation and
	// Checker.ObserveLists provide them.
	Unlocated int `json:"unlocated"`
}

// Passed reports whether the run broke no rule.
func (r Report) Passed() bool { return len(r.Violations) == 0 }

// violations collects the violations of all rules.
type violations struct {
	reports [len(allRules)]RuleReport
}

// add records a violation that a single request caused.
func (v *violations) add(rule Rule, at time.Duration, key emulator.RequestKey, format string, arguments ...any) {
	report := v.record(rule, at, format, arguments...)
	if len(report.Requests) < maxReportedRequests {
		report.Requests = append(report.Requests, key)
	}
}

// record records a violation and returns the report of its rule.
func (v *violations) record(rule Rule, at time.Duration, format string, arguments ...any) *RuleReport {
	report := &v.reports[ruleIndex(rule)]
	report.Count++
	if report.Count == 1 {
		report.Rule = rule
		report.FirstAt = at
		report.First = fmt.Sprintf(format, arguments...)
	}
	return report
}

// brokenRules returns the reports of the broken rules in the order of allRules.
func (v *violations) brokenRules() []RuleReport {
	brokenRules := []RuleReport{}
	for _, report := range v.reports {
		if report.Count > 0 {
			brokenRules = append(brokenRules, report)
		}
	}
	return brokenRules
}

// ruleIndex returns the position of a rule in allRules.
func ruleIndex(rule Rule) int {
	for i, candidate := range allRules {
		if candidate == rule {
			return i
		}
	}
	panic("invariant: unknown rule " + string(rule))
}
