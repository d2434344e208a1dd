package soak

import (
	"strings"
	"testing"
	"time"
)

// Findings of a run during which this process did not get a processor for too long must not count, and must not be
// passed over in silence either.
func TestFindingsOfStalledRunsAreVoid(t *testing.T) {
	d := &stallDetector{}
	for _, gap := range []time.Duration{stallCheckInterval, maxStall + stallCheckInterval, stallCheckInterval} {
		d.record(gap)
	}
	result := Result{Plan: Plan{Seed: 7}, Findings: []Finding{{What: "crash", Count: 1}}, Stall: d.longest}
	if result.Void() {
		t.Errorf("a stall of %v makes findings void, want only longer ones", d.longest)
	}
	d.record(maxStall + stallCheckInterval + 1)
	result.Stall = d.longest
	if !result.Void() {
		t.Errorf("a stall of %v does not make findings void", d.longest)
	}
	report := NewReport()
	report.Add(result)
	var text strings.Builder
	if err := report.Write(&text); err != nil {
		t.Fatal(err)
	}
	if report.Clean() || report.Void() != 1 || !strings.Contains(text.String(), "too busy: seeds [7]") ||
		strings.Contains(text.String(), "found:") {
		t.Errorf("clean %v, %d void:\n%s", report.Clean(), report.Void(), text.String())
	}
	result.Findings = nil
	if result.Void() {
		t.Error("a run without findings is void")
	}
}

// A detector must measure while a run lasts, and must end.
func TestStallDetectorMeasuresUntilItsEnd(t *testing.T) {
	d := startStallDetector()
	if first := d.end(); first < 0 || d.end() != first {
		t.Errorf("the longest stall is %v, and later %v", first, d.longest)
	}
}
