package mutation

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// TestVirtualSoakReadsTheRunsOfTheProgram runs scripts in place of the program. It guards against lost findings,
// against an exit status that is ignored, and against a crash of the unmutated program that counts as a finding.
func TestVirtualSoakReadsTheRunsOfTheProgram(t *testing.T) {
	const clean = `echo '{"seed":1,"findings":null,"requests":3}'; `
	const found = `echo '{"seed":2,"findings":[{"what":"rule drained","count":1,"detail":"d"}]}'; `
	const panics = `echo 'panic: nil map' >&2; exit 2`
	for _, test := range []struct {
		name, script string
		mutated      bool
		findings     []string // kinds of the findings
		wantErr      string
	}{
		{"clean", clean, true, nil, ""},
		{"finding", clean + found + "exit 1", true, []string{"rule drained"}, ""},
		{"status without finding", clean + "echo failed >&2; exit 1", true, nil, "exit status 1: failed"},
		{"crash of the mutated program", clean + panics, true, []string{"crash"}, ""},
		{"crash of the unchanged program", clean + panics, false, nil, "exit status 2: panic: nil map"},
		{"bad input", "echo 'unknown flag' >&2; exit 2", true, nil, "exit status 2: unknown flag"},
		{"no JSON", "echo text", true, nil, "output of the soak"},
		{"arguments of a mutated program", `[ "$*" = "soak --world virtual --seeds 1-2 --parallel 3 --json ` +
			`--until-finding" ]`, true, nil, ""},
		{"arguments of the unchanged program", `[ "$*" = "soak --world virtual --seeds 1-2 --parallel 3 --json" ]`,
			false, nil, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			program := Program{Path: filepath.Join(t.TempDir(), "program"), Mutated: test.mutated}
			if err := os.WriteFile(program.Path, []byte("#!/bin/sh\n"+test.script+"\n"), 0o700); err != nil {
				t.Fatal(err)
			}
			var findings []string
			_, err := SoakVirtual(3)(t.Context(), program, Seeds{1, 2}, func(run Run) {
				for _, finding := range run.Findings {
					findings = append(findings, finding.What)
				}
			})
			if test.wantErr != "" {
				wantError(t, err, test.wantErr)
			} else if err != nil {
				t.Error(err)
			}
			if !slices.Equal(findings, test.findings) {
				t.Errorf("got findings %v, want %v", findings, test.findings)
			}
		})
	}
}
