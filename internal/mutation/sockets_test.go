package mutation

import (
	"errors"
	"os/exec"
	"testing"

	"springfield/internal/emulator/loopback"
	"springfield/internal/soak"
)

// TestGatewayThatNeverStartsIsAFindingOnlyIfMutated soaks a program that exits at once. It guards against a mutant that
// counts as missed because no run of it could be carried out, and against a control that is broken but has findings.
func TestGatewayThatNeverStartsIsAFindingOnlyIfMutated(t *testing.T) {
	path, err := exec.LookPath("false")
	if err != nil {
		t.Fatal(err)
	}
	for _, mutated := range []bool{true, false} {
		program := Program{Path: path, Directory: t.TempDir(), Mutated: mutated}
		var runs []Run
		sockets := SoakSockets(soak.Limits{Runs: 1})
		started, err := sockets(t.Context(), program, Seeds{7, 7}, func(run Run) { runs = append(runs, run) })
		if started != 1 {
			t.Errorf("mutated %v: %d runs were started, want 1", mutated, started)
		}
		if !mutated {
			if !errors.Is(err, loopback.ErrNotReady) || len(runs) != 0 {
				t.Errorf("unchanged program: got error %v and runs %+v, want ErrNotReady", err, runs)
			}
			continue
		}
		if err != nil || len(runs) != 1 || runs[0].Seed != 7 || len(runs[0].Findings) != 1 ||
			runs[0].Findings[0].What != findingRun {
			t.Errorf("mutated program: got error %v and runs %+v, want a finding", err, runs)
		}
	}
}
