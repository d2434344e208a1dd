package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"
)

const programName = "springfield"

const description = `Runs emulated deployments of gateways on this machine and measures how well they serve requests.

Exit status: 0 on success, 1 if a run failed, was interrupted or broke a rule, 2 for invalid input.

Examples:

    springfield demo
    springfield experiment run experiments/calm.toml --store results.db
    springfield report --store results.db --experiment calm --output calm.html
    springfield config check config.json`

// commandLine declares the commands of the program for kong.
type commandLine struct {
	Demo       demoCommand       `cmd:"" help:"Run a small deployment over local sockets."`
	Experiment experimentCommand `cmd:"" help:"Run experiments and compare their results."`
	Report     reportCommand     `cmd:"" help:"Write an HTML report of results, and optionally its plots."`
	Soak       soakCommand       `cmd:"" help:"Run gateways under randomized faults and look for broken rules."`
	Mutants    mutantsCommand    `cmd:"" help:"Measure how many deliberate faults in the gateway the soak finds."`
	Emulate    emulateCommand    `cmd:"" help:"Emulate endpoints, discovery and clients for gateways started by hand."`
	Config     configCommand     `cmd:"" help:"Check configuration files of gateways."`
	Completion completionCommand `cmd:"" help:"Print a shell completion script."`
	Version    versionCommand    `cmd:"" help:"Print the version of this program."`

	GatewayProcess gatewayProcessCommand `cmd:"" hidden:"" help:"Run as a gateway; started by other commands."`
}

// helpTexts holds help texts that are too long for a struct tag or that several tags share. Tags refer to them by key.
var helpTexts = kong.Vars{
	"gateway_help": "Gateway program for runs over sockets (default: the gateway in the directory of this program, " +
		"or else this program itself).",
	"emulate_file_help": "Experiment file whose scenario is used (default: a small deployment without faults).",
	"side_help":         "The version defaults to the only one in the store, or else to that of this program.",
}

// environment is passed to the Run method of each command. It holds the output streams and kong's model of the command
// line.
type environment struct {
	stdout, stderr io.Writer
	application    *kong.Application
}

// run parses and executes a command line and returns the exit status.
func run(arguments []string, stdout, stderr io.Writer) int {
	parser, err := newParser(stdout, stderr)
	if err != nil {
		return exitStatus(stderr, err)
	}
	parsed, err := parse(parser, arguments)
	if err != nil || parsed == nil { // parsed is nil if the help was shown
		return exitStatus(stderr, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop) // stop restores the default handling: a second interrupt ends the program at once
	parsed.BindTo(ctx, (*context.Context)(nil))
	return exitStatus(stderr, parsed.Run(&environment{stdout: stdout, stderr: stderr, application: parser.Model}))
}

// exitRequest is the value of the panic that stops the parsing after kong has shown the help. Kong would continue to
// parse if its exit function returned.
type exitRequest int

func newParser(stdout, stderr io.Writer) (*kong.Kong, error) {
	return kong.New(&commandLine{},
		kong.Name(programName),
		kong.Description(description),
		helpTexts,
		kong.Writers(stdout, stderr),
		kong.Exit(func(status int) { panic(exitRequest(status)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: helpWidth, NoExpandSubcommands: true,
			NoAppDescFormat: true}),
	)
}

// helpWidth is the column at which lines of the help wrap.
const helpWidth = 100

// parse parses a command line. If the command line asks for help, parse shows it and returns nil without an error.
func parse(parser *kong.Kong, arguments []string) (parsed *kong.Context, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			if _, ok := recovered.(exitRequest); !ok {
				panic(recovered)
			}
			parsed, err = nil, nil
		}
	}()
	if len(arguments) == 0 {
		arguments = []string{"--help"}
	}
	parsed, err = parser.Parse(arguments)
	if err == nil {
		return parsed, nil
	}
	helpCommand := programName
	var parseErr *kong.ParseError
	if errors.As(err, &parseErr) && parseErr.Context != nil && parseErr.Context.Selected() != nil {
		helpCommand = parseErr.Context.Selected().FullPath()
	}
	return nil, &inputError{fmt.Errorf("%w (see %s --help)", err, helpCommand)}
}
