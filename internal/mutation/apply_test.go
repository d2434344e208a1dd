package mutation

import (
	"errors"
	"strings"
	"testing"
)

const applySource = `package policy

// check reports whether x > 0.
func check(x int) bool { return x > 0 }

func twice(x int) bool { return x > 0 && x > 0 }

type list[T any] struct{ items []T }

func (l *list[T]) empty() bool { return len(l.items) == 0 }

func (l list[T]) full() bool { return len(l.items) == 9 }

const (
	low  = 1
	high = 2
)

var limit = 100

func init() {}

func init() {}
`

// TestApplyReplacesTextInOneDeclaration guards against a mutation outside the declaration that the mutant names.
func TestApplyReplacesTextInOneDeclaration(t *testing.T) {
	root := t.TempDir()
	writeFile(t, root, "policy/check.go", applySource)
	for _, test := range []struct{ declaration, original, replacement, before, after string }{
		{"check", "x > 0", "true", "return x > 0 }\n\nfunc twice", "return true }\n\nfunc twice"},
		{"list.empty", "== 0", "!= 0", "== 0 }\n\nfunc (l list", "!= 0 }\n\nfunc (l list"},
		{"list.full", "9", "8", "== 9", "== 8"},
		{"list", "items", "entries", "{ items", "{ entries"},
		{"high", "= ", "= 1 + ", "high = 2", "high = 1 + 2"},
		{"limit", "100", "1", "var limit = 100", "var limit = 1"},
	} {
		mutant := Mutant{Name: "m", File: "policy/check.go", Declaration: test.declaration, Original: test.original,
			Replacement: test.replacement}
		got, err := mutant.Apply(root)
		if want := strings.Replace(applySource, test.before, test.after, 1); err != nil || string(got) != want {
			t.Errorf("%+v: got error %v and\n%s", mutant, err, got)
		}
	}
}

// TestApplyRejectsMissingAndAmbiguousText guards against mutants that silently change nothing, or the wrong text.
func TestApplyRejectsMissingAndAmbiguousText(t *testing.T) {
	root := t.TempDir()
	writeFile(t, root, "policy/check.go", applySource)
	writeFile(t, root, "policy/broken.go", "package")
	for _, test := range []struct{ file, declaration, original, replacement, reason string }{
		{"policy/missing.go", "check", "x > 0", "", "no such file"},
		{"policy/broken.go", "check", "x > 0", "", "expected 'IDENT'"},
		{"policy/check.go", "absent", "x > 0", "", "found 0 declarations of absent"},
		{"policy/check.go", "empty", "==", "", "found 0 declarations of empty"},
		{"policy/check.go", "init", "{}", "", "found 2 declarations of init"},
		{"policy/check.go", "check", "x > 1", "", "found the original text 0 times"},
		{"policy/check.go", "check", "reports", "", "found the original text 0 times"},
		{"policy/check.go", "twice", "x > 0", "", "found the original text 2 times"},
		{"policy/check.go", "check", "x > 0", "x >", "the result is not valid Go"},
	} {
		mutant := Mutant{Name: "m", File: test.file, Declaration: test.declaration, Original: test.original,
			Replacement: test.replacement}
		_, err := mutant.Apply(root)
		wantError(t, err, "mutant m does not apply to "+test.file, test.reason)
		var applyErr *ApplyError
		if !errors.As(err, &applyErr) {
			t.Errorf("%v is not an ApplyError", err)
		}
	}
	if _, count := findText("aaa", "aa"); count != 2 {
		t.Errorf("overlapping occurrences: got %d, want 2", count)
	}
}
