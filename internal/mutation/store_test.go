package mutation

import (
	"os"
	"path/filepath"
	"testing"
)

// TestStoreResumesAfterATruncatedLine guards against a store that a cut-off Add makes unusable, or in which a result
// that is added after such a line is lost.
func TestStoreResumesAfterATruncatedLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "results.jsonl")
	store, _, err := OpenStore(path)
	if err != nil {
		t.Fatal(err)
	}
	first := Result{Key: "1", Mutant: "first", Finding: &Finding{What: "crash", Count: 1}}
	if err := store.Add(first); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	const truncated = `{"key":"2","mutant":"sec`
	if err := os.WriteFile(path, append(whole, truncated...), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, wantDiscarded := range []int{len(truncated), 0} {
		store, discarded, err := OpenStore(path)
		if err != nil || discarded != wantDiscarded {
			t.Fatalf("OpenStore: discarded %d bytes, error %v, want %d", discarded, err, wantDiscarded)
		}
		if got, ok := store.Result("1"); !ok || got.Mutant != "first" || *got.Finding != *first.Finding {
			t.Errorf("the stored result is %+v, %v", got, ok)
		}
		if _, ok := store.Result("2"); ok != (wantDiscarded == 0) {
			t.Errorf("the second result is stored: %v", ok)
		}
		if err := store.Add(Result{Key: "2", Mutant: "second"}); err != nil {
			t.Fatal(err)
		}
		if err := store.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestStoreRejectsLinesThatAreNoResults guards against a corrupted store that is taken for an empty one.
func TestStoreRejectsLinesThatAreNoResults(t *testing.T) {
	directory := t.TempDir()
	writeFile(t, directory, "results.jsonl", "{\"key\":\"1\"}\nnonsense\n")
	_, _, err := OpenStore(filepath.Join(directory, "results.jsonl"))
	wantError(t, err, "results.jsonl:2: not a result")
}

// TestKeyCoversMutantSeedsAndSources guards against stored results that are used although something that they depend on
// has changed.
func TestKeyCoversMutantSeedsAndSources(t *testing.T) {
	root := sourceTree(t)
	mutant := Mutant{Name: "m", World: Sockets}
	seeds := Seeds{First: 1, Last: 2}
	key := func() string {
		t.Helper()
		text, err := Key(root, &mutant, seeds)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	previous := key()
	writeFile(t, root, "internal/notes.md", "not a source")
	if key() != previous {
		t.Error("the key depends on a file that is no source")
	}
	for name, change := range map[string]func(){
		"mutant":    func() { mutant.Replacement = "true" },
		"seeds":     func() { seeds.Last = 3 },
		"go.mod":    func() { writeFile(t, root, "go.mod", "module other\n") },
		"source":    func() { writeFile(t, root, "policy/check.go", "package policy\n") },
		"new file":  func() { writeFile(t, root, "internal/deep/new.go", "package deep\n") },
		"file name": func() { renameFile(t, root, "cmd/a.go", "cmd/b.go") },
	} {
		change()
		if got := key(); got == previous {
			t.Errorf("the key does not depend on the %s", name)
		} else {
			previous = got
		}
	}
}

// sourceTree creates a source tree and returns its root.
func sourceTree(t *testing.T) string {
	t.Helper()
	root := t.TempDir()
	writeFile(t, root, "go.mod", "module springfield\n\ngo 1.26.0\n")
	writeFile(t, root, "policy/check.go", applySource)
	writeFile(t, root, "internal/a.go", "package internal\n")
	writeFile(t, root, "cmd/a.go", "package cmd\n")
	return root
}

func renameFile(t *testing.T, root, from, to string) {
	t.Helper()
	if err := os.Rename(filepath.Join(root, from), filepath.Join(root, to)); err != nil {
		t.Fatal(err)
	}
}
