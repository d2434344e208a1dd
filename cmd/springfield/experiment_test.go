package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// smallExperiment writes the file of a short experiment in virtual time and returns its path. The experiment has 4
// runs: 2 deciders with 2 seeds each.
func smallExperiment(t *testing.T) string {
	t.Helper()
	base, err := os.ReadFile("../../experiments/deployments/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	writeTestFileIn(t, directory, "base.toml", string(base))
	return writeTestFileIn(t, directory, "small.toml", `name = "small"
form = "virtual"
deciders = ["springfield", "even-split"]
seeds = [1, 2]
scenario_file = "base.toml"
[scenario]
length = "2s"
gateways = 3
[scenario.endpoints]
count = 4
[scenario.clients]
set_min = 0.7
set_max = 1.0
`)
}

// TestExperimentRunIsStoredComparedAndReported guards against runs that are repeated although they are in the store,
// and against list, compare and report commands that do not find the stored results.
func TestExperimentRunIsStoredComparedAndReported(t *testing.T) {
	file, directory := smallExperiment(t), t.TempDir()
	store, results := filepath.Join(directory, "r.db"), filepath.Join(directory, "r.jsonl")
	got := expect(t, statusSuccess, "experiment", "run", file, "--store", store, "--results", results, "--label", "v1")
	wantText(t, got.stdout, "springfield", "even-split", "v1")
	records, err := readResults(results)
	if err != nil || len(records) != 4 {
		t.Fatalf("got %d records, error %v, want 4 records", len(records), err)
	}
	expect(t, statusSuccess, "experiment", "run", file, "--store", store, "--results", results, "--label", "v1")
	again, err := readResults(results)
	if err != nil || len(again) != 4 || again[0].Elapsed != records[0].Elapsed {
		t.Errorf("stored runs were repeated or lost: got %d records, error %v, want the same 4 records", len(again), err)
	}

	got = expect(t, statusSuccess, "experiment", "list", "small", "--store", store)
	wantText(t, got.stdout, "experiment", "v1")
	got = expect(t, statusSuccess, "experiment", "compare", "small", "--store", store,
		"--before", "even-split", "--after", "springfield@v1")
	wantText(t, got.stdout, "springfield of version v1, compared with even-split of version v1", "pairs 2")
	got = expect(t, statusBadInput, "experiment", "compare", "small", "--store", store,
		"--before", "springfield@v2", "--after", "springfield")
	wantText(t, got.stderr, "no records", "v2")
	got = expect(t, statusBadInput, "experiment", "list", "large", "--store", store)
	wantText(t, got.stderr, `"large"`, "small")

	page, plots := filepath.Join(directory, "page.html"), filepath.Join(directory, "plots")
	expect(t, statusSuccess, "report", "--store", store, "--seed", "2", "-o", page, "--plots", plots)
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	wantText(t, string(text), "even-split", "springfield", "<svg")
	files, err := os.ReadDir(plots)
	if err != nil || len(files) != 12 { // 6 plots for each of 2 results
		t.Errorf("got %d plots, error %v, want 12 plots", len(files), err)
	}
	wantText(t, expect(t, statusBadInput, "report", results, "--seed", "9").stderr, "no result is selected")
}

// TestResultNamesDistinguishResults guards against results that have equal names on a page, and against names with
// properties that are the same for all results.
func TestResultNamesDistinguishResults(t *testing.T) {
	file, directory := smallExperiment(t), t.TempDir()
	results := filepath.Join(directory, "r.jsonl")
	expect(t, statusSuccess, "experiment", "run", file, "--store", filepath.Join(directory, "r.db"), "--results", results)
	records, err := readResults(results)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, named := range namedResults(records) {
		names = append(names, named.Name)
	}
	const want = "springfield, seed 1|even-split, seed 1|springfield, seed 2|even-split, seed 2"
	if got := strings.Join(names, "|"); got != want {
		t.Errorf("names are %s, want %s", got, want)
	}
	if named := namedResults(records[:1]); named[0].Name != "springfield" {
		t.Errorf("a single result is named %q, want \"springfield\"", named[0].Name)
	}
}
