package soak

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// openGuide opens a guide that runs the seeds from 1 to last.
func openGuide(t *testing.T, path string, last uint64, variations int) *Guide {
	t.Helper()
	guide, err := OpenGuide(path, 1, last, variations)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = guide.Close() }) // each record has been synced
	return guide
}

// runGuided runs the plans of a guide until there is none left, and returns their names. branches returns the branches
// that the run of a plan takes.
func runGuided(t *testing.T, guide *Guide, branches func(name string) []string) []string {
	t.Helper()
	var names []string
	for {
		plan, ok := guide.Next(t.Context())
		if !ok {
			return names
		}
		names = append(names, plan.Name())
		if err := guide.Record(plan, branches(plan.Name())); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against plans that are varied although all of their branches are common, and rare ones that are not.
func TestGuideVariesPlansWithRareBranches(t *testing.T) {
	guide := openGuide(t, filepath.Join(t.TempDir(), "corpus"), 6, 4)
	names := runGuided(t, guide, func(name string) []string {
		if name == "5" {
			return []string{"common", "rare"}
		}
		return []string{"common"}
	})
	// The first three plans are kept too, because the common branch was still rare, but then it is not rare any more.
	want := []string{"1", "2", "3", "4", "5", "6", "5.1", "5.2", "5.3", "5.4"}
	if !slices.Equal(names, want) {
		t.Errorf("the plans are %v, want %v", names, want)
	}
}

// Guards against runs that are repeated or forgotten when a soak continues, also after an interrupted write.
func TestGuideContinuesCorpus(t *testing.T) {
	path := filepath.Join(t.TempDir(), "corpus")
	branches := func(name string) []string { return []string{"branch of " + name} }
	first := runGuided(t, openGuide(t, path, 2, 2), branches)
	if want := []string{"1", "2", "1.1", "2.1"}; !slices.Equal(first, want) {
		t.Errorf("the plans are %v, want %v", first, want)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(text, `{"plan":"3`...), 0o600); err != nil {
		t.Fatal(err)
	}
	second := runGuided(t, openGuide(t, path, 3, 4), branches)
	if want := []string{"3", "1.1.1", "2.1.1"}; !slices.Equal(second, want) {
		t.Errorf("the plans are %v, want %v", second, want)
	}
	if err := os.WriteFile(path, []byte("{\"unknown\":1}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenGuide(path, 1, 1, 1); err == nil {
		t.Error("no error for an unknown key")
	}
}

// Guards against guided soaks that end because the first runs have not ended when a further plan is needed.
func TestGuideWaitsForRunsToVary(t *testing.T) {
	guide := openGuide(t, filepath.Join(t.TempDir(), "corpus"), 1, 1)
	plan, _ := guide.Next(t.Context())
	if _, ok, wait := guide.next(); ok || !wait {
		t.Errorf("next returned %t, %t; want a wait for the first run", ok, wait)
	}
	recorded := make(chan error, 1)
	go func() { recorded <- guide.Record(plan, []string{"branch"}) }()
	if varied, ok := guide.Next(t.Context()); !ok || varied.Name() != "1.1" {
		t.Errorf("the next plan is %s, %t; want 1.1", varied.Name(), ok)
	}
	if err := <-recorded; err != nil {
		t.Error(err)
	}
}
