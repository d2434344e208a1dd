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

const description = `Runs deployments of gateways on this machine and shows how well they serve.

Exit status: 0 on success, 1 if a run has failed or has broken a rule, 2 for input that cannot be used.

Examples:

    springfield demo
    springfield experiment run experiments/calm.toml --store results.db
    springfield report --store results.db --experiment calm --output calm.html
    springfield config check config.json`

// commandLine is the grammar of the command line.
type commandLine struct {
	Demo       demoCommand       `cmd:"" help:"Run a small deployment on sockets of this machine."`
	Experiment experimentCommand `cmd:"" help:"Run experiments, and compare their results."`
	Report     reportCommand     `cmd:"" help:"Write an HTML page or plots of results."`
	Soak       soakCommand       `cmd:"" help:"Run randomized faults against gateways, and look for broken rules."`
	Emulate    emulateCommand    `cmd:"" help:"Emulate the surroundings of gateways that are started by hand."`
	Config     configCommand     `cmd:"" help:"Work with configuration files of gateways."`
	Completion completionCommand `cmd:"" help:"Print a script that completes command lines in a shell."`
	Version    versionCommand    `cmd:"" help:"Print the version of this program."`

	GatewayProcess gatewayProcessCommand `cmd:"" hidden:"" help:"Run as a gateway; demo and experiments start this."`
}

// helpTexts are those that do not fit into a line of the grammar or are used more than once.
var helpTexts = kong.Vars{
	"gateway_help": "Program of the gateways of runs over sockets; without it, the gateway beside this program, or " +
		"else this program itself.",
	"emulate_file_help": "Experiment file whose scenario is used; without it, a small deployment without faults.",
	"side_help":         "Without a version, the only one in the store, or else that of this program.",
}

// environment is what commands need of the process.
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
	if err != nil || parsed == nil { // help was shown
		return exitStatus(stderr, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop) // a second interrupt ends the program at once
	parsed.BindTo(ctx, (*context.Context)(nil))
	return exitStatus(stderr, parsed.Run(&environment{stdout: stdout, stderr: stderr, application: parser.Model}))
}

// exitRequest is the panic by which kong's help ends the parsing of a command line.
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

// helpWidth is the longest line of the help.
const helpWidth = 100

// parse returns nil without an error if the command line asks for help, which it has shown.
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
