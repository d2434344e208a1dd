package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	"springfield/internal/soak"
)

// errFirstFinding ends a soak after the first run with a finding.
var errFirstFinding = errors.New("a run has a finding")

// keepDirectoryMode is the mode of the directory that holds the files of runs with findings.
const keepDirectoryMode = 0o755

// runFunc carries out a plan.
type runFunc func(context.Context, soak.Plan) (soak.Result, error)

// runSockets runs the plans with gateway processes on sockets.
func (c *soakCommand) runSockets(ctx context.Context, w io.Writer) error {
	program, arguments, err := gatewayProgram(c.Gateway)
	if err != nil {
		return err
	}
	coverage, err := c.newCollector(program)
	if err != nil {
		return err
	}
	options := soak.Options{Gateway: program, GatewayArgs: arguments, Logger: slog.New(slog.DiscardHandler)}
	run := func(collector *coverageCollector) runFunc {
		return func(ctx context.Context, plan soak.Plan) (soak.Result, error) {
			return c.runPlan(ctx, plan, options, collector)
		}
	}
	report, resultsWithFindings, err := c.runPlans(ctx, w, coverage, run(coverage))
	if err == nil && c.Shrink {
		err = shrinkFindings(ctx, w, resultsWithFindings, run(nil))
	}
	if writeErr := c.writeReports(w, report, coverage); err == nil {
		err = writeErr
	}
	if err == nil {
		err = findingsError(len(resultsWithFindings), report.Runs)
	}
	if err == nil && report.Void() > 0 {
		err = fmt.Errorf("%s of %d void, because the machine was too busy", plural(report.Void(), "run"), report.Runs)
	}
	return err
}

// runPlans runs all plans and prints each result. It returns a report and the results with findings.
func (c *soakCommand) runPlans(ctx context.Context, w io.Writer, coverage *coverageCollector,
	run runFunc) (*soak.Report, []soak.Result, error) {
	report := soak.NewReport()
	limits, err := c.limits()
	if err != nil {
		return report, nil, err
	}
	next, closeGuide, err := c.selectPlans(coverage)
	if err != nil {
		return report, nil, err
	}
	defer closeGuide()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var resultsWithFindings []soak.Result
	err = soak.RunPlans(ctx, next, limits, run, func(result soak.Result) {
		if ctx.Err() != nil {
			return // a run that ended while the soak was stopping
		}
		report.Add(result)
		if len(result.Findings) > 0 && !result.Void() {
			resultsWithFindings = append(resultsWithFindings, result)
			if c.UntilFinding {
				defer cancel(errFirstFinding)
			}
		}
		if err := c.writeSocketsResult(w, &result); err != nil {
			cancel(err)
		}
	})
	if errors.Is(err, errFirstFinding) {
		err = nil
	}
	return report, resultsWithFindings, err
}

// limits returns the limits of concurrent runs.
func (c *soakCommand) limits() (soak.Limits, error) {
	if c.Gateways < 0 {
		return soak.Limits{}, inputErrorf("--max-gateways %d: want at least 0", c.Gateways)
	}
	if c.Gateways > 0 {
		return soak.Limits{Runs: c.Parallel, Gateways: c.Gateways}, nil
	}
	return soak.NewLimits(c.Parallel)
}

// writeReports writes the report of the soak and that of its coverage. With --json, it only writes the file of
// --coverage-output.
func (c *soakCommand) writeReports(w io.Writer, report *soak.Report, coverage *coverageCollector) error {
	if c.JSON {
		return coverage.write(io.Discard, c.CoverageOutput)
	}
	return errors.Join(report.Write(w), coverage.write(w, c.CoverageOutput))
}

// runPlan runs a plan in a directory of its own. The directory is kept if --keep is set and the run has findings.
func (c *soakCommand) runPlan(ctx context.Context, plan soak.Plan, options soak.Options,
	collector *coverageCollector) (soak.Result, error) {
	if c.Keep != "" {
		if err := os.MkdirAll(c.Keep, keepDirectoryMode); err != nil {
			return soak.Result{}, err
		}
	}
	directory, err := os.MkdirTemp(c.Keep, fmt.Sprintf("soak-%s-", plan.Name()))
	if err != nil {
		return soak.Result{}, err
	}
	options.Directory = directory
	result, err := collector.run(ctx, plan, options)
	if c.Keep == "" || len(result.Findings) == 0 {
		_ = os.RemoveAll(directory) // a failed removal only leaves temporary files
	}
	return result, err
}

// writeSocketsResult prints a run: a line of JSON, or a line of text and two lines for each of its findings.
func (c *soakCommand) writeSocketsResult(w io.Writer, result *soak.Result) error {
	plan := &result.Plan
	if c.JSON {
		record := newSoakRecord(plan.Name(), plan.Seed, result.Findings, result.Requests, result.Attempts, result.Elapsed)
		record.Void = result.Void()
		return record.write(w)
	}
	kinds := make([]string, 0, len(plan.Faults))
	for _, fault := range plan.Faults {
		kinds = append(kinds, string(fault.Kind))
	}
	validity := ""
	if result.Void() {
		validity = fmt.Sprintf(" (void: the machine was too busy for %v)", result.Stall.Round(time.Millisecond))
	}
	if _, err := fmt.Fprintf(w, "seed %s: %d gateways, %s: %d requests, %d findings%s\n", plan.Name(), plan.Gateways,
		strings.Join(kinds, " + "), result.Requests, len(result.Findings), validity); err != nil {
		return err
	}
	return writeFindings(w, result.Findings, c.repeatSocketsCommand(plan))
}

// repeatSocketsCommand returns the command that repeats the run of a plan and keeps its files.
func (c *soakCommand) repeatSocketsCommand(plan *soak.Plan) string {
	command := fmt.Sprintf("%s soak --seeds %s", programName, plan.Name())
	if c.Gateway != "" {
		command += " --gateway " + quoteArgument(c.Gateway)
	}
	return command + " --keep DIR"
}

// shrinkFindings reruns the plan of each result with fewer faults and prints the faults that are needed for its first
// finding.
func shrinkFindings(ctx context.Context, w io.Writer, resultsWithFindings []soak.Result,
	run runFunc) error {
	for _, result := range resultsWithFindings {
		finding := result.Findings[0].What
		plan, err := soak.Shrink(ctx, result.Plan, finding, run)
		if err != nil {
			return err
		}
		var kinds []string
		for _, fault := range plan.Faults {
			kinds = append(kinds, string(fault.Kind))
		}
		if _, err := fmt.Fprintf(w, "seed %s: %s needs %s\n", plan.Name(), finding, strings.Join(kinds, " + ")); err != nil {
			return err
		}
	}
	return nil
}
