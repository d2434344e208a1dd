package branchcoverage

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const sampleSource = `package sample

type box struct{}

func (b *box) open(x int) int {
	if x > 0 {
		x++
	}
	return x
}

func other() {}
`

// The ranges of the blocks of sampleSource in sample.go.
var (
	openingBlock   = Range{File: "sample.go", Start: Position{5, 31}, End: Position{6, 11}}
	bodyBlock      = Range{File: "sample.go", Start: Position{6, 11}, End: Position{8, 3}}
	returningBlock = Range{File: "sample.go", Start: Position{9, 2}, End: Position{9, 10}}
)

func newSampleCounts(t *testing.T, text string) *Counts {
	t.Helper()
	root := t.TempDir()
	if err := os.WriteFile(filepath.Join(root, "sample.go"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return NewCounts(NewSource(root))
}

func addRun(t *testing.T, counts *Counts, run string, profile Profile) []*Branch {
	t.Helper()
	taken, err := counts.Add(run, profile)
	if err != nil {
		t.Fatal(err)
	}
	return taken
}

// Guards against declarations in guards.toml that the sources no longer hold.
func TestGuardsNameDeclarationsOfTheSources(t *testing.T) {
	guards, err := Guards()
	if err != nil {
		t.Fatal(err)
	}
	names := []string{"sending", "repeating", "closing", "starting", "draining", "eviction", "slow-start", "deadlines",
		"retry-budget", "ejection", "watch", "reload"}
	if len(guards) != len(names) {
		t.Errorf("%d guards, want %d", len(guards), len(names))
	}
	for _, guard := range guards {
		if !slices.Contains(names, guard.Name) || guard.Summary == "" || len(guard.Declarations) == 0 {
			t.Errorf("unknown or incomplete guard %+v", guard)
		}
	}
	source := NewSource("../..")
	if err := source.CheckGuards(guards); err != nil {
		t.Error(err)
	}
	for _, missing := range []Declaration{{"policy/retry.go", "Engine.missing"}, {"policy/missing.go", "New"}} {
		if source.CheckGuards([]Guard{{Declarations: []Declaration{missing}}}) == nil {
			t.Errorf("no error for the missing declaration %s", missing)
		}
	}
}

// Guards against guards with misspelt keys, and declarations that are counted twice.
func TestInvalidGuardsAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"unknown key":           "[[guard]]\nnam = 'a'",
		"declaration of guards": "[[guard]]\nname = 'a'\nfiles = {f = ['x']}\n[[guard]]\nname = 'b'\nfiles = {f = ['x']}",
	} {
		if _, err := parseGuards([]byte(text)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Guards against counts that are lost or assigned to the wrong block when a profile is read.
func TestProfileAddsUpBlocksOfTheModule(t *testing.T) {
	text := "mode: atomic\nm/a.go:1.2,3.4 2 5\nm/a.go:1.2,3.4 2 6\nother/a.go:1.2,3.4 2 7\nm/b.go:1.1,1.1 0 8\n"
	profile, err := ParseProfile(strings.NewReader(text), "m")
	if err != nil {
		t.Fatal(err)
	}
	want := Profile{{File: "a.go", Start: Position{1, 2}, End: Position{3, 4}}: 11}
	if !reflect.DeepEqual(profile, want) {
		t.Errorf("the profile is %v, want %v", profile, want)
	}
	for _, invalid := range []string{"m/a.go:1.2,3 2 5", "m/a.go:1.2,3.4 2 -1", "m/a.go:1.2,3.4 2 99999999999999999999"} {
		if _, err := ParseProfile(strings.NewReader(invalid), "m"); err == nil {
			t.Errorf("no error for %q", invalid)
		}
	}
}

// Guards against blocks that are assigned to the wrong declaration, and if statements whose body is never skipped or
// never entered without anybody noticing.
func TestBlocksAndSkippedBodiesAreCounted(t *testing.T) {
	counts := newSampleCounts(t, sampleSource)
	taken := addRun(t, counts, "10", Profile{openingBlock: 5, bodyBlock: 2, returningBlock: 5})
	if len(taken) != 4 {
		t.Errorf("the run took %d branches, want 4", len(taken))
	}
	addRun(t, counts, "2", Profile{openingBlock: 1, bodyBlock: 1, returningBlock: 1})
	var described []Branch
	for _, branch := range counts.Branches() {
		described = append(described, Branch{Declaration: branch.Declaration, Text: branch.Text, Count: branch.Count,
			Seeds: branch.Seeds})
	}
	want := []Branch{
		{Declaration: "box.open", Text: "entered: func (b *box) open(x int) int {", Count: 6, Seeds: []string{"2", "10"}},
		{Declaration: "box.open", Text: "entered: if x > 0 {", Count: 3, Seeds: []string{"2", "10"}},
		{Declaration: "box.open", Text: "skipped: if x > 0 {", Count: 3, Seeds: []string{"10"}},
		{Declaration: "box.open", Text: "return x", Count: 6, Seeds: []string{"2", "10"}},
	}
	if !reflect.DeepEqual(described, want) {
		t.Errorf("the branches are %+v, want %+v", described, want)
	}
	for line, wanted := range map[int]uint64{5: 6, 7: 3, 9: 6} {
		if count, known := counts.LineCount("sample.go", line); !known || count != wanted {
			t.Errorf("line %d: %d, %t; want %d", line, count, known, wanted)
		}
	}
	if _, known := counts.LineCount("sample.go", 12); known {
		t.Error("line 12 is in no block but has a count")
	}
}

// Guards against blocks of other sources, whose counts would be assigned to the wrong code.
func TestBlocksOfOtherSourcesAreErrors(t *testing.T) {
	counts := newSampleCounts(t, sampleSource)
	for _, block := range []Range{
		{File: "sample.go", Start: Position{11, 1}, End: Position{11, 2}},
		{File: "missing.go", Start: Position{1, 1}, End: Position{1, 2}},
	} {
		if _, err := counts.Add("1", Profile{block: 1}); err == nil {
			t.Errorf("no error for %v", block)
		}
	}
}

// Guards against counts that are lost between soaks, or merged with those of other sources.
func TestWrittenCountsAreMerged(t *testing.T) {
	written := newSampleCounts(t, sampleSource)
	addRun(t, written, "1", Profile{openingBlock: 2, bodyBlock: 1, returningBlock: 2})
	var text bytes.Buffer
	if err := written.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	merged := newSampleCounts(t, sampleSource)
	for range 2 { // the second time, the branches are known
		if err := merged.ReadJSON(bytes.NewReader(text.Bytes())); err != nil {
			t.Fatal(err)
		}
	}
	addRun(t, merged, "2", Profile{openingBlock: 1, bodyBlock: 1, returningBlock: 1})
	branches := merged.Branches()
	if len(branches) != 4 || branches[0].Count != 5 || !slices.Equal(branches[0].Seeds, []string{"1", "2"}) ||
		branches[2].Count != 2 || !slices.Equal(branches[2].Seeds, []string{"1"}) {
		t.Errorf("the merged branches are %+v", branches)
	}
	changed := newSampleCounts(t, strings.Replace(sampleSource, "return x", "return 1", 1))
	if err := changed.ReadJSON(bytes.NewReader(text.Bytes())); err != nil {
		t.Fatal(err)
	}
	if _, err := changed.Add("2", Profile{returningBlock: 1}); err == nil {
		t.Error("no error for counts of changed sources")
	}
	if err := merged.ReadJSON(strings.NewReader(`{"unknown":1}`)); err == nil {
		t.Error("no error for an unknown key")
	}
}

// Guards against reports that hide a branch that was never taken, or a guard without any branch.
func TestReportListsBranchesThatWereNotTaken(t *testing.T) {
	counts := newSampleCounts(t, sampleSource)
	addRun(t, counts, "1", Profile{openingBlock: 3, bodyBlock: 0, returningBlock: 3})
	guard := Guard{Name: "opening", Summary: "It opens.", Declarations: []Declaration{{"sample.go", "box.open"}}}
	var text bytes.Buffer
	if err := counts.WriteReport(&text, []Guard{guard}); err != nil {
		t.Fatal(err)
	}
	_, list, found := strings.Cut(text.String(), "branches that no seed has taken:\n")
	if !found || strings.Join(strings.Fields(list), " ") != "opening sample.go:6 box.open entered: if x > 0 {" {
		t.Errorf("the report is\n%s", text.String())
	}
	if !strings.Contains(text.String(), "guard opening: 3 of 4 branches were taken") ||
		!strings.Contains(text.String(), "opening  3  1  sample.go:9  box.open  return x\n") {
		t.Errorf("the report is\n%s", text.String())
	}
	guard.Declarations = append(guard.Declarations, Declaration{"sample.go", "other"})
	if err := counts.WriteReport(&text, []Guard{guard}); err == nil {
		t.Error("no error for a declaration without branches")
	}
}
