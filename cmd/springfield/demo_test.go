package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/testkit"
)

// TestDemoServesRequestsAndKeepsTheRules guards against a demo that serves nothing, breaks a rule or leaves out a file.
// Its gateway processes run the test binary itself, because there is no gateway program in its directory.
func TestDemoServesRequestsAndKeepsTheRules(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "out")
	got := expect(t, statusSuccess, "demo", "--length", "2s", "--output", directory)
	wantText(t, got.stdout, "served", "rejected", "failed", "p50", "p99", "over quota", "plan basic", "class search",
		"rules kept: yes")
	for _, name := range []string{reportFile, resultsFile, "gateway-0.log"} {
		if info, err := os.Stat(filepath.Join(directory, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s is missing or empty, error %v", name, err)
		}
	}
	records, err := readResults(filepath.Join(directory, resultsFile))
	if err != nil || len(records) != 1 {
		t.Fatalf("the results hold %d records, error %v, want 1 record", len(records), err)
	}
	result := &records[0].Result
	if result.Requests.Served.Count == 0 || len(result.Faults) != 1 || result.Gateways != 3 || result.Endpoints != 8 {
		t.Errorf("the result is %+v, want served requests, 1 fault, 3 gateways and 8 endpoints", result)
	}
	page := filepath.Join(directory, "again.html")
	got = expect(t, statusSuccess, "report", filepath.Join(directory, resultsFile), "-o", page)
	wantText(t, got.stdout, page+": 1 result")
}

// cancellingObserver cancels a run once 20 requests have been served.
type cancellingObserver struct {
	cancel func()
	served int
}

// Observe implements emulator.Observer.
func (c *cancellingObserver) Observe(_ time.Duration, observation emulator.Observation) {
	const servedBeforeCancel = 20
	if answered, ok := observation.(emulator.RequestAnswered); ok && answered.Answer == emulator.AnswerServed {
		c.served++
	}
	if c.served == servedBeforeCancel {
		c.cancel()
	}
}

// TestInterruptedRunReturnsItsMeasurement guards against an interrupt that discards the measurement, counts as a broken
// rule or lets the load go on.
func TestInterruptedRunReturnsItsMeasurement(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	program, arguments, err := gatewayProgram("")
	if err != nil {
		t.Fatal(err)
	}
	interrupted := deployment{name: "test", scenario: demoScenario(maxDemoLength), gateway: program,
		gatewayArgs: arguments, directory: t.TempDir(), observer: &cancellingObserver{cancel: cancel}}
	record, err := interrupted.run(ctx, io.Discard)
	var incomplete *incompleteRunError
	if !errors.As(err, &incomplete) || !errors.Is(err, context.Canceled) {
		t.Errorf("the error is %v, want an incompleteRunError with context.Canceled", err)
	}
	if record == nil || record.Result.Requests.Served.Count < 20 || !record.Rules.Passed() {
		t.Fatalf("the record is %+v, want at least 20 served requests and no broken rule", record)
	}
	if record.Result.LengthSeconds >= maxDemoLength.Seconds() {
		t.Errorf("the interrupted run took %g s, want less than its whole load", record.Result.LengthSeconds)
	}
}

// TestInterruptEndsTheDemoWithFailureStatus sends a real interrupt to a demo process. It guards against a demo that
// goes on, ends with another exit status, or reports the interrupt on more than one line.
func TestInterruptEndsTheDemoWithFailureStatus(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	command := exec.Command(program, "demo", "--output", directory)
	command.Env = append(os.Environ(), programVariable+"=1")
	var stderr bytes.Buffer
	command.Stderr = &stderr
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = command.Process.Kill() }() // the process is still running only if the test fails
	testkit.Eventually(t, "a gateway that listens", func() bool {
		log, err := os.ReadFile(filepath.Join(directory, "gateway-0.log"))
		return err == nil && bytes.Contains(log, []byte("msg=listening"))
	})
	if err := command.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	err = command.Wait()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != statusFailure {
		t.Errorf("the demo ended with %v, want status %d", err, statusFailure)
	}
	if !isErrorLine(stderr.String()) {
		t.Errorf("standard error is %q, want one line", stderr.String())
	}
}
