package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"springfield/internal/mutation"
)

// writeMutantResult prints a line for the result of a mutant. It ignores write errors: the caller writes the table to
// the same output afterwards and returns the error of that.
func writeMutantResult(w io.Writer, result *mutation.Result, isStored bool) {
	outcome := "no finding in " + plural(result.Runs, "run")
	if result.Finding != nil {
		outcome = fmt.Sprintf("seed %d: %s: %s", result.FindingSeed, result.Finding.What, result.Finding.Detail)
	}
	origin := ""
	if isStored {
		origin = " (stored)"
	}
	_, _ = fmt.Fprintf(w, "%s (%s)%s: %s\n", result.Mutant, result.World, origin, outcome)
}

// mutantTable prints the results of mutants.
type mutantTable struct {
	entries  []mutation.Mutant // mutants and control entries that were to be soaked
	results  []mutation.Result
	markdown bool
}

var mutantTableHeader = []string{"mutant", "guard", "change", "world", "seeds until found", "finding", "time"}

// write prints a row for each result and the number of mutants that were found.
func (t mutantTable) write(w io.Writer) error {
	rows := [][]string{mutantTableHeader}
	for i := range t.results {
		rows = append(rows, mutantRow(&t.results[i]))
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	writeRows := writeTextRows
	if t.markdown {
		writeRows = writeMarkdownRows
	}
	if err := writeRows(w, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\n%s\n", t.summary())
	return err
}

func mutantRow(result *mutation.Result) []string {
	seeds, finding := "-", "none in "+plural(result.Runs, "run")
	if result.Finding != nil {
		seeds, finding = fmt.Sprint(result.RunsUntilFinding), result.Finding.What
	}
	if result.VoidRuns > 0 {
		finding += fmt.Sprintf(" (%d void)", result.VoidRuns)
	}
	elapsed := time.Duration(result.ElapsedSeconds * float64(time.Second)).Round(100 * time.Millisecond)
	return []string{result.Mutant, result.Guard, result.Change, string(result.World), seeds, finding, elapsed.String()}
}

func writeTextRows(w io.Writer, rows [][]string) error {
	const padding = 2
	table := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	for _, row := range rows {
		// The table writer buffers all lines until Flush, which returns write errors.
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

func writeMarkdownRows(w io.Writer, rows [][]string) error {
	var text strings.Builder
	for i, row := range rows {
		fmt.Fprintf(&text, "| %s |\n", strings.Join(row, " | "))
		if i == 0 {
			text.WriteString(strings.Repeat("| --- ", len(row)) + "|\n")
		}
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// mutantCounts counts the mutants of a world, without the control entry.
type mutantCounts struct {
	world  mutation.World
	found  int
	soaked int
	seeds  uint64 // number of seeds within which the mutants were to be found
}

// summary returns the last line of the output.
func (t mutantTable) summary() string {
	var worlds []mutantCounts
	var total mutantCounts
	for _, world := range mutation.Worlds() {
		counts := t.count(world)
		if counts.soaked == 0 {
			continue
		}
		worlds = append(worlds, counts)
		total.found += counts.found
		total.soaked += counts.soaked
	}
	text := fmt.Sprintf("%d of %d mutants found", total.found, total.soaked)
	if len(worlds) == 1 {
		text += fmt.Sprintf(" within %d seeds", worlds[0].seeds)
	}
	if len(worlds) > 1 {
		parts := make([]string, len(worlds))
		for i, counts := range worlds {
			parts[i] = fmt.Sprintf("%s: %d of %d within %d seeds", counts.world, counts.found, counts.soaked, counts.seeds)
		}
		text += " (" + strings.Join(parts, ", ") + ")"
	}
	if missing := len(t.entries) - len(t.results); missing > 0 {
		text += fmt.Sprintf("; %d not soaked", missing)
	}
	return text
}

func (t mutantTable) count(world mutation.World) mutantCounts {
	counts := mutantCounts{world: world}
	for i := range t.results {
		result := &t.results[i]
		if result.World != world || result.Mutant == mutation.UnchangedName {
			continue
		}
		counts.soaked++
		counts.seeds = result.Seeds.Count()
		if result.Finding != nil {
			counts.found++
		}
	}
	return counts
}
