package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"springfield/internal/experiment"
)

type experimentCompareCommand struct {
	storeFlag

	Experiment string `arg:"" help:"Name of the experiment."`
	Before     string `required:"" placeholder:"DECIDER[@VERSION]" help:"Baseline decider. ${side_help}"`
	After      string `required:"" placeholder:"DECIDER[@VERSION]" help:"Decider compared with --before. ${side_help}"`
}

// Help returns the detailed help, which explains the statistics of the comparison.
func (*experimentCompareCommand) Help() string {
	return `Differences are shown with 95 % confidence intervals, computed with Student's t distribution over the pairs of
runs with the same size, seed and scenario.

Examples:

    springfield experiment compare calm --before even-split --after springfield
    springfield experiment compare calm --before springfield@0ecc856f1a2b --after springfield@c03b0e71d2f0`
}

// Run compares the stored results of the two sides and prints the comparison.
func (c *experimentCompareCommand) Run(env *environment) error {
	records, err := storedRecords(c.Store, []string{c.Experiment})
	if err != nil {
		return err
	}
	before, err := parseSide("--before", c.Before, records)
	if err != nil {
		return err
	}
	after, err := parseSide("--after", c.After, records)
	if err != nil {
		return err
	}
	comparison, err := experiment.Compare(records, c.Experiment, before, after)
	if errors.Is(err, experiment.ErrNoRecords) {
		return &inputError{err}
	}
	if err != nil {
		return err
	}
	return comparison.WriteText(env.stdout)
}

// parseSide parses one side of a comparison, DECIDER[@VERSION]. The version defaults to the only one among the
// decider's records, or else to that of this program. Error messages name the flag.
func parseSide(flag, text string, records []experiment.Record) (experiment.Side, error) {
	decider, version, hasVersion := strings.Cut(text, "@")
	if decider == "" || hasVersion && version == "" {
		return experiment.Side{}, inputErrorf("%s is %q, want DECIDER or DECIDER@VERSION", flag, text)
	}
	if hasVersion {
		return experiment.Side{Decider: decider, Version: version}, nil
	}
	versions := versionsOf(decider, records)
	if len(versions) == 1 {
		return experiment.Side{Decider: decider, Version: versions[0]}, nil
	}
	ownVersion, err := programVersion()
	if err != nil {
		return experiment.Side{}, err
	}
	if len(versions) > 1 && !slices.Contains(versions, ownVersion) {
		return experiment.Side{}, inputErrorf("%s is %q without a version, but the store has versions %s", flag, text,
			strings.Join(versions, ", "))
	}
	return experiment.Side{Decider: decider, Version: ownVersion}, nil
}

// versionsOf returns the distinct versions of a decider's records, sorted.
func versionsOf(decider string, records []experiment.Record) []string {
	var versions []string
	for i := range records {
		if records[i].Decider == decider {
			versions = append(versions, records[i].Version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

type experimentListCommand struct {
	storeFlag

	Experiments []string `arg:"" optional:"" help:"Names of experiments (default: all)."`
}

// Help returns the detailed help, which describes the output.
func (*experimentListCommand) Help() string {
	return `Each line shows the means over all seeds for one experiment, version, decider and size.

Examples:

    springfield experiment list
    springfield experiment list calm herd --store all.db`
}

// Run prints the stored results of the experiments.
func (c *experimentListCommand) Run(env *environment) error {
	records, err := storedRecords(c.Store, c.Experiments)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		_, err := fmt.Fprintf(env.stdout, "%s holds no results\n", c.Store)
		return err
	}
	return experiment.WriteList(env.stdout, records)
}

// storedRecords reads the records of the named experiments from a store, or those of all experiments if no names are
// given. A name without records is an input error.
func storedRecords(path string, names []string) (records []experiment.Record, err error) {
	store, err := openStore(path, false)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	storedNames, err := store.Experiments()
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	if len(names) == 0 {
		names = storedNames
	}
	for _, name := range names {
		if !slices.Contains(storedNames, name) {
			return nil, inputErrorf("%s has no results of experiment %q; it has those of %s", path, name, joinNames(storedNames))
		}
		found, err := store.Records(name)
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", path, err)
		}
		records = append(records, found...)
	}
	return records, nil
}

// joinNames joins names with commas. It returns "none" if there are none.
func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
