package experiment

import (
	"errors"
	"os"
	"testing"

	"springfield/internal/emulator/invariant"
	"springfield/internal/emulator/loopback"
)

// Guards against results of runs in which gateway processes failed, and against the loss of runs that broke a rule.
func TestProcessFailuresInvalidateLoopbackRun(t *testing.T) {
	kept := invariant.Report{}
	broken := invariant.Report{Violations: []invariant.RuleReport{{Rule: invariant.RuleFinalAnswer, Count: 1}}}
	for _, c := range []struct {
		name    string
		summary loopback.Summary
		report  invariant.Report
		err     error
		valid   bool
	}{
		{"no failure", loopback.Summary{}, kept, nil, true},
		{"a broken rule", loopback.Summary{}, broken, nil, true},
		{"unanswered requests and a broken rule", loopback.Summary{}, broken, loopback.ErrUnanswered, true},
		{"unanswered requests without a broken rule", loopback.Summary{}, kept, loopback.ErrUnanswered, false},
		{"a crash", loopback.Summary{GatewayCrashes: 1}, kept, nil, false},
		{"a gateway that was not ready", loopback.Summary{ReadinessTimeouts: 1}, kept, nil, false},
		{"an unknown request", loopback.Summary{UnknownRequests: 1}, kept, nil, false},
		{"gateways that never became ready", loopback.Summary{}, kept, loopback.ErrNotReady, false},
	} {
		if err := loopbackRunError(&c.summary, c.report, c.err); (err == nil) != c.valid {
			t.Errorf("%s: the error is %v", c.name, err)
		}
	}
}

// Guards against a loopback run that starts without a gateway program.
func TestLoopbackRunRequiresGatewayProgram(t *testing.T) {
	run := shortExperiment(1).Runs()[0]
	run.Form = FormLoopback
	if _, _, err := NewRunFunc(LoopbackOptions{})(t.Context(), run); !errors.Is(err, ErrNoGateway) {
		t.Errorf("the error is %v, want ErrNoGateway", err)
	}
}

// Guards against temporary directories that are left behind, and against the removal of directories in a given parent.
func TestRunDirectoryIsRemovedOnlyIfTemporary(t *testing.T) {
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
		t.Errorf("the directory in the given parent has been removed: %v", err)
	}
}
