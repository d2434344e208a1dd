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
	wantText(t, soak("--guided", "--corpus", counts).stderr, "--guided needs --coverage")
	wantText(t, soak("--corpus", counts).stderr, "--corpus needs --guided")
}

// Guards against names of variations that select other plans, and invalid ones that select any.
func TestSeedsMayNameVariation(t *testing.T) {
	var seeds seedRange
	if err := seeds.UnmarshalText([]byte("17.3")); err != nil {
		t.Fatal(err)
	}
	next := seeds.plans()
	if plan, ok := next(t.Context()); !ok || plan.Name() != "17.3" {
		t.Errorf("the plan is %s, %t; want 17.3", plan.Name(), ok)
	}
	if plan, ok := next(t.Context()); ok {
		t.Errorf("there is a second plan: %s", plan.Name())
	}
	for _, invalid := range []string{"17.", "17.3-18", "17.x", "3-1"} {
		if err := seeds.UnmarshalText([]byte(invalid)); err == nil {
			t.Errorf("no error for %q", invalid)
		}
	}
}
