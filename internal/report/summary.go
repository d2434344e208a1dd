package report

import "springfield/internal/measure"

// section is one of the tables of the summary, which compare the results.
type section struct {
	Title string
	Rows  []summaryRow
}

// summaryRow holds the values of one metric for all results.
type summaryRow struct {
	Label  string
	Note   string
	Values []string
}

// summaryMetric describes a metric that the summary shows.
type summaryMetric struct {
	label string
	note  string
	value func(*measure.Result) string
}

func newSummary(results []NamedResult) []section {
	return []section{
		summarySection("Service", results, serviceMetrics()),
		summarySection("Requests", results, requestMetrics()),
		summarySection("Latency of served requests", results, latencyMetrics()),
		summarySection("Work", results, workMetrics()),
	}
}

func summarySection(title string, results []NamedResult, metrics []summaryMetric) section {
	table := section{Title: title}
	for _, metric := range metrics {
		row := summaryRow{Label: metric.label, Note: metric.note}
		for i := range results {
			row.Values = append(row.Values, metric.value(&results[i].Result))
		}
		table.Rows = append(table.Rows, row)
	}
	return table
}

func serviceMetrics() []summaryMetric {
	return []summaryMetric{
		{"Value earned", "of the value requested", func(r *measure.Result) string { return formatPercent(r.Service.Whole) }},
		{"Worst 10 s", "of the load", func(r *measure.Result) string { return formatPercent(r.Service.WorstTenSeconds) }},
		{"Worst class", "", func(r *measure.Result) string { return formatPercent(r.Service.WorstClass) }},
		{"Worst plan", "inside quotas", func(r *measure.Result) string { return formatPercent(r.Service.WorstPlan) }},
		{"Cost of use over quota", "of the value requested", func(r *measure.Result) string {
			return formatPercent(r.Value.OverQuotaPrice)
		}},
	}
}

func requestMetrics() []summaryMetric {
	outcome := func(label, note string, field func(*measure.Outcomes) measure.Outcome) summaryMetric {
		return summaryMetric{label, note, func(r *measure.Result) string { return formatOutcome(field(&r.Requests)) }}
	}
	return []summaryMetric{
		{"Requests", "first tries", func(r *measure.Result) string { return formatCount(r.Requests.Total) }},
		outcome("Served", "", func(o *measure.Outcomes) measure.Outcome { return o.Served }),
		outcome("Served late", "after the latency objective", func(o *measure.Outcomes) measure.Outcome { return o.Late }),
		outcome("Rejected", "", func(o *measure.Outcomes) measure.Outcome { return o.Rejected }),
		outcome("Failed", "", func(o *measure.Outcomes) measure.Outcome { return o.Failed }),
		outcome("Spoilt", "by a response that no endpoint made", func(o *measure.Outcomes) measure.Outcome {
			return o.Spoilt
		}),
		outcome("Missing", "never answered", func(o *measure.Outcomes) measure.Outcome { return o.Missing }),
		outcome("Disconnected", "the client left early", func(o *measure.Outcomes) measure.Outcome {
			return o.Disconnected
		}),
	}
}

func latencyMetrics() []summaryMetric {
	latency := func(label string, field func(*measure.Latency) float64) summaryMetric {
		return summaryMetric{label, "ms", func(r *measure.Result) string { return formatMillis(field(&r.Latency)) }}
	}
	return []summaryMetric{
		latency("Mean", func(l *measure.Latency) float64 { return l.Mean }),
		latency("50th percentile", func(l *measure.Latency) float64 { return l.P50 }),
		latency("90th percentile", func(l *measure.Latency) float64 { return l.P90 }),
		latency("99th percentile", func(l *measure.Latency) float64 { return l.P99 }),
		latency("99.9th percentile", func(l *measure.Latency) float64 { return l.P999 }),
		latency("Longest", func(l *measure.Latency) float64 { return l.Max }),
	}
}

func workMetrics() []summaryMetric {
	count := func(label, note string, field func(*measure.Attempts) int64) summaryMetric {
		return summaryMetric{label, note, func(r *measure.Result) string { return formatCount(field(&r.Attempts)) }}
	}
	return []summaryMetric{
		{"Deployment", "gateways / endpoints", func(r *measure.Result) string {
			return formatCount(int64(r.Gateways)) + " / " + formatCount(int64(r.Endpoints))
		}},
		{"Length", "seconds, until the last answer", func(r *measure.Result) string {
			return formatNumber(r.LengthSeconds)
		}},
		count("Attempts", "", func(a *measure.Attempts) int64 { return a.Forwarded }),
		{"Attempts per request", "", func(r *measure.Result) string { return formatNumber(r.Attempts.PerRequest) }},
		count("Retries of gateways", "attempts", func(a *measure.Attempts) int64 { return a.Retries }),
		count("Retries of clients", "tries", func(a *measure.Attempts) int64 { return a.ClientRetries }),
		count("New connections", "to endpoints", func(a *measure.Attempts) int64 { return a.NewConnections }),
		{"Ceilings broken", "customers", func(r *measure.Result) string { return formatCount(int64(r.CeilingsBroken)) }},
		{"Tries over quota", "forwarded", func(r *measure.Result) string { return formatCount(r.Value.OverQuotaTries) }},
	}
}

func formatOutcome(outcome measure.Outcome) string {
	return formatCount(outcome.Count) + " (" + formatPercent(outcome.Share) + ")"
}
