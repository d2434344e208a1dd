package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"springfield/internal/experiment"
	"springfield/internal/measure"
)

// writeRecordSummary prints the results of one run: a table with rows for all requests, each plan and each class, then
// the value earned and whether the rules were kept.
func writeRecordSummary(w io.Writer, record *experiment.Record) error {
	const padding = 2
	table := tabwriter.NewWriter(w, 0, 0, padding, ' ', tabwriter.AlignRight)
	result := &record.Result
	// The table writer buffers all lines until Flush, which returns write errors.
	_, _ = fmt.Fprintln(table, "\trequests\tserved\trejected\tfailed\tmissing\tp50, ms\tp99, ms\tover quota\t")
	writeTableRow(table, "all", &result.Requests, &result.Latency, &result.Value)
	for i := range result.Plans {
		writeGroupRow(table, "plan", &result.Plans[i])
	}
	for i := range result.Classes {
		writeGroupRow(table, "class", &result.Classes[i])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "value earned: %.1f%% of what was requested\n", 100*result.Value.Share); err != nil {
		return err
	}
	return writeRuleSummary(w, record)
}

// writeGroupRow writes the table row of a plan or class.
func writeGroupRow(w io.Writer, kind string, group *measure.Group) {
	writeTableRow(w, kind+" "+group.Name, &group.Requests, &group.Latency, &group.Value)
}

// writeTableRow writes one row of the table. It counts spoilt answers as failed.
func writeTableRow(w io.Writer, name string, requests *measure.Outcomes, latency *measure.Latency,
	value *measure.Value) {
	failed := requests.Failed.Count + requests.Spoilt.Count
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t\n", name, requests.Total, requests.Served.Count,
		requests.Rejected.Count, failed, requests.Missing.Count, latency.P50, latency.P99, value.OverQuotaTries)
}

// writeRuleSummary prints whether the run kept the rules, and the count and first violation of each broken rule.
func writeRuleSummary(w io.Writer, record *experiment.Record) error {
	rules := &record.Rules
	if rules.Passed() {
		_, err := fmt.Fprintf(w, "rules kept: yes, checked on %s and %s\n", plural(int(rules.Requests), "request"),
			plural(int(rules.Attempts), "attempt"))
		return err
	}
	if _, err := fmt.Fprintln(w, "rules kept: no"); err != nil {
		return err
	}
	for _, violation := range rules.Violations {
		_, err := fmt.Fprintf(w, "  %s: %s, first: %s\n", violation.Rule, plural(violation.Count, "time"), violation.First)
		if err != nil {
			return err
		}
	}
	return nil
}

// brokenRulesError returns errRulesBroken if the run broke a rule, or else nil.
func brokenRulesError(record *experiment.Record) error {
	if record.Rules.Passed() {
		return nil
	}
	return errRulesBroken
}
