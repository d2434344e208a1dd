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
	Run     experimentRunCommand     `cmd:"" help:"Run experiment files, except for runs in the store."`
	Compare experimentCompareCommand `cmd:"" help:"Compare two deciders or versions, paired by size and seed."`
	List    experimentListCommand    `cmd:"" help:"List the results in the store."`
}

// storeFlag names the store of results.
type storeFlag struct {
	Store string `default:"results.db" type:"path" placeholder:"FILE" help:"Store of results (${default})."`
}

type experimentRunCommand struct {
	storeFlag

	Files     []string `arg:"" type:"existingfile" placeholder:"FILE" help:"Experiment files (TOML)."`
	Label     string   `placeholder:"TEXT" help:"Version to keep results under; without it, the revision of this program."`
	Fresh     bool     `help:"Also repeat runs that the store holds."`
	Workers   int      `placeholder:"N" help:"Runs at once, at most; without it, as the file says, or one for each core."`
	Results   string   `type:"path" placeholder:"FILE" help:"Also write the results as JSON, one run on each line."`
	Gateway   string   `type:"path" placeholder:"PROGRAM" help:"${gateway_help}"`
	Directory string   `type:"path" placeholder:"DIR" help:"Directory for logs of gateways in runs over sockets."`
}

// Help gives examples.
func (*experimentRunCommand) Help() string {
	return `A run that was interrupted is made again by the next call; all that had finished before are kept.

Examples:

    springfield experiment run experiments/calm.toml
    springfield experiment run experiments/*.toml --store all.db --results all.jsonl`
}

// Run runs the experiments one after another.
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
	defer func() { _ = store.Close() }() // each record is on disk since it was put
	options.Store = store
	var records []experiment.Record
	var errs []error
	for _, loaded := range experiments {
		if ctx.Err() != nil {
			errs = append(errs, fmt.Errorf("%s: not begun: %w", loaded.Name, ctx.Err()))
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

func executeExperiment(ctx context.Context, env *environment, loaded *experiment.Experiment,
	options experiment.Options) (experiment.Outcome, error) {
	shown := newProgress(env.stderr)
	defer shown.clear()
	shown.show("%s: %s", loaded.Name, plural(len(loaded.Runs()), "run"))
	options.Progress = func(p experiment.Progress) {
		shown.show("%s: %d of %d runs, last %s, size %g, seed %d", loaded.Name, p.Done, p.Planned, p.Run.Decider,
			p.Run.Size, p.Run.Seed)
	}
	outcome, err := experiment.Execute(ctx, loaded, options)
	if err != nil {
		err = fmt.Errorf("%s: %w", loaded.Name, err)
	}
	return outcome, err
}

// writeBrokenRules writes a line for each run that has broken a rule, and returns an error if there is one.
func writeBrokenRules(env *environment, records []experiment.Record) error {
	broken := 0
	for i := range records {
		record := &records[i]
		if record.Rules.Passed() {
			continue
		}
		broken++
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
	if broken > 0 {
		return fmt.Errorf("%w in %s", errRulesBroken, plural(broken, "run"))
	}
	return nil
}
