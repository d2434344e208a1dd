package invariant

import (
	"fmt"
	"time"

	"springfield/internal/emulator"
)

// Rule names a rule that gateways must keep.
type Rule string

// The rules, in the order in which a Report lists them.
const (
	// RuleFinalAnswer demands exactly one final answer to each request, at most AnswerGrace after its deadline, and no
	// attempt after it. A served answer is the one that an endpoint made for the request. A gateway that was killed
	// owes nothing. From WIRE, "No lost request", PROTOCOL, "The rules on sockets", and STANDING.
	//
	// A connection that ends without a complete response always counts, though STANDING allows one in 200 requests that
	// were not forwarded yet.
	RuleFinalAnswer Rule = "final-answer"
	// RuleSingleExecution forbids a retry of a non-idempotent request once it may have been executed, and one of a
	// request with an idempotency key outside of the key's scope or lifetime. From WIRE, "Each effect happens once".
	RuleSingleExecution Rule = "single-execution"
	// RuleSafeRejection allows a rejection only if the request cannot have been executed, or if a repeat of it is
	// harmless at any endpoint. From WIRE, "Each effect happens once".
	RuleSafeRejection Rule = "safe-rejection"
	// RuleSingleAttempt allows one attempt of a request in flight at a time, unless hedging is allowed. From WIRE,
	// "Each effect happens once", and PROTOCOL, "Edge nodes to listing servers".
	RuleSingleAttempt Rule = "single-attempt"
	// RuleDrain forbids attempts at an endpoint from the drain grace period after the gateway counts as notified that it
	// drains or has been removed. From WIRE, "Orderly drain".
	RuleDrain Rule = "drain"
	// RuleSlowStart forbids that an endpoint which warms up is overloaded with over two thirds of the work from gateways
	// that count as notified of its start. From STANDING, "The whole fleet", and WIRE, "Controlled fail-back".
	RuleSlowStart Rule = "slow-start"
	// RuleCeiling forbids that all gateways together forward more of a customer's requests than its ceiling allows. Each
	// request takes the units that it carries once its first attempt has reached an endpoint. From WIRE, "No ceiling
	// passed", and PROTOCOL, "The rules on sockets".
	RuleCeiling Rule = "ceiling"
	// RuleDisconnect forbids attempts that begin more than DisconnectGrace after the client has disconnected. From
	// STANDING, "The whole fleet", which tolerates two of them; here each one counts.
	RuleDisconnect Rule = "disconnect"
)

// rules holds all rules in the order of a Report.
var rules = [...]Rule{
	RuleFinalAnswer, RuleSingleExecution, RuleSafeRejection, RuleSingleAttempt,
	RuleDrain, RuleSlowStart, RuleCeiling, RuleDisconnect,
}

// maxReportedRequests bounds the requests that a RuleReport names.
const maxReportedRequests = 20

// RuleReport tells how often a rule was broken.
type RuleReport struct {
	Rule     Rule                  `json:"rule"`
	Count    int                   `json:"count"`
	Requests []emulator.RequestKey `json:"requests,omitempty"` // the first 20; none where no single request is to blame
	FirstAt  time.Duration         `json:"first_at_ns"`        // Unix time of the run
	First    string                `json:"first"`              // describes the first time
}

// Report tells which rules a run broke.
type Report struct {
	Violations []RuleReport `json:"violations"` // the broken rules alone, in a fixed order
	Requests   int64        `json:"requests"`   // that were checked
	Attempts   int64        `json:"attempts"`   // that were checked
	// Undecided counts the requests that the end of the run left open before they were overdue.
	Undecided int `json:"undecided"`
	// Unlocated counts the retries whose idempotency scope was not checked, since the zone or cell of an endpoint was
	// not known; see Checker.LocateEndpoint.
	Unlocated int `json:"unlocated"`
}

// Passed tells whether no rule was broken.
func (r Report) Passed() bool { return len(r.Violations) == 0 }

// violations collects what breaks the rules.
type violations struct {
	reports [len(rules)]RuleReport
}

// add counts a violation that one request is to blame for.
func (v *violations) add(rule Rule, at time.Duration, key emulator.RequestKey, format string, arguments ...any) {
	report := v.count(rule, at, format, arguments...)
	if len(report.Requests) < maxReportedRequests {
		report.Requests = append(report.Requests, key)
	}
}

// count counts a violation.
func (v *violations) count(rule Rule, at time.Duration, format string, arguments ...any) *RuleReport {
	report := &v.reports[indexOf(rule)]
	report.Count++
	if report.Count == 1 {
		report.Rule = rule
		report.FirstAt = at
		report.First = fmt.Sprintf(format, arguments...)
	}
	return report
}

// broken returns the reports of the broken rules.
func (v *violations) broken() []RuleReport {
	broken := []RuleReport{}
	for _, report := range v.reports {
		if report.Count > 0 {
			broken = append(broken, report)
		}
	}
	return broken
}

func indexOf(rule Rule) int {
	for i, other := range rules {
		if other == rule {
			return i
		}
	}
	panic("invariant: unknown rule " + string(rule))
}
