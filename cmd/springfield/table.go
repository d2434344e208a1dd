package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"springfield/internal/experiment"
	"springfield/internal/measure"
)

// writeRecordSummary writes the figures of one run: of all requests, and by plan and class.
func writeRecordSummary(w io.Writer, record *experiment.Record) error {
	const padding = 2
	table := tabwriter.NewWriter(w, 0, 0, padding, ' ', tabwriter.AlignRight)
	result := &record.Result
	// The table writer keeps all lines until Flush, which returns the error.
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

func writeGroupRow(w io.Writer, kind string, group *measure.Group) {
	writeTableRow(w, kind+" "+group.Name, &group.Requests, &group.Latency, &group.Value)
}

func writeTableRow(w io.Writer, name string, requests *measure.Outcomes, latency *measure.Latency,
	value *measure.Value) {
	failed := requests.Failed.Count + requests.Spoilt.Count
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t\n", name, requests.Total, requests.Served.Count,
		requests.Rejected.Count, failed, requests.Missing.Count, latency.P50, latency.P99, value.OverQuotaTries)
}

// writeRuleSummary tells whether the run has kept the rules.
func writeRuleSummary(w io.Writer, record *experiment.Record) error {
	rules := &record.Rules
	if rules.Kept() {
		_, err := fmt.Fprintf(w, "rules kept: yes, by %s and %s\n", plural(int(rules.Requests), "request"),
			plural(int(rules.Attempts), "attempt"))
		return err
	}
	if _, err := fmt.Fprintln(w, "rules kept: no"); err != nil {
		return err
	}
	for _, violation := range rules.Violations {
		_, err := fmt.Fprintf(w, "  %s: %s, at first: %s\n", violation.Rule, plural(violation.Count, "time"), violation.First)
		if err != nil {
			return err
		}
	}
	return nil
}

// brokenRulesError returns an error if the run has broken a rule.
func brokenRulesError(record *experiment.Record) error {
	if record.Rules.Kept() {
		return nil
	}
	return errRulesBroken
}
