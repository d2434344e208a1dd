package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"springfield/internal/emulator"
	"springfield/internal/virtualsoak"
)

// virtualReport counts the runs of a soak on virtual time and the runs with each kind of finding.
type virtualReport struct {
	runs, runsWithFindings int
	requests, attempts     int64
	runsByFinding          map[string]int
	firstSeeds             map[string]uint64
}

// runVirtual runs the seeds on virtual time.
func (c *soakCommand) runVirtual(ctx context.Context, w io.Writer, newDecider emulator.NewDecider) error {
	run := func(ctx context.Context, seed uint64) (virtualsoak.Result, error) {
		return virtualsoak.Run(ctx, seed, newDecider)
	}
	report := virtualReport{runsByFinding: map[string]int{}, firstSeeds: map[string]uint64{}}
	var writeErr error
	err := virtualsoak.RunSeeds(ctx, c.Seeds.first, c.Seeds.last, c.Parallel, run, func(result virtualsoak.Result) bool {
		report.add(&result)
		writeErr = c.writeVirtualResult(w, &result)
		return writeErr == nil && (!c.UntilFinding || len(result.Findings) == 0)
	})
	if err == nil {
		err = writeErr
	}
	if !c.JSON {
		if writeErr := report.write(w); err == nil {
			err = writeErr
		}
	}
	if err == nil {
		err = findingsError(report.runsWithFindings, report.runs)
	}
	return err
}

// writeVirtualResult prints a run: a line of JSON, or its findings if it has any.
func (c *soakCommand) writeVirtualResult(w io.Writer, result *virtualsoak.Result) error {
	if c.JSON {
		return newSoakRecord("", result.Seed, result.Findings, result.Requests, result.Attempts, result.Elapsed).write(w)
	}
	if len(result.Findings) == 0 {
		return nil
	}
	if _, err := fmt.Fprintf(w, "seed %d: %d requests, %d findings\n", result.Seed, result.Requests,
		len(result.Findings)); err != nil {
		return err
	}
	repeatCommand := fmt.Sprintf("%s soak --world %s --seeds %d", programName, worldVirtual, result.Seed)
	return writeFindings(w, result.Findings, repeatCommand)
}

// add counts a run.
func (r *virtualReport) add(result *virtualsoak.Result) {
	r.runs++
	r.requests += result.Requests
	r.attempts += result.Attempts
	if len(result.Findings) > 0 {
		r.runsWithFindings++
	}
	for _, finding := range result.Findings {
		if r.runsByFinding[finding.What] == 0 {
			r.firstSeeds[finding.What] = result.Seed
		}
		r.runsByFinding[finding.What]++
	}
}

// write prints the report.
func (r *virtualReport) write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%d runs, %d requests, %d attempts\n", r.runs, r.requests, r.attempts); err != nil {
		return err
	}
	for _, what := range slices.Sorted(maps.Keys(r.runsByFinding)) {
		if _, err := fmt.Fprintf(w, "found: %s in %s, first with seed %d\n", what,
			plural(r.runsByFinding[what], "run"), r.firstSeeds[what]); err != nil {
			return err
		}
	}
	if r.runsWithFindings == 0 {
		_, err := fmt.Fprintln(w, "nothing was found")
		return err
	}
	return nil
}
