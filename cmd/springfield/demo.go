package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/internal/experiment"
	"springfield/internal/report"
)

const (
	// demoName is the name of the demo's scenario, of its experiment in the record and of its result in the report.
	demoName = "demo"

	// demoTimeout limits the start and the load of a demo. With the shutdown, the demo must take under 45 s.
	demoTimeout = 40 * time.Second

	// faultBeginShare and faultLengthShare are the begin and the length of the demo's fault, as shares of the length of
	// the load.
	faultBeginShare  = 0.3
	faultLengthShare = 0.2

	maxDemoLength = 20 * time.Second
	minDemoLength = time.Second

	// directoryMode and fileMode are the permissions of the directories and files that the commands create.
	directoryMode = 0o755
	fileMode      = 0o644

	// reportFile and resultsFile are the names of the files in the demo's output directory.
	reportFile  = "report.html"
	resultsFile = "results.jsonl"
)

// errDemoTimeout is the reason for which a demo is cancelled after demoTimeout.
var errDemoTimeout = fmt.Errorf("the demo took over %v", demoTimeout)

type demoCommand struct {
	Output  string        `short:"o" type:"path" placeholder:"DIR" help:"Keep the report, results and logs in DIR."`
	Seed    uint64        `default:"1" help:"Random seed of the clients and endpoints."`
	Length  time.Duration `default:"20s" help:"Duration of the load, from 1s to 20s."`
	Gateway string        `type:"path" placeholder:"PROGRAM" help:"${gateway_help}"`
}

// Help returns the detailed help, which describes the deployment.
func (*demoCommand) Help() string {
	return `Three gateway processes serve clients in front of eight endpoints, over local sockets. One endpoint crashes
during the load and restarts with a small part of its capacity. The demo takes under 45 s.

Examples:

    springfield demo
    springfield demo --output out && xdg-open out/report.html`
}

// Run runs the deployment and prints a summary of the results.
func (c *demoCommand) Run(ctx context.Context, env *environment) error {
	if c.Length < minDemoLength || c.Length > maxDemoLength {
		return inputErrorf("--length is %v, want %v to %v", c.Length, minDemoLength, maxDemoLength)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, demoTimeout, errDemoTimeout)
	defer cancel()
	program, arguments, err := gatewayProgram(c.Gateway)
	if err != nil {
		return err
	}
	directory, remove, err := prepareOutputDirectory(c.Output)
	if err != nil {
		return err
	}
	defer remove()
	run := deployment{name: demoName, scenario: demoScenario(c.Length), seed: c.Seed, gateway: program,
		gatewayArgs: arguments, directory: directory}
	record, err := run.run(ctx, env.stderr)
	if record == nil {
		return err
	}
	return errors.Join(err, writeRecordSummary(env.stdout, record), c.writeFiles(env, record), brokenRulesError(record))
}

// demoScenario returns the default scenario with one fault: an endpoint crashes and restarts.
func demoScenario(length time.Duration) emulator.Scenario {
	scenario := model.DefaultScenario()
	scenario.Name = demoName
	scenario.Length = emulator.Duration(length)
	scenario.Faults = []emulator.Fault{{
		Kind:   emulator.FaultStopEndpoints,
		At:     emulator.Duration(faultBeginShare * float64(length)),
		Length: emulator.Duration(faultLengthShare * float64(length)),
		Share:  1 / float64(scenario.Endpoints.Count),
	}}
	return scenario
}

// prepareOutputDirectory creates the directory at path, or a temporary directory if path is empty. The returned
// function remove deletes a temporary directory and keeps a directory at path.
func prepareOutputDirectory(path string) (directory string, remove func(), err error) {
	if path != "" {
		if err := os.MkdirAll(path, directoryMode); err != nil {
			return "", nil, &inputError{err}
		}
		return path, func() {}, nil
	}
	directory, err = os.MkdirTemp("", programName+"-")
	return directory, func() { _ = os.RemoveAll(directory) }, err // a failed removal only leaves temporary files
}

// writeFiles writes the report and the results to the output directory, if there is one.
func (c *demoCommand) writeFiles(env *environment, record *experiment.Record) error {
	if c.Output == "" {
		return nil
	}
	pagePath := filepath.Join(c.Output, reportFile)
	if err := writePage(pagePath, []report.NamedResult{{Name: demoName, Result: record.Result}}); err != nil {
		return err
	}
	if err := writeResults(filepath.Join(c.Output, resultsFile), []experiment.Record{*record}); err != nil {
		return err
	}
	_, err := fmt.Fprintf(env.stdout, "report: %s\n", pagePath)
	return err
}
