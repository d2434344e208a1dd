package virtualsoak

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"strings"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/invariant"
	"springfield/internal/emulator/virtual"
	"springfield/internal/soak"
)

// Result is the result of the run of one seed.
type Result struct {
	Seed     uint64
	Scenario emulator.Scenario
	Findings []soak.Finding
	Requests int64
	Attempts int64
	Elapsed  time.Duration // real time that the run took
}

// Run runs the scenario of a seed with the deciders of newDecider. It returns an error if the run could not be carried
// out or ctx ends; failures and panics of deciders are findings.
func Run(ctx context.Context, seed uint64, newDecider emulator.NewDecider) (Result, error) {
	startedAt := time.Now()
	scenario := NewScenario(seed)
	checker := invariant.NewChecker(&scenario)
	findings := &findingList{}
	counter := &attemptCounter{}
	summary, err := runRecovering(ctx, virtual.Options{
		Scenario:   scenario,
		Seed:       seed,
		NewDecider: checker.ObserveLists(monitored(newDecider, findings)),
		Observer:   emulator.Observers{checker, counter},
	})
	result := Result{Seed: seed, Scenario: scenario, Requests: counter.requests, Attempts: counter.attempts}
	var panicked *panicError
	switch {
	case errors.As(err, &panicked):
		findings.add("panic", "%s", panicked.Error())
	case err != nil:
		return result, fmt.Errorf("seed %d: %w", seed, err)
	default:
		addReport(findings, checker.Finish(virtual.StartTime+summary.VirtualTime))
	}
	result.Findings, result.Elapsed = findings.findings, time.Since(startedAt)
	return result, nil
}

// addReport adds the broken rules of a report, and the requests that it could not check.
func addReport(findings *findingList, report invariant.Report) {
	for _, violation := range report.Violations {
		findings.findings = append(findings.findings, soak.Finding{
			What:   "rule " + string(violation.Rule),
			Count:  violation.Count,
			Detail: fmt.Sprintf("%v after the start: %s", violation.FirstAt-virtual.StartTime, violation.First),
		})
	}
	if report.Undecided > 0 {
		findings.add("undecided", "%d requests were open at the end of the run", report.Undecided)
	}
	if report.Unlocated > 0 {
		findings.add("unlocated", "%d retries were not checked, because the endpoint's location was unknown",
			report.Unlocated)
	}
}

// panicError is the error of a run that a panic ended.
type panicError struct {
	value any
	stack string
}

// Error implements error.
func (e *panicError) Error() string { return fmt.Sprintf("%v, in %s", e.value, e.stack) }

// runRecovering runs a scenario and turns a panic into a panicError.
func runRecovering(ctx context.Context, options virtual.Options) (summary virtual.Summary, err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &panicError{value: value, stack: policyFrame(string(debug.Stack()))}
		}
	}()
	return virtual.Run(ctx, options)
}

// policyFrame returns the innermost function of package policy in a stack trace, with its file and line.
func policyFrame(stack string) string {
	lines := strings.Split(stack, "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "springfield/policy.") && i+1 < len(lines) {
			return line + " " + strings.TrimSpace(lines[i+1])
		}
	}
	return "no function of the policy"
}

// attemptCounter counts the requests and the attempts of a run.
type attemptCounter struct{ requests, attempts int64 }

// Observe implements emulator.Observer.
func (c *attemptCounter) Observe(_ time.Duration, observation emulator.Observation) {
	switch observation.(type) {
	case emulator.RequestSubmitted:
		c.requests++
	case emulator.AttemptForwarded:
		c.attempts++
	}
}
