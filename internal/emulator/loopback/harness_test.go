package loopback

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/invariant"
	"springfield/internal/emulator/model"
)

// testTimeout limits how long a test waits. It is far longer than a test takes without a failure.
const testTimeout = 90 * time.Second

// gatewayProgram is the path of the gateway's program that the tests run.
var gatewayProgram string

// TestMain builds the gateway's program and runs the tests.
func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "loopback")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }() // the system cleans up its temporary directory if this fails
	gatewayProgram = filepath.Join(directory, "gateway")
	build := exec.Command("go", "build", "-o", gatewayProgram, "springfield/cmd/gateway")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the gateway: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// observationCounts counts the observations of a run by type, and answers and attempts also by outcome.
type observationCounts struct {
	mu         sync.Mutex
	seen       map[string]int
	last       time.Duration // time of the latest observation
	outOfOrder int           // observations whose time is earlier than that of the previous one
}

// Observe implements emulator.Observer.
func (c *observationCounts) Observe(at time.Duration, observation emulator.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = map[string]int{}
	}
	c.seen[strings.TrimPrefix(fmt.Sprintf("%T", observation), "emulator.")]++
	switch o := observation.(type) {
	case emulator.RequestAnswered:
		c.seen[fmt.Sprintf("answer %d", o.Answer)]++
		if o.Answer == emulator.AnswerServed && !o.Genuine {
			c.seen["not genuine"]++
		}
	case emulator.AttemptEnded:
		c.seen[fmt.Sprintf("status %d", o.Status)]++
	}
	if at < c.last {
		c.outOfOrder++
	}
	c.last = at
}

func (c *observationCounts) count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen[name]
}

// newScenario returns a scenario with a small deployment and a load of the given length.
func newScenario(length time.Duration, faults ...emulator.Fault) emulator.Scenario {
	s := model.DefaultScenario()
	s.Name = "loopback test"
	s.Gateways = 2
	s.Endpoints.Count = 4
	s.Length = emulator.Duration(length)
	s.Faults = faults
	return s
}

// runResult holds the summary of a run and the observers of its observations.
type runResult struct {
	*observationCounts
	checker *invariant.Checker
	summary Summary
}

// newOptions returns the options of a run, and the result that observes it. If the test fails, the logs of the gateways
// are written to the test's output.
func newOptions(t *testing.T, s emulator.Scenario) (Options, *runResult) {
	t.Helper()
	checker := invariant.NewChecker(&s, invariant.WithTransit(invariant.SocketTransit))
	o := &runResult{observationCounts: &observationCounts{}, checker: checker}
	opts := Options{
		Scenario:  s,
		Seed:      1,
		Gateway:   gatewayProgram,
		Directory: t.TempDir(),
		Observer:  emulator.Observers{o.observationCounts, o.checker},
		Logger:    slog.New(slog.NewTextHandler(t.Output(), nil)),
	}
	t.Cleanup(func() {
		if t.Failed() {
			logGatewayLogs(t, opts.Directory)
		}
	})
	return opts, o
}

func logGatewayLogs(t *testing.T, directory string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(directory, "*.log"))
	if err != nil {
		t.Error(err)
	}
	for _, name := range logs {
		text, err := os.ReadFile(name)
		t.Logf("%s: %s %v", filepath.Base(name), text, err)
	}
}

// runScenario runs a scenario to its end.
func runScenario(t *testing.T, s emulator.Scenario) *runResult {
	t.Helper()
	opts, result := newOptions(t, s)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	summary, err := Run(ctx, opts)
	if err != nil {
		t.Fatalf("the run failed: %v (%+v, %v)", err, summary, result.seen)
	}
	result.summary = summary
	t.Logf("%+v %v", summary, result.seen)
	return result
}

// checkRules fails the test if a rule was broken, a gateway crashed, an attempt was unknown, or the observations are
// out of order or incomplete.
func (o *runResult) checkRules(t *testing.T) {
	t.Helper()
	if report := o.checker.Finish(o.last); !report.Passed() {
		t.Errorf("rules were violated: %+v", report)
	}
	if o.summary.GatewayCrashes != 0 || o.summary.UnknownRequests != 0 || o.outOfOrder != 0 {
		t.Errorf("want no crash, no unknown request and 0 observations out of order: %+v, %d", o.summary, o.outOfOrder)
	}
	finished := o.count("RequestAnswered") + o.count("ClientDisconnected")
	submitted := o.count("RequestSubmitted")
	if submitted == 0 || submitted != finished || int64(submitted) != o.summary.Requests {
		t.Errorf("%d requests submitted, %d with an outcome: %+v %v", submitted, finished, o.summary, o.seen)
	}
}
