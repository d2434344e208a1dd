package main

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"springfield/internal/mutation"
	"springfield/internal/soak"
)

type mutantsRunCommand struct {
	mutantsFlags

	World        string    `enum:"sockets,virtual,all" default:"all" help:"World of the mutants to soak: ${enum}."`
	Seeds        seedRange `default:"1-20" placeholder:"A-B" help:"Seeds of soaks on sockets (default: ${default})."`
	VirtualSeeds seedRange `default:"1-2000" placeholder:"A-B" help:"Seeds of virtual time (default: ${default})."`
	Parallel     int       `default:"4" help:"Number of concurrent runs of a soak."`
	Results      string    `required:"" type:"path" placeholder:"FILE" help:"File of the results, as JSON Lines."`
	Markdown     bool      `help:"Print the table as Markdown."`
}

// Help returns the detailed help, which says how interrupted runs are resumed.
func (*mutantsRunCommand) Help() string {
	return `Each mutant is soaked until the first finding or until all seeds have run. The program without a mutation
("unchanged") is soaked with all seeds as well, unless --only leaves it out. A finding there is a false one, and the
exit status is then 1. To continue after an interrupt, repeat the command: finished mutants are not soaked again unless
their definition, the sources or the seeds have changed.

Examples:

    springfield mutants run --results results.jsonl
    springfield mutants run --results results.jsonl --world sockets --seeds 1-40 --markdown
    springfield mutants run --results results.jsonl --only send-after-disconnect,unchanged`
}

// Run soaks the selected mutants and prints the table of their results.
func (c *mutantsRunCommand) Run(ctx context.Context, env *environment) error {
	if c.Parallel < 1 {
		return inputErrorf("--parallel %d: want at least 1", c.Parallel)
	}
	root, mutants, err := c.load()
	if err != nil {
		return err
	}
	entries := c.entries(mutants)
	if len(entries) == 0 {
		return inputErrorf("no mutants of world %s are selected", c.World)
	}
	limits, err := soak.NewLimits(c.Parallel)
	if err != nil {
		return err
	}
	store, discarded, err := mutation.OpenStore(c.Results)
	if err != nil {
		return &inputError{err}
	}
	defer func() { _ = store.Close() }() // an error loses nothing: Add has written each result to disk
	if discarded > 0 {
		// A failed write of this message does not prevent the soak.
		_, _ = fmt.Fprintf(env.stderr, "%s: discarded an incomplete last line of %d bytes\n", c.Results, discarded)
	}
	runner := c.runner(env, root, store, limits)
	results, err := runner.Run(ctx, entries)
	tableErr := mutantTable{results: results, entries: entries, markdown: c.Markdown}.write(env.stdout)
	return errors.Join(err, tableErr, falseFindingsError(results))
}

// entries returns the control entries and the mutants of the selected worlds. A control entry precedes the mutants of
// its world.
func (c *mutantsRunCommand) entries(mutants []mutation.Mutant) []mutation.Mutant {
	named := slices.Contains(c.Only, mutation.UnchangedName)
	var entries []mutation.Mutant
	for _, world := range mutation.Worlds() {
		if c.World != allWorlds && c.World != string(world) {
			continue
		}
		selected := slices.DeleteFunc(slices.Clone(mutants), func(m mutation.Mutant) bool { return m.World != world })
		if named || len(c.Only) == 0 && len(selected) > 0 {
			entries = append(entries, mutation.Unchanged(world))
		}
		entries = append(entries, selected...)
	}
	return entries
}

func (c *mutantsRunCommand) runner(env *environment, root string, store *mutation.Store,
	limits soak.Limits) *mutation.Runner {
	line := newProgressLine(env.stderr)
	return &mutation.Runner{
		Root:     root,
		Store:    store,
		Parallel: c.Parallel,
		Build:    mutation.Build,
		Seeds: map[mutation.World]mutation.Seeds{
			mutation.Sockets: {First: c.Seeds.first, Last: c.Seeds.last},
			mutation.Virtual: {First: c.VirtualSeeds.first, Last: c.VirtualSeeds.last},
		},
		Soaks: map[mutation.World]mutation.SoakFunc{
			mutation.Sockets: mutation.SoakSockets(limits),
			mutation.Virtual: mutation.SoakVirtual(c.Parallel),
		},
		OnStart: func(mutant *mutation.Mutant) { line.show("soaking %s (%s)", mutant.Name, mutant.World) },
		OnResult: func(result *mutation.Result, isStored bool) {
			line.clear()
			writeMutantResult(env.stdout, result, isStored)
		},
	}
}

// falseFindingsError returns an error if a control entry has a finding.
func falseFindingsError(results []mutation.Result) error {
	var errs []error
	for i := range results {
		result := &results[i]
		if result.Mutant == mutation.UnchangedName && result.Finding != nil {
			errs = append(errs, fmt.Errorf("false findings in %s of %d of the unchanged program (%s), first in seed %d: %s: %s",
				plural(result.RunsWithFinding, "run"), result.Runs, result.World, result.FindingSeed, result.Finding.What,
				result.Finding.Detail))
		}
	}
	return errors.Join(errs...)
}
