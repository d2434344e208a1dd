package main

import (
	"context"
	"errors"
	"fmt"

	"springfield/internal/emulator"
	"springfield/internal/emulator/loopback"
	"springfield/internal/emulator/model"
	"springfield/internal/experiment"
)

// emulationName is the name of the experiment in the record of an emulation.
const emulationName = "emulation"

type emulateCommand struct {
	File      string `arg:"" optional:"" type:"existingfile" placeholder:"FILE" help:"${emulate_file_help}"`
	Seed      uint64 `default:"1" help:"Random seed of the clients and endpoints."`
	Directory string `type:"path" placeholder:"DIR" help:"Directory for gateway configurations (default: temporary)."`
	Results   string `type:"path" placeholder:"FILE" help:"Also write the results to this file, as JSON."`
}

// Help returns the detailed help, which says how the gateways are started.
func (*emulateCommand) Help() string {
	return `Endpoints, discovery and clients run in this process. It writes a configuration file for each gateway, prints
the commands that start the gateways, and begins the load once all of them are ready. An interrupt ends the run and
shows the results until then.

Examples:

    springfield emulate
    springfield emulate experiments/sockets.toml --directory run`
}

// Run emulates the deployment until its load is over or it is interrupted, and prints a summary of the results.
func (c *emulateCommand) Run(ctx context.Context, env *environment) error {
	scenario, err := c.scenario()
	if err != nil {
		return err
	}
	directory, remove, err := prepareOutputDirectory(c.Directory)
	if err != nil {
		return err
	}
	defer remove()
	run := deployment{name: emulationName, scenario: scenario, seed: c.Seed, directory: directory,
		onStarted: func(addresses loopback.Addresses) error { return writeStartCommands(env, addresses) }}
	record, err := run.run(ctx, env.stderr)
	if record == nil {
		return err
	}
	errs := []error{err, writeRecordSummary(env.stdout, record), brokenRulesError(record)}
	if c.Results != "" {
		errs = append(errs, writeResults(c.Results, []experiment.Record{*record}))
	}
	return errors.Join(errs...)
}

// scenario returns the scenario of the experiment file, or the default scenario if no file is given.
func (c *emulateCommand) scenario() (emulator.Scenario, error) {
	if c.File == "" {
		return model.DefaultScenario(), nil
	}
	loaded, err := experiment.Load(c.File)
	if err != nil {
		return emulator.Scenario{}, &inputError{err}
	}
	return loaded.Scenario, nil
}

// writeStartCommands prints the command that starts each gateway.
func writeStartCommands(env *environment, addresses loopback.Addresses) error {
	if _, err := fmt.Fprintf(env.stdout, "%s ready. Start each gateway in its own shell:\n",
		plural(len(addresses.Endpoints), "endpoint")); err != nil {
		return err
	}
	for _, gateway := range addresses.Gateways {
		if _, err := fmt.Fprintf(env.stdout, "  RELAY_CONFIG=%s bin/gateway   # listens on %s\n", gateway.Config,
			gateway.Listen); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(env.stdout, "The load begins when all gateways are ready. Ctrl-C ends it.")
	return err
}
