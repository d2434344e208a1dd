package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"

	"springfield/internal/branchcoverage"
	"springfield/internal/soak"
)

// coverageFlags are the flags of a soak that counts the branches that gateways take.
type coverageFlags struct {
	Coverage       bool     `help:"Count the branches that the gateways' guards take. Needs a gateway with coverage."`
	CoverageOutput string   `type:"path" placeholder:"FILE" help:"Write the counts of all branches to FILE as JSON lines."`
	CoverageInput  []string `type:"existingfile" placeholder:"FILE" help:"Add counts that earlier soaks have written."`
	Source         string   `type:"existingdir" default:"." help:"Directory of the sources of the gateway."`
}

// coverageCollector collects the branch counts of the runs of a soak. A nil collector collects nothing. Its methods are
// safe for concurrent use.
type coverageCollector struct {
	guards       []branchcoverage.Guard
	declarations map[branchcoverage.Declaration]bool // declarations of the guards
	guide        *soak.Guide                         // records each run; nil if the soak is not guided

	mu     sync.Mutex // guards counts
	counts *branchcoverage.Counts
}

// newCollector returns a collector, or nil if the soak does not count branches.
func (f *coverageFlags) newCollector(gatewayProgram string) (*coverageCollector, error) {
	if !f.Coverage {
		if f.CoverageOutput != "" || len(f.CoverageInput) > 0 {
			return nil, inputErrorf("--coverage-output and --coverage-input need --coverage")
		}
		return nil, nil
	}
	if err := branchcoverage.CheckProgram(gatewayProgram); err != nil {
		return nil, &inputError{err}
	}
	guards, err := branchcoverage.Guards()
	if err != nil {
		return nil, err
	}
	source := branchcoverage.NewSource(f.Source)
	if err := source.CheckGuards(guards); err != nil {
		return nil, &inputError{err}
	}
	collector := &coverageCollector{guards: guards, declarations: map[branchcoverage.Declaration]bool{},
		counts: branchcoverage.NewCounts(source)}
	for _, guard := range guards {
		for _, declaration := range guard.Declarations {
			collector.declarations[declaration] = true
		}
	}
	for _, path := range f.CoverageInput {
		if err := collector.readFile(path); err != nil {
			return nil, &inputError{err}
		}
	}
	return collector, nil
}

func (c *coverageCollector) readFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // it was only read
	if err := c.counts.ReadJSON(file); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// run carries out a plan and adds the counts of its gateways.
func (c *coverageCollector) run(ctx context.Context, plan soak.Plan, options soak.Options) (soak.Result, error) {
	if c == nil {
		return soak.Run(ctx, plan, options)
	}
	var err error
	if options.CoverageDirectory, err = branchcoverage.NewCounterDirectory(options.Directory); err != nil {
		return soak.Result{}, err
	}
	result, err := soak.Run(ctx, plan, options)
	if err != nil {
		return result, err
	}
	profile, err := branchcoverage.ReadCounters(ctx, options.CoverageDirectory)
	if err != nil {
		return result, fmt.Errorf("seed %s: %w", plan.Name(), err)
	}
	branches, err := c.add(&plan, profile)
	if err == nil && c.guide != nil {
		err = c.guide.Record(plan, branches)
	}
	return result, err
}

// add adds the profile of a run and returns the identifiers of the guards' branches that the run took.
func (c *coverageCollector) add(plan *soak.Plan, profile branchcoverage.Profile) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken, err := c.counts.Add(plan.Name(), profile)
	if err != nil {
		return nil, err
	}
	var branches []string
	for _, branch := range taken {
		if c.declarations[branchcoverage.Declaration{File: branch.File, Name: branch.Declaration}] {
			branches = append(branches, branch.ID())
		}
	}
	return branches, nil
}

// write writes the report of the collector, and all counts to a file if path is set.
func (c *coverageCollector) write(w io.Writer, path string) error {
	if c == nil {
		return nil
	}
	if path != "" {
		if err := c.writeFile(path); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return c.counts.WriteReport(w, c.guards)
}

func (c *coverageCollector) writeFile(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(c.counts.WriteJSON(file), file.Close())
}
