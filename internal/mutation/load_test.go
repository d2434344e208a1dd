package mutation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const mutantDirectory = "../../experiments/mutants"

const validMutant = `
[[mutant]]
name = "no-check"
guard = "sending"
change = "removed"
world = "sockets"
file = "policy/check.go"
declaration = "check"
original = "x > 0"
replacement = "true"
harm = "The value is not checked."
`

// writeFile writes a file below root and creates its directory.
func writeFile(t *testing.T, root, name, text string) {
	t.Helper()
	path := filepath.Join(root, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// wantError fails the test unless err contains all parts.
func wantError(t *testing.T, err error, parts ...string) {
	t.Helper()
	if err == nil {
		t.Fatalf("no error, want one with %q", parts)
	}
	for _, part := range parts {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("%q is missing in the error: %v", part, err)
		}
	}
}

// TestLoadReportsEveryProblem guards against mutant files whose problems are ignored, or reported without the file, the
// line and the name of the mutant.
func TestLoadReportsEveryProblem(t *testing.T) {
	directory := t.TempDir()
	writeFile(t, directory, "a.toml", validMutant)
	writeFile(t, directory, "b.toml", validMutant+strings.NewReplacer("no-check", "Second", "sending", "doors",
		"removed", "gone", "sockets", "paper", "policy/", "../policy/", `"true"`, `"x > 0"`,
		`"The value is not checked."`, `" "`+"\ncolor = \"red\"").Replace(validMutant))
	writeFile(t, directory, "c.toml", "[[mutant]]\nname = 1\n")
	writeFile(t, directory, "d.toml", "")
	writeFile(t, directory, "e.toml", "[[mutant]]\nname = \"unchanged\"\nfile = \"a_test.go\"\n")
	_, err := LoadDirectory(directory)
	second := filepath.Join(directory, "b.toml") + ":13: mutant Second: "
	wantError(t, err, "b.toml:2: mutant no-check: name: already used in "+filepath.Join(directory, "a.toml"),
		second+"name: ", second+"guard: ", second+"change: ", second+"world: ", second+"file: ", second+"replacement: ",
		second+"harm: ", "b.toml:23: mutant Second: mutant.color: unknown key", "c.toml:2: ", "d.toml: no mutants",
		"e.toml:1: mutant unchanged: name: ", "mutant unchanged: file: ", "mutant unchanged: declaration: missing",
		"mutant unchanged: original: missing")
	_, err = LoadDirectory(t.TempDir())
	wantError(t, err, "no mutant files")
}

// TestMutantsApplyToTheSources guards against mutants that the sources have outgrown.
func TestMutantsApplyToTheSources(t *testing.T) {
	mutants, err := LoadDirectory(mutantDirectory)
	if err != nil {
		t.Fatal(err)
	}
	for i := range mutants {
		if _, err := mutants[i].Apply("../.."); err != nil {
			t.Error(err)
		}
	}
}
