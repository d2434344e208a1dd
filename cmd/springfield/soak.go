package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"springfield/internal/emulator/virtual"
	"springfield/internal/soak"
)

// Values of soakCommand.World.
const (
	worldSockets = "sockets"
	worldVirtual = "virtual"
)

type soakCommand struct {
	Seeds        seedRange `required:"" placeholder:"A-B" help:"Seeds to run, such as 1-300 or 17, or a variation: 17.3."`
	World        string    `default:"sockets" enum:"sockets,virtual" help:"World of the runs: ${enum}."`
	Parallel     int       `default:"4" help:"Most concurrent runs."`
	UntilFinding bool      `help:"Stop after the first run with a finding."`
	JSON         bool      `help:"Print one JSON object per run instead of text."`
	Gateway      string    `type:"path" placeholder:"FILE" help:"Sockets: program built with -tags faultinjection."`
	Gateways     int       `name:"max-gateways" placeholder:"N" help:"Sockets: most gateways. Default: by memory."`
	Shrink       bool      `help:"Sockets: rerun seeds with findings to determine which faults they need."`
	Keep         string    `type:"path" placeholder:"DIR" help:"Sockets: keep the files of runs with findings in DIR."`

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
	return `Each seed determines a deployment and a few faults that overlap in time. The run is checked for broken rules
and other failures. Each finding is printed with a command that repeats its seed.

World sockets runs 10 to 40 gateway processes on real sockets, in real time. World virtual runs the policy of 3 to 120
gateways on virtual time, with settings that each seed draws.

--guided continues with variations of the plans whose runs took branches of the gateway's guards that few runs take. It
needs a gateway with coverage.

Exit status: 0 without findings, 1 with findings, 2 for invalid input.

Examples:

    go build -tags faultinjection -o gateway-soak ./cmd/gateway
    springfield soak --seeds 1-300 --gateway gateway-soak
    springfield soak --world virtual --seeds 1-2000`
}

// Run runs all seeds, prints each run and a report, and returns an error if there are findings.
func (c *soakCommand) Run(ctx context.Context, env *environment) error {
	if c.Parallel < 1 {
		return inputErrorf("--parallel %d: want at least 1", c.Parallel)
	}
	if c.World == worldVirtual {
		if err := c.checkVirtualFlags(); err != nil {
			return err
		}
		return c.runVirtual(ctx, env.stdout, virtual.PolicyDecider)
	}
	if c.JSON && c.Shrink {
		return inputErrorf("--shrink has no form in JSON")
	}
	return c.runSockets(ctx, env.stdout)
}

// findingsError returns the error of a soak with the given numbers of runs, or nil if none of them had findings.
func findingsError(runsWithFindings, runs int) error {
	if runsWithFindings == 0 {
		return nil
	}
	return fmt.Errorf("findings in %s of %d", plural(runsWithFindings, "run"), runs)
}

// checkVirtualFlags returns an error if flags are set that apply only to world sockets.
func (c *soakCommand) checkVirtualFlags() error {
	if c.Gateway != "" || c.Shrink || c.Keep != "" || c.Gateways != 0 {
		return inputErrorf("--gateway, --max-gateways, --shrink and --keep do not apply to --world virtual")
	}
	if c.Coverage || c.Guided || c.Seeds.variation != nil {
		return inputErrorf("--coverage, --guided and variations do not apply to --world virtual")
	}
	return nil
}
