package report

import "springfield/internal/measure"

// section is a part of the table that compares the results.
type section struct {
	Title string
	Rows  []summaryRow
}

// summaryRow is one figure of all results.
type summaryRow struct {
	Label  string
	Note   string
	Values []string
}

type summaryFigure struct {
	label string
	note  string
	value func(*measure.Result) string
}

func summaryOf(results []NamedResult) []section {
	return []section{
		summarySection("Service", results, serviceFigures()),
		summarySection("Requests", results, requestFigures()),
		summarySection("Latency of served requests", results, latencyFigures()),
		summarySection("Work", results, workFigures()),
	}
}

func summarySection(title string, results []NamedResult, figures []summaryFigure) section {
	filled := section{Title: title}
	for _, described := range figures {
		row := summaryRow{Label: described.label, Note: described.note}
		for i := range results {
			row.Values = append(row.Values, described.value(&results[i].Result))
		}
		filled.Rows = append(filled.Rows, row)
	}
	return filled
}

func serviceFigures() []summaryFigure {
	return []summaryFigure{
		{"Value earned", "of the value requested", func(r *measure.Result) string { return formatPercent(r.Service.Whole) }},
		{"Worst 10 s", "of the load", func(r *measure.Result) string { return formatPercent(r.Service.WorstTenSeconds) }},
		{"Worst class", "", func(r *measure.Result) string { return formatPercent(r.Service.WorstClass) }},
		{"Worst plan", "inside quotas", func(r *measure.Result) string { return formatPercent(r.Service.WorstPlan) }},
		{"Cost of use over quota", "of the value requested", func(r *measure.Result) string {
			return formatPercent(r.Value.OverQuotaPrice)
		}},
	}
}

func requestFigures() []summaryFigure {
	outcome := func(label, note string, of func(*measure.Outcomes) measure.Outcome) summaryFigure {
		return summaryFigure{label, note, func(r *measure.Result) string { return formatOutcome(of(&r.Requests)) }}
	}
	return []summaryFigure{
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

func latencyFigures() []summaryFigure {
	latency := func(label string, of func(*measure.Latency) float64) summaryFigure {
		return summaryFigure{label, "ms", func(r *measure.Result) string { return formatMillis(of(&r.Latency)) }}
	}
	return []summaryFigure{
		latency("Mean", func(l *measure.Latency) float64 { return l.Mean }),
		latency("50th percentile", func(l *measure.Latency) float64 { return l.P50 }),
		latency("90th percentile", func(l *measure.Latency) float64 { return l.P90 }),
		latency("99th percentile", func(l *measure.Latency) float64 { return l.P99 }),
		latency("99.9th percentile", func(l *measure.Latency) float64 { return l.P999 }),
		latency("Longest", func(l *measure.Latency) float64 { return l.Max }),
	}
}

func workFigures() []summaryFigure {
	count := func(label, note string, of func(*measure.Attempts) int64) summaryFigure {
		return summaryFigure{label, note, func(r *measure.Result) string { return formatCount(of(&r.Attempts)) }}
	}
	return []summaryFigure{
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
