package main

import (
	"fmt"
	"os"

	"springfield/internal/configcheck"
)

type configCommand struct {
	Check configCheckCommand `cmd:"" help:"Report all problems in a gateway's configuration file."`
}

type configCheckCommand struct {
	File string `arg:"" type:"path" placeholder:"FILE" help:"Configuration file (the gateway's RELAY_CONFIG)."`
}

// Help returns the detailed help, which describes the output.
func (*configCheckCommand) Help() string {
	return `Each problem is printed as one line on standard output: file, line, severity, JSON path and reason. An error is
a value that the gateway cannot use; the exit status is 2 if there are errors, and 0 if there are only warnings. The
environment variables that override the file when a gateway starts are ignored, as they are when the file is reloaded.

Example:

    springfield config check /run/balancer/config.json`
}

// Run checks the file and prints its problems.
func (c *configCheckCommand) Run(env *environment) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return &inputError{err}
	}
	problems := configcheck.Check(text)
	for _, problem := range problems {
		if _, err := fmt.Fprintf(env.stdout, "%s:%d: %v: %v\n", c.File, problem.Line, problem.Severity, problem); err != nil {
			return err
		}
	}
	errorCount := configcheck.Count(problems, configcheck.Error)
	warningCount := configcheck.Count(problems, configcheck.Warning)
	if errorCount > 0 {
		return inputErrorf("%s cannot be used: %s, %s", c.File, plural(errorCount, "error"), plural(warningCount, "warning"))
	}
	_, err = fmt.Fprintf(env.stdout, "%s can be used: %s\n", c.File, plural(warningCount, "warning"))
	return err
}

// plural formats a count with its noun. It appends an "s" to the noun unless the count is 1.
func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}
