package mutation

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
)

var errBroken = errors.New("broken")

// fakeSoak is a soak without processes: the program of a mutant named "found" has a finding from seed 3 on.
type fakeSoak struct {
	soaked []string // names of the soaked mutants
	seeds  []uint64 // seeds that were run
}

// build writes the name of the mutant to a file in place of a program.
func (f *fakeSoak) build(_ context.Context, _ string, mutant *Mutant, directory string) (string, error) {
	if mutant.Name == "broken" {
		return "", &BuildError{Mutant: mutant.Name, Err: errBroken}
	}
	path := filepath.Join(directory, "program")
	return path, os.WriteFile(path, []byte(mutant.Name), 0o600)
}

func (f *fakeSoak) run(ctx context.Context, program Program, seeds Seeds, done func(Run)) (int, error) {
	name, err := os.ReadFile(program.Path)
	if err != nil {
		return 0, err
	}
	f.soaked = append(f.soaked, string(name))
	started := 0
	for seed := seeds.First; seed <= seeds.Last; seed++ {
		if ctx.Err() != nil {
			return started, ctx.Err()
		}
		started++
		f.seeds = append(f.seeds, seed)
		run := Run{Seed: seed}
		if string(name) != "missed" && seed >= 3 {
			run.Findings = []Finding{{What: "crash", Count: int(seed)}, {What: "late end", Count: 1}}
		}
		done(run)
	}
	return started, nil
}

// newRunner returns a runner of a fake soak with seeds 1 to 5, whose store is in path.
func newRunner(t *testing.T, root, path string, soak *fakeSoak) *Runner {
	t.Helper()
	store, _, err := OpenStore(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	return &Runner{Root: root, Store: store, Parallel: 1, Build: soak.build, Seeds: map[World]Seeds{Sockets: {1, 5}},
		Soaks: map[World]SoakFunc{Sockets: soak.run}, OnStart: func(*Mutant) {}, OnResult: func(*Result, bool) {}}
}

// TestRunnerStopsAtTheFirstFindingAndResumes guards against soaks that go on after a finding, a control that stops at
// one, a mutant that does not compile and ends the others, and finished mutants that are soaked again.
func TestRunnerStopsAtTheFirstFindingAndResumes(t *testing.T) {
	root, path, soak := sourceTree(t), filepath.Join(t.TempDir(), "results.jsonl"), &fakeSoak{}
	mutants := []Mutant{Unchanged(Sockets), {Name: "broken", World: Sockets}, {Name: "found", World: Sockets},
		{Name: "missed", World: Sockets}}
	for range 2 { // the second time, all results are stored
		results, err := newRunner(t, root, path, soak).Run(t.Context(), mutants)
		if !errors.Is(err, errBroken) {
			t.Errorf("got error %v, want that of the mutant that does not compile", err)
		}
		if len(results) != 3 {
			t.Fatalf("got %d results, want 3", len(results))
		}
		control, found, missed := results[0], results[1], results[2]
		if control.RunsWithFinding != 3 || control.Runs != 5 || control.FindingSeed != 3 {
			t.Errorf("control: %+v", control)
		}
		if found.Finding == nil || *found.Finding != (Finding{What: "crash", Count: 3}) || found.RunsUntilFinding != 3 ||
			found.Runs != 3 || found.RunsStarted != 3 {
			t.Errorf("mutant that is found: %+v", found)
		}
		if missed.Finding != nil || missed.Runs != 5 || missed.RunsUntilFinding != 0 {
			t.Errorf("mutant that is missed: %+v", missed)
		}
	}
	if want := []string{UnchangedName, "found", "missed"}; !slices.Equal(soak.soaked, want) {
		t.Errorf("soaked %v, want %v", soak.soaked, want)
	}
	if want := []uint64{1, 2, 3, 4, 5, 1, 2, 3, 1, 2, 3, 4, 5}; !slices.Equal(soak.seeds, want) {
		t.Errorf("ran seeds %v, want %v", soak.seeds, want)
	}
}

// TestInterruptedSoakIsNotStored guards against a soak that was cut off and is stored as one without findings.
func TestInterruptedSoakIsNotStored(t *testing.T) {
	root, path, soak := sourceTree(t), filepath.Join(t.TempDir(), "results.jsonl"), &fakeSoak{}
	runner := newRunner(t, root, path, soak)
	ctx, cancel := context.WithCancel(t.Context())
	runner.Soaks[Sockets] = func(ctx context.Context, program Program, seeds Seeds, done func(Run)) (int, error) {
		return soak.run(ctx, program, seeds, func(run Run) {
			cancel()
			done(run)
		})
	}
	mutants := []Mutant{{Name: "missed", World: Sockets}, {Name: "found", World: Sockets}}
	results, err := runner.Run(ctx, mutants)
	if !errors.Is(err, context.Canceled) || len(results) != 0 || len(soak.soaked) != 1 {
		t.Errorf("got error %v, %d results and soaks of %v", err, len(results), soak.soaked)
	}
	if text, err := os.ReadFile(path); err != nil || len(text) != 0 {
		t.Errorf("the store holds %q, error %v", text, err)
	}
}

// TestSoakWithTooFewRunsIsAnError guards against a soak that ends early without an error and counts as clean.
func TestSoakWithTooFewRunsIsAnError(t *testing.T) {
	runner := newRunner(t, sourceTree(t), filepath.Join(t.TempDir(), "results.jsonl"), &fakeSoak{})
	runner.Soaks[Sockets] = func(_ context.Context, _ Program, _ Seeds, done func(Run)) (int, error) {
		done(Run{Seed: 1})
		return 1, nil
	}
	_, err := runner.Run(t.Context(), []Mutant{{Name: "missed", World: Sockets}})
	wantError(t, err, "soak of mutant missed: 1 runs finished, want 5")
}

// TestBuildUsesTheOverlay guards against a program without the mutation, and against a change of the source tree.
func TestBuildUsesTheOverlay(t *testing.T) {
	root := t.TempDir()
	const source = "package main\n\nfunc main() { print(\"original\") }\n"
	writeFile(t, root, "go.mod", "module springfield\n\ngo 1.26.0\n")
	writeFile(t, root, "cmd/gateway/main.go", source)
	mutant := Mutant{Name: "m", World: Sockets, File: "cmd/gateway/main.go", Declaration: "main",
		Original: `"original"`, Replacement: `"mutated"`}
	control := Unchanged(Sockets)
	for want, entry := range map[string]*Mutant{"mutated": &mutant, "original": &control} {
		program, err := Build(t.Context(), root, entry, t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		if output, err := exec.Command(program).CombinedOutput(); err != nil || string(output) != want {
			t.Errorf("the program of %s prints %q, error %v, want %q", entry.Name, output, err, want)
		}
	}
	mutant.Replacement = "undefined"
	_, err := Build(t.Context(), root, &mutant, t.TempDir())
	wantError(t, err, "mutant m does not compile", "undefined: undefined")
	if text, err := os.ReadFile(filepath.Join(root, "cmd/gateway/main.go")); err != nil || string(text) != source {
		t.Errorf("the source file has changed: %q, error %v", text, err)
	}
}
