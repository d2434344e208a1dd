package main

import (
	"slices"
	"strings"
	"testing"

	"springfield/internal/mutation"
)

// TestMutantTableCountsFoundMutants guards against a count that includes the control entries, and against mutants that
// are left out without a note.
func TestMutantTableCountsFoundMutants(t *testing.T) {
	finding := &mutation.Finding{What: "crash", Count: 1, Detail: "d"}
	result := func(name string, world mutation.World, last uint64, finding *mutation.Finding) mutation.Result {
		return mutation.Result{Mutant: name, Guard: "sending", Change: "removed", World: world, Finding: finding,
			Seeds: mutation.Seeds{First: 1, Last: last}, Runs: 3, RunsUntilFinding: 2, ElapsedSeconds: 1.25}
	}
	sockets := []mutation.Result{result(mutation.UnchangedName, mutation.Sockets, 20, finding),
		result("a", mutation.Sockets, 20, finding), result("b", mutation.Sockets, 20, nil)}
	both := slices.Concat(sockets, []mutation.Result{result("c", mutation.Virtual, 2000, finding)})
	for _, test := range []struct {
		table mutantTable
		want  []string
	}{
		{mutantTable{results: sockets, entries: make([]mutation.Mutant, 3)},
			[]string{"a          sending  removed  sockets  2", "\n1 of 2 mutants found within 20 seeds\n"}},
		{mutantTable{results: both, entries: make([]mutation.Mutant, 6), markdown: true},
			[]string{"| mutant | guard | change | world | seeds until found | finding | time |\n| --- | --- |",
				"| a | sending | removed | sockets | 2 | crash | 1.3s |\n",
				"| b | sending | removed | sockets | - | none in 3 runs | 1.3s |\n",
				"2 of 3 mutants found (sockets: 1 of 2 within 20 seeds, virtual: 1 of 1 within 2000 seeds); 2 not soaked\n"}},
	} {
		var text strings.Builder
		if err := test.table.write(&text); err != nil {
			t.Fatal(err)
		}
		wantText(t, text.String(), test.want...)
	}
	if err := falseFindingsError(both); err == nil || !strings.Contains(err.Error(), "unchanged program (sockets)") {
		t.Errorf("a finding in the unchanged program: got error %v", err)
	}
	if err := falseFindingsError(both[1:]); err != nil {
		t.Errorf("only mutants have findings: got error %v", err)
	}
}
