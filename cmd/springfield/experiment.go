package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"

	"springfield/internal/experiment"
)

type experimentCommand struct {
	Run     experimentRunCommand     `cmd:"" help:"Run experiment files; stored runs are not repeated."`
	Compare experimentCompareCommand `cmd:"" help:"Compare the stored results of two deciders or versions."`
	List    experimentListCommand    `cmd:"" help:"List the results in the store."`
}

// storeFlag is the flag that names the store of results. Commands embed it.
type storeFlag struct {
	Store string `default:"results.db" type:"path" placeholder:"FILE" help:"Store of results (default: ${default})."`
}

type experimentRunCommand struct {
	storeFlag

	Files     []string `arg:"" type:"existingfile" placeholder:"FILE" help:"Experiment files (TOML)."`
	Label     string   `placeholder:"TEXT" help:"Version under which to store results (default: that of this program)."`
	Fresh     bool     `help:"Repeat runs that are already in the store."`
	Workers   int      `placeholder:"N" help:"Maximum concurrent runs (default: set by the file, or one per core)."`
	Results   string   `type:"path" placeholder:"FILE" help:"Also write the results to this file, as JSON Lines."`
	Gateway   string   `type:"path" placeholder:"PROGRAM" help:"${gateway_help}"`
	Directory string   `type:"path" placeholder:"DIR" help:"Keep the gateway logs of runs over sockets in DIR."`
}

// Help returns the detailed help, which says how interrupted runs are resumed.
func (*experimentRunCommand) Help() string {
	return `To continue after an interrupt, repeat the command: the store keeps the finished runs, and only the others run.

Examples:

    springfield experiment run experiments/calm.toml
    springfield experiment run experiments/*.toml --store all.db --results all.jsonl`
}

// Run runs the experiments one after another and prints their results.
func (c *experimentRunCommand) Run(ctx context.Context, env *environment) error {
	if c.Workers < 0 {
		return inputErrorf("--workers is %d, want 0 or more", c.Workers)
	}
	experiments, err := loadExperiments(c.Files)
	if err != nil {
		return err
	}
	options, err := c.options(env)
	if err != nil {
		return err
	}
	store, err := openStore(c.Store, true)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }() // an error loses nothing: Put has written each record to disk
	options.Store = store
	var records []experiment.Record
	var errs []error
	for _, loaded := range experiments {
		if ctx.Err() != nil {
			errs = append(errs, fmt.Errorf("%s: not started: %w", loaded.Name, ctx.Err()))
			continue
		}
		outcome, err := executeExperiment(ctx, env, loaded, options)
		records = append(records, outcome.Records...)
		errs = append(errs, err)
	}
	if len(records) > 0 {
		errs = append(errs, experiment.WriteList(env.stdout, records), writeBrokenRules(env, records))
	}
	if c.Results != "" {
		errs = append(errs, writeResults(c.Results, records))
	}
	return errors.Join(errs...)
}

// loadExperiments loads experiment files. Its error covers all files that cannot be used.
func loadExperiments(files []string) ([]*experiment.Experiment, error) {
	var experiments []*experiment.Experiment
	var errs []error
	for _, file := range files {
		loaded, err := experiment.Load(file)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		experiments = append(experiments, loaded)
	}
	if len(errs) > 0 {
		return nil, &inputError{errors.Join(errs...)}
	}
	return experiments, nil
}

// options returns the options of the runs. Their version is the label, or else that of this program.
func (c *experimentRunCommand) options(env *environment) (experiment.Options, error) {
	version := c.Label
	if version == "" {
		var err error
		if version, err = programVersion(); err != nil {
			return experiment.Options{}, err
		}
	}
	program, arguments, err := gatewayProgram(c.Gateway)
	if err != nil {
		return experiment.Options{}, err
	}
	runFunc := experiment.NewRunFunc(experiment.LoopbackOptions{Gateway: program, GatewayArgs: arguments,
		Directory: c.Directory, Logger: slog.New(slog.NewTextHandler(env.stderr, nil))})
	return experiment.Options{RunFunc: runFunc, Version: version, Workers: c.Workers, Fresh: c.Fresh}, nil
}

// executeExperiment runs an experiment and shows its progress.
func executeExperiment(ctx context.Context, env *environment, loaded *experiment.Experiment,
	options experiment.Options) (experiment.Outcome, error) {
	line := newProgressLine(env.stderr)
	defer line.clear()
	line.show("%s: %s", loaded.Name, plural(len(loaded.Runs()), "run"))
	options.Progress = func(p experiment.Progress) {
		line.show("%s: %d of %d runs, last %s, size %g, seed %d", loaded.Name, p.Done, p.Planned, p.Run.Decider,
			p.Run.Size, p.Run.Seed)
	}
	outcome, err := experiment.Execute(ctx, loaded, options)
	if err != nil {
		err = fmt.Errorf("%s: %w", loaded.Name, err)
	}
	return outcome, err
}

// writeBrokenRules prints a line for each run that broke a rule, and returns an error if there is such a run.
func writeBrokenRules(env *environment, records []experiment.Record) error {
	violatingRuns := 0
	for i := range records {
		record := &records[i]
		if record.Rules.Passed() {
			continue
		}
		violatingRuns++
		var rules []string
		for _, rule := range record.Rules.Violations {
			rules = append(rules, fmt.Sprintf("%s (%d)", rule.Rule, rule.Count))
		}
		_, err := fmt.Fprintf(env.stdout, "rules broken: %s, %s, size %g, seed %d: %s\n", record.Experiment,
			record.Decider, record.Size, record.Seed, strings.Join(rules, ", "))
		if err != nil {
			return err
		}
	}
	if violatingRuns > 0 {
		return fmt.Errorf("%w in %s", errRulesBroken, plural(violatingRuns, "run"))
	}
	return nil
}
