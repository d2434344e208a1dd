package main

import (
	"bytes"
	"context"
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/virtual"
	"springfield/internal/soak"
	"springfield/policy"
)

// TestVirtualSoakPrintsJSONRecords guards against records that leave out a field or a run.
func TestVirtualSoakPrintsJSONRecords(t *testing.T) {
	got := execute("soak", "--world", "virtual", "--seeds", "3-6", "--parallel", "2", "--json")
	records := decodeSoakRecords(t, got.stdout)
	if len(records) != 4 {
		t.Fatalf("%d records, want 4:\n%s%s", len(records), got.stdout, got.stderr)
	}
	for i, record := range records {
		if record["seed"] != float64(i+3) || record["requests"].(float64) <= 0 || record["attempts"].(float64) <= 0 ||
			record["elapsed_seconds"].(float64) <= 0 || record["findings"] == nil {
			t.Errorf("record %d is %v", i, record)
		}
	}
}

// decodeSoakRecords decodes the lines of the output of a soak.
func decodeSoakRecords(t *testing.T, text string) []map[string]any {
	t.Helper()
	var records []map[string]any
	for line := range strings.Lines(text) {
		var record map[string]any
		if err := json.Unmarshal([]byte(line), &record); err != nil {
			t.Fatalf("%v in %q", err, line)
		}
		records = append(records, record)
	}
	return records
}

// rejectingDecider is the policy, except that it rejects all requests.
type rejectingDecider struct {
	emulator.Decider
	actions policy.Actions
}

// Submit implements emulator.Decider.
func (d rejectingDecider) Submit(_ time.Duration, request policy.Request) {
	d.actions.Reject(request.ID, 0)
}

func newRejectingDecider(config policy.Config, actions policy.Actions,
	groundTruth emulator.GroundTruth) emulator.Decider {
	return rejectingDecider{virtual.PolicyDecider(config, actions, groundTruth), actions}
}

// TestVirtualSoakStopsAtTheFirstFinding guards against a soak that goes on after a finding, reports a finding as a
// success, or prints a command that does not repeat it.
func TestVirtualSoakStopsAtTheFirstFinding(t *testing.T) {
	for _, asJSON := range []bool{false, true} {
		command := soakCommand{Seeds: seedRange{first: 1, last: 500}, World: worldVirtual, Parallel: 2, UntilFinding: true,
			JSON: asJSON}
		var output bytes.Buffer
		err := command.runVirtual(t.Context(), &output, newRejectingDecider)
		if err == nil || !strings.HasPrefix(err.Error(), "findings in 1 run of ") {
			t.Fatalf("the error is %v, want findings in one run", err)
		}
		if !asJSON {
			wantText(t, output.String(), "decision starvation", "repeat with: springfield soak --world virtual --seeds ")
			continue
		}
		records := decodeSoakRecords(t, output.String())
		for i, record := range records {
			if found := len(record["findings"].([]any)) > 0; found != (i == len(records)-1) {
				t.Errorf("record %d of %d: findings %v", i+1, len(records), record["findings"])
			}
		}
	}
}

// TestSocketsSoakRepeatsWithItsGateway guards against a command that would repeat a finding with another gateway
// program than the one that caused it.
func TestSocketsSoakRepeatsWithItsGateway(t *testing.T) {
	command := soakCommand{Gateway: "/tmp/it's a gateway"}
	result := soak.Result{Plan: soak.Plan{Seed: 7}, Findings: []soak.Finding{{What: "crash", Count: 1}}}
	var output bytes.Buffer
	if err := command.writeSocketsResult(&output, &result); err != nil {
		t.Fatal(err)
	}
	wantText(t, output.String(), `springfield soak --seeds 7 --gateway '/tmp/it'\''s a gateway' --keep DIR`)
}

// TestSocketsSoakStopsAtTheFirstFinding guards against a soak over sockets that goes on after a finding or prints
// anything but records.
func TestSocketsSoakStopsAtTheFirstFinding(t *testing.T) {
	command := soakCommand{Seeds: seedRange{first: 1, last: 1000}, Parallel: 1, UntilFinding: true, JSON: true}
	run := func(_ context.Context, plan soak.Plan) (soak.Result, error) {
		result := soak.Result{Plan: plan}
		if plan.Seed == 20 {
			result.Findings = []soak.Finding{{What: "crash", Count: 1}}
		}
		return result, nil
	}
	var output bytes.Buffer
	report, resultsWithFindings, err := command.runPlans(t.Context(), &output, nil, run)
	records := decodeSoakRecords(t, output.String())
	if err != nil || len(resultsWithFindings) != 1 || report.Runs != 20 || len(records) != 20 {
		t.Errorf("%d runs, %d records, %d with findings, error %v", report.Runs, len(records), len(resultsWithFindings), err)
	}
}

// TestSoakRejectsInvalidInput guards against flags of the other world that are ignored.
func TestSoakRejectsInvalidInput(t *testing.T) {
	gateway := filepath.Join(t.TempDir(), "missing")
	for _, arguments := range [][]string{
		{"--world", "virtual", "--gateway", gateway}, {"--world", "virtual", "--shrink"}, {"--world", "other"},
		{"--world", "virtual", "--coverage"}, {"--world", "virtual", "--max-gateways", "5"},
		{"--gateway", gateway}, {"--parallel", "0"}, {"--json", "--shrink"},
	} {
		expect(t, statusBadInput, append([]string{"soak", "--seeds", "1"}, arguments...)...)
	}
}
