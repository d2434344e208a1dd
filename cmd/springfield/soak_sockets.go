package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"

	"springfield/internal/soak"
)

// errFirstFinding ends a soak after the first run with a finding.
var errFirstFinding = errors.New("a run has a finding")

// runSockets runs the seeds with gateway processes on sockets.
func (c *soakCommand) runSockets(ctx context.Context, w io.Writer) error {
	program, arguments, err := gatewayProgram(c.Gateway)
	if err != nil {
		return err
	}
	run := func(ctx context.Context, plan soak.Plan) (soak.Result, error) {
		return c.runPlan(ctx, plan, soak.Options{Gateway: program, GatewayArgs: arguments,
			Logger: slog.New(slog.DiscardHandler)})
	}
	report, resultsWithFindings, err := c.runPlans(ctx, w, run)
	if err == nil && c.Shrink {
		err = shrinkFindings(ctx, w, resultsWithFindings, run)
	}
	if !c.JSON {
		if writeErr := report.Write(w); err == nil {
			err = writeErr
		}
	}
	if err == nil {
		err = findingsError(len(resultsWithFindings), report.Runs)
	}
	return err
}

// runPlans runs the plans of all seeds and prints each result. It returns a report and the results with findings.
func (c *soakCommand) runPlans(ctx context.Context, w io.Writer,
	run func(context.Context, soak.Plan) (soak.Result, error)) (*soak.Report, []soak.Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	report := soak.NewReport()
	var resultsWithFindings []soak.Result
	err := soak.RunSeeds(ctx, c.Seeds.first, c.Seeds.last, c.Parallel, run, func(result soak.Result) {
		if ctx.Err() != nil {
			return // a run that ended while the soak was stopping
		}
		report.Add(result)
		if len(result.Findings) > 0 {
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

// runPlan runs a plan in a directory of its own. The directory is kept if --keep is set and the run has findings.
func (c *soakCommand) runPlan(ctx context.Context, plan soak.Plan, options soak.Options) (soak.Result, error) {
	directory, err := os.MkdirTemp(c.Keep, fmt.Sprintf("soak-%d-", plan.Seed))
	if err != nil {
		return soak.Result{}, err
	}
	options.Directory = directory
	result, err := soak.Run(ctx, plan, options)
	if c.Keep == "" || len(result.Findings) == 0 {
		_ = os.RemoveAll(directory) // a failed removal only leaves temporary files
	}
	return result, err
}

// writeSocketsResult prints a run: a line of JSON, or a line of text and two lines for each of its findings.
func (c *soakCommand) writeSocketsResult(w io.Writer, result *soak.Result) error {
	plan := &result.Plan
	if c.JSON {
		return newSoakRecord(plan.Seed, result.Findings, result.Requests, result.Attempts, result.Elapsed).write(w)
	}
	kinds := make([]string, 0, len(plan.Faults))
	for _, fault := range plan.Faults {
		kinds = append(kinds, string(fault.Kind))
	}
	if _, err := fmt.Fprintf(w, "seed %d: %d gateways, %s: %d requests, %d findings\n", plan.Seed, plan.Gateways,
		strings.Join(kinds, " + "), result.Requests, len(result.Findings)); err != nil {
		return err
	}
	return writeFindings(w, result.Findings, c.repeatSocketsCommand(plan.Seed))
}

// repeatSocketsCommand returns the command that repeats the run of a seed and keeps its files.
func (c *soakCommand) repeatSocketsCommand(seed uint64) string {
	command := fmt.Sprintf("%s soak --seeds %d", programName, seed)
	if c.Gateway != "" {
		command += " --gateway " + quoteArgument(c.Gateway)
	}
	return command + " --keep DIR"
}

// shrinkFindings reruns the plan of each result with fewer faults and prints the faults that are needed for its first
// finding.
func shrinkFindings(ctx context.Context, w io.Writer, resultsWithFindings []soak.Result,
	run func(context.Context, soak.Plan) (soak.Result, error)) error {
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
		if _, err := fmt.Fprintf(w, "seed %d: %s needs %s\n", plan.Seed, finding, strings.Join(kinds, " + ")); err != nil {
			return err
		}
	}
	return nil
}
