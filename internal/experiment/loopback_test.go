package experiment

import (
	"errors"
	"os"
	"testing"

	"springfield/internal/emulator/invariant"
	"springfield/internal/emulator/loopback"
)

func TestWhatInvalidatesALoopbackRun(t *testing.T) {
	kept := invariant.Report{}
	broken := invariant.Report{Violations: []invariant.RuleReport{{Rule: invariant.RuleFinalAnswer, Count: 1}}}
	for _, c := range []struct {
		name    string
		summary loopback.Summary
		report  invariant.Report
		err     error
		valid   bool
	}{
		{"all is well", loopback.Summary{}, kept, nil, true},
		{"a broken rule", loopback.Summary{}, broken, nil, true},
		{"lost requests that broke a rule", loopback.Summary{}, broken, loopback.ErrUnanswered, true},
		{"open requests that broke none", loopback.Summary{}, kept, loopback.ErrUnanswered, false},
		{"a crash", loopback.Summary{GatewayCrashes: 1}, kept, nil, false},
		{"a gateway that was not ready", loopback.Summary{ReadinessTimeouts: 1}, kept, nil, false},
		{"an unknown request", loopback.Summary{UnknownRequests: 1}, kept, nil, false},
		{"gateways that never came up", loopback.Summary{}, kept, loopback.ErrNotReady, false},
	} {
		if err := loopbackError(&c.summary, c.report, c.err); (err == nil) != c.valid {
			t.Errorf("%s: the error is %v", c.name, err)
		}
	}
}

func TestLoopbackRunNeedsAGateway(t *testing.T) {
	run := shortExperiment(1).Runs()[0]
	run.Form = FormLoopback
	if _, _, err := NewWorld(LoopbackOptions{})(t.Context(), run); !errors.Is(err, ErrNoGateway) {
		t.Errorf("the error is %v, want ErrNoGateway", err)
	}
}

func TestRunDirectories(t *testing.T) {
	run := shortExperiment(7).Runs()[0]
	temporary, remove, err := runDirectory("", run)
	if err != nil {
		t.Fatal(err)
	}
	remove()
	if _, err := os.Stat(temporary); !os.IsNotExist(err) {
		t.Errorf("the temporary directory is still there: %v", err)
	}
	kept, remove, err := runDirectory(t.TempDir(), run)
	if err != nil {
		t.Fatal(err)
	}
	remove()
	if _, err := os.Stat(kept); err != nil {
		t.Errorf("a directory that was asked for is gone: %v", err)
	}
}
