package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"

	"springfield/internal/soak"
)

// keepDirectoryMode is the mode of the directory that holds the files of runs with findings.
const keepDirectoryMode = 0o755

type soakCommand struct {
	Seeds    seedRange `required:"" placeholder:"A-B" help:"Seeds to run, such as 1-300 or 17, or a variation: 17.3."`
	Gateway  string    `type:"path" placeholder:"FILE" help:"Gateway program, built with -tags faultinjection."`
	Parallel int       `default:"4" help:"Most concurrent runs, each with 10 to 40 gateway processes."`
	Gateways int       `name:"max-gateways" placeholder:"N" help:"Most gateways at once. Default: by half the memory."`
	Shrink   bool      `help:"Rerun seeds with findings to determine which faults they need."`
	Keep     string    `type:"path" placeholder:"DIR" help:"Keep the files of runs with findings in DIR."`

	coverageFlags `embed:""`
	guideFlags    `embed:""`
}

// seedRange is an inclusive range of seeds, or a variation of a seed's plan. Its text form is "A-B", a single seed, or
// the name of the variation.
type seedRange struct {
	first, last uint64
	variation   *soak.Plan // nil for a range
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *seedRange) UnmarshalText(text []byte) error {
	if plan, err := soak.NamedPlan(string(text)); err == nil && len(plan.Variation) > 0 {
		r.variation = &plan
		return nil
	}
	first, last, isRange := strings.Cut(string(text), "-")
	if !isRange {
		last = first
	}
	var err error
	if r.first, err = strconv.ParseUint(first, 10, 64); err == nil {
		r.last, err = strconv.ParseUint(last, 10, 64)
	}
	if err != nil || r.last < r.first {
		return fmt.Errorf("seeds %q: want A-B with A <= B, or one seed", text)
	}
	return nil
}

// Help returns the detailed help, which describes a soak.
func (*soakCommand) Help() string {
	return `Each seed determines a small deployment of gateway processes and two or three faults that overlap in time.
The run is checked for broken rules, crashes and violated invariants. Each finding is printed with a command that
repeats its seed.

--guided continues with variations of the plans whose runs took branches of the gateway's guards that few runs take. It
needs a gateway with coverage.

Examples:

    go build -tags faultinjection -o gateway-soak ./cmd/gateway
    springfield soak --seeds 1-300 --gateway gateway-soak`
}

// Run runs all seeds, prints each run and a report, and returns an error if there are findings.
func (c *soakCommand) Run(ctx context.Context, env *environment) error {
	program, arguments, err := gatewayProgram(c.Gateway)
	if err != nil {
		return err
	}
	limits, err := c.limits()
	if err != nil {
		return err
	}
	coverage, err := c.newCollector(program)
	if err != nil {
		return err
	}
	next, closeGuide, err := c.selectPlans(coverage)
	if err != nil {
		return err
	}
	defer closeGuide()
	options := soak.Options{Gateway: program, GatewayArgs: arguments, Logger: slog.New(slog.DiscardHandler)}
	run := func(collector *coverageCollector) func(context.Context, soak.Plan) (soak.Result, error) {
		return func(ctx context.Context, plan soak.Plan) (soak.Result, error) {
			return c.runPlan(ctx, plan, options, collector)
		}
	}
	report := soak.NewReport()
	var resultsWithFindings []soak.Result
	err = soak.RunPlans(ctx, next, limits, run(coverage), func(result soak.Result) {
		report.Add(result)
		if len(result.Findings) > 0 {
			resultsWithFindings = append(resultsWithFindings, result)
		}
		writeRunResult(env.stdout, &result)
	})
	if err == nil && c.Shrink {
		err = shrinkFindings(ctx, env.stdout, resultsWithFindings, run(nil))
	}
	if writeErr := report.Write(env.stdout); err == nil {
		err = writeErr
	}
	if writeErr := coverage.write(env.stdout, c.CoverageOutput); err == nil {
		err = writeErr
	}
	if err == nil && !report.Clean() {
		err = fmt.Errorf("findings in %s of %d", plural(len(resultsWithFindings), "run"), report.Runs)
	}
	return err
}

// limits returns the limits of concurrent runs.
func (c *soakCommand) limits() (soak.Limits, error) {
	if c.Parallel < 1 {
		return soak.Limits{}, inputErrorf("--parallel %d: want at least 1", c.Parallel)
	}
	if c.Gateways < 0 {
		return soak.Limits{}, inputErrorf("--max-gateways %d: want at least 0", c.Gateways)
	}
	if c.Gateways > 0 {
		return soak.Limits{Runs: c.Parallel, Gateways: c.Gateways}, nil
	}
	return soak.NewLimits(c.Parallel)
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

// writeRunResult prints a line for a run, and two lines for each of its findings. It ignores write errors: the caller
// writes the report to the same output afterwards and returns the error of that.
func writeRunResult(w io.Writer, result *soak.Result) {
	kinds := make([]string, 0, len(result.Plan.Faults))
	for _, fault := range result.Plan.Faults {
		kinds = append(kinds, string(fault.Kind))
	}
	_, _ = fmt.Fprintf(w, "seed %s: %d gateways, %s: %d requests, %d findings\n", result.Plan.Name(), result.Plan.Gateways,
		strings.Join(kinds, " + "), result.Requests, len(result.Findings))
	for _, finding := range result.Findings {
		_, _ = fmt.Fprintf(w, "  %s\n  repeat with: springfield soak --seeds %s --keep DIR\n", finding, result.Plan.Name())
	}
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
		if _, err := fmt.Fprintf(w, "seed %s: %s needs %s\n", plan.Name(), finding, strings.Join(kinds, " + ")); err != nil {
			return err
		}
	}
	return nil
}
