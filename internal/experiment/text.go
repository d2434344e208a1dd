package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// WriteText writes the comparison as tables, one for each size.
func (c *Comparison) WriteText(w io.Writer) error {
	table := newTable(w)
	table.line("%s: %v, compared with %v\n", c.Experiment, c.After, c.Before)
	if c.Unpaired > 0 {
		table.line("%d records have no partner of the same size and seed (%d of them because the scenario changed)\n",
			c.Unpaired, c.ScenarioChanged)
	}
	if len(c.Sizes) == 0 {
		table.line("no pairs: nothing can be compared\n")
	}
	for i := range c.Sizes {
		c.Sizes[i].write(table)
	}
	table.line("\nEach interval covers one metric alone: among many metrics, some may seem to differ by chance.\n")
	return table.flush()
}

func (s *SizeComparison) write(table *table) {
	table.line("\nsize %g: pairs %d, matched by seed\n", s.Size, len(s.Seeds))
	if len(s.Seeds) < minPairs {
		table.line("under two pairs: there is no interval, and a difference may be due to chance\n")
	}
	table.line("metric\tbefore\tafter\tmean difference\t95%% interval\tverdict\n")
	for _, metric := range s.Metrics {
		interval := "-"
		if metric.Verdict != VerdictTooFewPairs {
			interval = fmt.Sprintf("%+.4g to %+.4g", metric.Difference.Low, metric.Difference.High)
		}
		table.line("%s\t%.4g\t%.4g\t%+.4g\t%s\t%v\n", metric.Metric.Name, metric.Before, metric.After,
			metric.Difference.Mean, interval, metric.Verdict)
	}
}

// WriteList writes a line for each experiment, version, decider and size with records, with the means of the main
// metrics.
func WriteList(w io.Writer, records []Record) error {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, compareGroups)
	table := newTable(w)
	table.line("experiment\tversion\tdecider\tsize\truns\t" +
		"service\tworst 10 s\tp99, ms\tover-quota price\truns that break rules\n")
	for len(sorted) > 0 {
		first := sorted[0]
		end := slices.IndexFunc(sorted, func(r Record) bool { return compareGroups(r, first) != 0 })
		if end < 0 {
			end = len(sorted)
		}
		writeGroup(table, sorted[:end])
		sorted = sorted[end:]
	}
	return table.flush()
}

// compareGroups orders records by the fields by which WriteList groups them into lines.
func compareGroups(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Experiment, b.Experiment), cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Decider, b.Decider), cmp.Compare(a.Size, b.Size))
}

func writeGroup(table *table, group []Record) {
	var service, worst, latency, price float64
	broken := 0
	count := float64(len(group))
	for i := range group {
		result := &group[i].Result
		service += result.Service.Whole / count
		worst += result.Service.WorstTenSeconds / count
		latency += result.Latency.P99 / count
		price += result.Value.OverQuotaPrice / count
		if !group[i].Rules.Passed() {
			broken++
		}
	}
	first := &group[0]
	table.line("%s\t%s\t%s\t%g\t%d\t%.4f\t%.4f\t%.0f\t%.4f\t%d\n", first.Experiment, first.Version, first.Decider,
		first.Size, len(group), service, worst, latency, price, broken)
}

// table writes aligned columns and stores the first write error.
type table struct {
	writer *tabwriter.Writer
	err    error
}

func newTable(w io.Writer) *table {
	const padding = 2
	return &table{writer: tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)}
}

func (t *table) line(format string, arguments ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.writer, format, arguments...)
	}
}

func (t *table) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.writer.Flush()
}
