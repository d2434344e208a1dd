package mutation

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// maxVirtualSilence is the time without a finished run after which a soak on virtual time counts as hanging.
const maxVirtualSilence = 5 * time.Minute

// statusFindings is the exit status of a soak with findings.
const statusFindings = 1

// findingCrash is the kind of the finding for a mutated program that crashes.
const findingCrash = "crash"

// virtualRun is a run as a soak on virtual time prints it.
type virtualRun struct {
	Seed     uint64    `json:"seed"`
	Findings []Finding `json:"findings"`
}

// errVirtualSilence is the error of a soak on virtual time that hangs.
var errVirtualSilence = fmt.Errorf("no run has finished in %v", maxVirtualSilence)

// SoakVirtual returns a function that soaks the policy on virtual time by running the program, with the given number of
// concurrent runs.
func SoakVirtual(parallel int) SoakFunc {
	return func(ctx context.Context, program Program, seeds Seeds, done func(Run)) (int, error) {
		runCtx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		silence := time.AfterFunc(maxVirtualSilence, func() { cancel(errVirtualSilence) })
		defer silence.Stop()
		command := exec.CommandContext(runCtx, program.Path, virtualArguments(program, seeds, parallel)...)
		var stderr bytes.Buffer
		command.Stderr = &stderr
		runs := 0
		err := readRuns(command, func(run Run) {
			runs++
			silence.Reset(maxVirtualSilence)
			done(run)
		})
		if cause := context.Cause(runCtx); cause != nil {
			err = cause
		}
		if finding := failureOfMutation(err, stderr.String()); finding != nil && program.Mutated {
			done(Run{Findings: []Finding{*finding}})
			return runs + 1, nil
		}
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			err = fmt.Errorf("soak on virtual time: %w: %s", err, strings.TrimSpace(stderr.String()))
		}
		return runs, err
	}
}

func virtualArguments(program Program, seeds Seeds, parallel int) []string {
	arguments := []string{"soak", "--world", string(Virtual), "--seeds", fmt.Sprintf("%d-%d", seeds.First, seeds.Last),
		"--parallel", strconv.Itoa(parallel), "--json"}
	if program.Mutated {
		arguments = append(arguments, "--until-finding")
	}
	return arguments
}

// readRuns runs a command and calls done for each run that it prints. The exit status for findings is an error only if
// no run had findings.
func readRuns(command *exec.Cmd, done func(Run)) error {
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	hasFindings := false
	decoder := json.NewDecoder(bufio.NewReader(output))
	var decodeErr error
	for decodeErr == nil {
		var run virtualRun
		if decodeErr = decoder.Decode(&run); decodeErr == nil {
			hasFindings = hasFindings || len(run.Findings) > 0
			done(Run{Seed: run.Seed, Findings: run.Findings})
		}
	}
	_, _ = io.Copy(io.Discard, output) // lets the program end; an error shows in its exit status
	err = command.Wait()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == statusFindings && hasFindings {
		err = nil
	}
	if err == nil && !errors.Is(decodeErr, io.EOF) {
		err = fmt.Errorf("output of the soak: %w", decodeErr)
	}
	return err
}

// failureOfMutation returns the finding for a program that has crashed or hangs, or nil if it has done neither.
func failureOfMutation(err error, stderr string) *Finding {
	if errors.Is(err, errVirtualSilence) {
		return &Finding{What: findingRun, Count: 1, Detail: err.Error()}
	}
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return nil
	}
	for line := range strings.Lines(stderr) {
		if strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "fatal error: ") {
			return &Finding{What: findingCrash, Count: 1, Detail: strings.TrimSpace(line)}
		}
	}
	return nil
}
