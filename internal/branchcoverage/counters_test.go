package branchcoverage

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"springfield/internal/faultinjection"
)

const (
	samplePackage = "./testdata/sample"
	pollInterval  = 10 * time.Millisecond
)

// buildSample builds a program with coverage that runs until its standard input ends.
func buildSample(t *testing.T) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "sample")
	command := exec.Command("go", "build", "-cover", "-covermode=atomic", "-coverpkg="+samplePackage, "-o", program,
		samplePackage)
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, output)
	}
	return program
}

// startSample starts a process of a program and waits until it has written a snapshot of its counters.
func startSample(t *testing.T, program, directory string) (command *exec.Cmd, input io.Closer, snapshot string) {
	t.Helper()
	command = exec.CommandContext(t.Context(), program)
	command.Env = append(os.Environ(), faultinjection.CoverageVariable+"="+directory)
	input, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	pattern := filepath.Join(directory, fmt.Sprintf("%s*.%d", faultinjection.CoverageSnapshotPrefix, command.Process.Pid))
	for {
		snapshots, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		if len(snapshots) == 1 {
			return command, input, snapshots[0]
		}
		time.Sleep(pollInterval)
	}
}

// Guards against processes that are not counted because they were killed or did not write all of their counters, and
// against processes that are counted twice.
func TestCountersOfEndedAndKilledProcessesAreReadOnce(t *testing.T) {
	program := buildSample(t)
	if err := CheckProgram(program); err != nil {
		t.Error(err)
	}
	directory, err := NewCounterDirectory(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	ended, input, _ := startSample(t, program, directory)
	killed, _, snapshot := startSample(t, program, directory)
	if err := input.Close(); err != nil {
		t.Fatal(err)
	}
	if err := killed.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_, _ = ended.Process.Wait() // the exit statuses do not matter
	_, _ = killed.Process.Wait()
	text, err := os.ReadFile(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	process := filepath.Base(snapshot)[len(faultinjection.CoverageSnapshotPrefix):]
	incomplete := filepath.Join(directory, counterFilePrefix+process+".1")
	if err := os.WriteFile(incomplete, text[:len(text)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	profile, err := ReadCounters(t.Context(), directory)
	if err != nil {
		t.Fatal(err)
	}
	var counts []uint64
	for _, count := range profile {
		counts = append(counts, count)
	}
	if len(counts) != 1 || counts[0] != 2 {
		t.Errorf("the profile is %v, want one block with the count 2", profile)
	}
}

// Guards against soaks that count nothing because the gateway was built without coverage.
func TestProgramWithoutCoverageIsError(t *testing.T) {
	program, err := exec.LookPath("go")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{program, "counters_test.go"} {
		if CheckProgram(path) == nil {
			t.Errorf("no error for %s", path)
		}
	}
	if _, err := ReadCounters(t.Context(), t.TempDir()); err == nil {
		t.Error("no error for a directory without counters")
	}
}
