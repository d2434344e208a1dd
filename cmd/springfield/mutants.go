package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"springfield/internal/mutation"
)

// allWorlds is the value of --world that selects the mutants of all worlds.
const allWorlds = "all"

type mutantsCommand struct {
	Check mutantsCheckCommand `cmd:"" help:"Check that each mutant applies to the source tree and compiles."`
	Run   mutantsRunCommand   `cmd:"" help:"Soak mutants; results that are already in the file are not repeated."`
}

// mutantsFlags are the flags that select mutants. Commands embed them.
type mutantsFlags struct {
	Source  string   `type:"path" placeholder:"DIR" help:"Root of the source tree (default: that of this directory)."`
	Mutants string   `type:"path" placeholder:"DIR" help:"Mutant files (default: experiments/mutants of the source tree)."`
	Only    []string `placeholder:"NAME" help:"Names of the mutants to use, separated by commas."`
}

// load returns the root of the source tree and the selected mutants.
func (f *mutantsFlags) load() (root string, mutants []mutation.Mutant, err error) {
	root = f.Source
	if root == "" {
		if root, err = mutation.FindRoot("."); err != nil {
			return "", nil, inputErrorf("--source: %w", err)
		}
	}
	directory := f.Mutants
	if directory == "" {
		directory = filepath.Join(root, "experiments", "mutants")
	}
	mutants, err = mutation.LoadDirectory(directory)
	if err != nil {
		return "", nil, &inputError{err}
	}
	mutants, err = f.selectMutants(mutants)
	return root, mutants, err
}

// selectMutants returns the mutants that --only names, or all if there is no --only. A name that no mutant has is an
// error, except for that of the control entry, which is no mutant.
func (f *mutantsFlags) selectMutants(mutants []mutation.Mutant) ([]mutation.Mutant, error) {
	var errs []error
	for _, name := range f.Only {
		isKnown := slices.ContainsFunc(mutants, func(m mutation.Mutant) bool { return m.Name == name })
		if !isKnown && name != mutation.UnchangedName {
			errs = append(errs, inputErrorf("--only: there is no mutant %s", name))
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	if len(f.Only) == 0 {
		return mutants, nil
	}
	return slices.DeleteFunc(mutants, func(m mutation.Mutant) bool { return !slices.Contains(f.Only, m.Name) }), nil
}

type mutantsCheckCommand struct {
	mutantsFlags
}

// Help returns the detailed help.
func (*mutantsCheckCommand) Help() string {
	return `Each mutant is applied and built with an overlay; the source tree is not changed. All errors are reported.

Examples:

    springfield mutants check
    springfield mutants check --only send-after-disconnect`
}

// Run builds each mutant and reports all that do not apply or compile.
func (c *mutantsCheckCommand) Run(ctx context.Context, env *environment) error {
	root, mutants, err := c.load()
	if err != nil {
		return err
	}
	var errs []error
	for i := range mutants {
		err := checkMutant(ctx, root, &mutants[i])
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if _, err := fmt.Fprintf(env.stdout, "%s: applies and compiles\n", mutants[i].Name); err != nil {
			return err
		}
	}
	return errors.Join(errs...)
}

// checkMutant builds a mutant in a temporary directory.
func checkMutant(ctx context.Context, root string, mutant *mutation.Mutant) error {
	directory, err := os.MkdirTemp("", "mutant-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }() // a failed removal only leaves temporary files
	_, err = mutation.Build(ctx, root, mutant, directory)
	return err
}
