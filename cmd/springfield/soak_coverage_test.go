package main

import (
	"os/exec"
	"testing"
)

// Guards against soaks that run for a long time and then have counted nothing.
func TestUnusableCoverageOptionsAreInputErrors(t *testing.T) {
	withoutCoverage, err := exec.LookPath("go")
	if err != nil {
		t.Fatal(err)
	}
	counts := writeTestFile(t, "counts.jsonl", "")
	soak := func(flags ...string) output {
		return expect(t, statusBadInput, append([]string{"soak", "--seeds=1", "--gateway", withoutCoverage}, flags...)...)
	}
	wantText(t, soak("--coverage").stderr, "was built without coverage", "go build -cover")
	wantText(t, soak("--coverage-output", counts).stderr, "need --coverage")
	wantText(t, soak("--coverage-input", counts).stderr, "need --coverage")
}
