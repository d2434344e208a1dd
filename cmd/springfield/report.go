package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"springfield/internal/experiment"
	"springfield/internal/report"
)

// maxPageResults is the maximum number of results on a page, which shows them side by side.
const maxPageResults = 24

type reportCommand struct {
	Files      []string  `arg:"" optional:"" type:"existingfile" placeholder:"FILE" help:"Result files (JSON Lines)."`
	Store      string    `type:"path" placeholder:"FILE" help:"Read results from this store instead of files."`
	Experiment []string  `placeholder:"NAME" help:"Select only these experiments."`
	Decider    []string  `placeholder:"NAME" help:"Select only these deciders."`
	Label      []string  `placeholder:"VERSION" help:"Select only these versions."`
	Size       []float64 `placeholder:"N" help:"Select only these sizes (swept values, or numbers of gateways)."`
	Seed       []uint64  `placeholder:"N" help:"Select only these seeds."`
	Output     string    `short:"o" default:"report.html" type:"path" placeholder:"FILE" help:"HTML page (${default})."`
	Plots      string    `type:"path" placeholder:"DIR" help:"Also write each plot to a file in this directory."`
	Format     string    `enum:"svg,png" default:"svg" help:"Format of the plots: ${enum}."`
}

// Help returns the detailed help, which consists of examples.
func (*reportCommand) Help() string {
	return `Examples:

    springfield report out/results.jsonl --output demo.html
    springfield report --store results.db --experiment calm --seed 1 --plots plots --format png`
}

// Run writes the HTML page, and the plots if a directory for them is given.
func (c *reportCommand) Run(env *environment) error {
	records, err := c.records()
	if err != nil {
		return err
	}
	results := namedResults(records)
	if err := writePage(c.Output, results); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(env.stdout, "%s: %s\n", c.Output, plural(len(results), "result")); err != nil {
		return err
	}
	if c.Plots == "" {
		return nil
	}
	return c.writePlots(env, results)
}

// records reads the results of the files or of the store and returns those that the flags select. Selecting none, or
// more than a page shows, is an input error.
func (c *reportCommand) records() ([]experiment.Record, error) {
	var records []experiment.Record
	switch {
	case len(c.Files) > 0 && c.Store != "":
		return nil, inputErrorf("both files of results and --store are given")
	case c.Store != "":
		storeRecords, err := storedRecords(c.Store, c.Experiment)
		if err != nil {
			return nil, err
		}
		records = storeRecords
	case len(c.Files) > 0:
		for _, file := range c.Files {
			fileRecords, err := readResults(file)
			if err != nil {
				return nil, err
			}
			records = append(records, fileRecords...)
		}
	default:
		return nil, inputErrorf("neither a file of results nor --store is given (see springfield report --help)")
	}
	selected := slices.DeleteFunc(records, func(r experiment.Record) bool { return !c.matches(&r) })
	switch {
	case len(selected) == 0:
		return nil, inputErrorf("no result is selected")
	case len(selected) > maxPageResults:
		return nil, inputErrorf("%d results are selected, want at most %d: select by --decider, --label, --size or --seed",
			len(selected), maxPageResults)
	}
	return selected, nil
}

// matches reports whether the flags select a record.
func (c *reportCommand) matches(record *experiment.Record) bool {
	return matchesFilter(c.Experiment, record.Experiment) && matchesFilter(c.Decider, record.Decider) &&
		matchesFilter(c.Label, record.Version) && matchesFilter(c.Size, record.Size) && matchesFilter(c.Seed, record.Seed)
}

// matchesFilter reports whether filter contains value. An empty filter matches every value.
func matchesFilter[T comparable](filter []T, value T) bool {
	return len(filter) == 0 || slices.Contains(filter, value)
}

// namedResults returns the results of the records with their names. A name consists of the properties in which the
// records differ, or of the decider if they differ in none. There must be at least one record.
func namedResults(records []experiment.Record) []report.NamedResult {
	nameParts := []func(*experiment.Record) string{
		func(r *experiment.Record) string { return r.Experiment },
		func(r *experiment.Record) string { return r.Decider },
		func(r *experiment.Record) string { return r.Version },
		func(r *experiment.Record) string { return fmt.Sprintf("size %g", r.Size) },
		func(r *experiment.Record) string { return fmt.Sprintf("seed %d", r.Seed) },
	}
	first := &records[0]
	nameParts = slices.DeleteFunc(nameParts, func(part func(*experiment.Record) string) bool {
		return !slices.ContainsFunc(records, func(r experiment.Record) bool { return part(&r) != part(first) })
	})
	results := make([]report.NamedResult, len(records))
	for i := range records {
		var parts []string
		for _, part := range nameParts {
			parts = append(parts, part(&records[i]))
		}
		if len(parts) == 0 {
			parts = []string{records[i].Decider}
		}
		results[i] = report.NamedResult{Name: strings.Join(parts, ", "), Result: records[i].Result}
	}
	return results
}

// writePlots writes each plot of each result to a file of its own.
func (c *reportCommand) writePlots(env *environment, results []report.NamedResult) error {
	if err := os.MkdirAll(c.Plots, directoryMode); err != nil {
		return &inputError{err}
	}
	render := report.WriteSVG
	if c.Format == "png" {
		render = report.WritePNG
	}
	plotCount := 0
	for i := range results {
		for _, figure := range report.Figures() {
			name := fmt.Sprintf("%d-%s-%s.%s", i+1, sanitizeFileName(results[i].Name), figure, c.Format)
			err := writeFile(filepath.Join(c.Plots, name), func(w io.Writer) error { return render(w, figure, &results[i]) })
			if err != nil {
				return err
			}
			plotCount++
		}
	}
	_, err := fmt.Fprintf(env.stdout, "%s: %s\n", c.Plots, plural(plotCount, "plot"))
	return err
}

// sanitizeFileName replaces all characters except ASCII letters, digits and dots by "-".
func sanitizeFileName(text string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' {
			return r
		}
		return '-'
	}, text)
}
