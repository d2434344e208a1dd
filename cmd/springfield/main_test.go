package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// programVariable is the environment variable that makes the test binary run as the program.
const programVariable = "TEST_SPRINGFIELD"

// TestMain runs the program instead of the tests if a test has started this binary as the program or as a gateway.
func TestMain(m *testing.M) {
	asGateway := len(os.Args) > 1 && os.Args[1] == gatewayProcessName
	if asGateway || os.Getenv(programVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// output holds the exit status and the output of a command line.
type output struct {
	status         int
	stdout, stderr string
}

// execute runs a command line in this process.
func execute(arguments ...string) output {
	var stdout, stderr bytes.Buffer
	status := run(arguments, &stdout, &stderr)
	return output{status: status, stdout: stdout.String(), stderr: stderr.String()}
}

// expect executes a command line and checks its exit status. Bad input must be reported on one line of standard error,
// and a success must leave standard error empty.
func expect(t *testing.T, status int, arguments ...string) output {
	t.Helper()
	got := execute(arguments...)
	if got.status != status {
		t.Fatalf("%v: status %d, want %d\n%s%s", arguments, got.status, status, got.stdout, got.stderr)
	}
	if status == statusBadInput && !isErrorLine(got.stderr) {
		t.Errorf("%v: standard error is %q, want one line", arguments, got.stderr)
	}
	if status == statusSuccess && got.stderr != "" {
		t.Errorf("%v: standard error is %q, want nothing without a terminal", arguments, got.stderr)
	}
	return got
}

// isErrorLine reports whether text is a single line that starts with the program's name.
func isErrorLine(text string) bool {
	return strings.HasPrefix(text, programName+": ") && strings.Count(text, "\n") == 1 && strings.HasSuffix(text, "\n")
}

// wantText fails the test for each wanted part that text does not contain.
func wantText(t *testing.T, text string, wanted ...string) {
	t.Helper()
	for _, part := range wanted {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in:\n%s", part, text)
		}
	}
}

// writeTestFile writes a file to a temporary directory and returns its path.
func writeTestFile(t *testing.T, name, text string) string {
	t.Helper()
	return writeTestFileIn(t, t.TempDir(), name, text)
}

// writeTestFileIn writes a file to a directory and returns its path.
func writeTestFileIn(t *testing.T, directory, name, text string) string {
	t.Helper()
	path := filepath.Join(directory, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestHelpHasExamplesAndHidesTheGatewayProcess guards against commands whose help lacks examples, and against help that
// offers the internal gateway command.
func TestHelpHasExamplesAndHidesTheGatewayProcess(t *testing.T) {
	got := expect(t, statusSuccess, "--help")
	wantText(t, got.stdout, "Examples:", "springfield demo", "Exit status")
	if strings.Contains(got.stdout, gatewayProcessName) {
		t.Errorf("the help shows %s", gatewayProcessName)
	}
	if withoutArguments := expect(t, statusSuccess); withoutArguments.stdout != got.stdout {
		t.Errorf("without arguments the program does not print its help:\n%s", withoutArguments.stdout)
	}
	for _, command := range []string{"demo", "experiment run", "experiment compare", "experiment list", "report",
		"soak", "mutants check", "mutants run", "emulate", "config check", "completion"} {
		help := expect(t, statusSuccess, append(strings.Fields(command), "--help")...)
		wantText(t, help.stdout, "Example", "springfield "+command)
	}
}

// TestVersionPrintsRevisionOrDigest guards against a version that does not identify the code under which results are
// stored.
func TestVersionPrintsRevisionOrDigest(t *testing.T) {
	got := expect(t, statusSuccess, "version")
	if !regexp.MustCompile(`^springfield (devel-)?[0-9a-f]{12}, built with go`).MatchString(got.stdout) {
		t.Errorf("the version command prints %q, want a revision or a digest", got.stdout)
	}
}

// TestBadInputIsReportedOnOneLine guards against input errors that have the wrong exit status, lack their reason or
// take more than one line.
func TestBadInputIsReportedOnOneLine(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	broken := writeTestFile(t, "broken.toml", "name = \"x\"\nform = \"flat\"\ncolour = \"red\"\n")
	notJSON := writeTestFile(t, "text", "no JSON")
	for _, test := range []struct{ arguments, reason string }{
		{"nonsense", "nonsense"},
		{"demo --nonsense", "unknown flag --nonsense (see springfield demo --help)"},
		{"demo --seed x", "--seed"},
		{"demo --length 1h", "--length is 1h0m0s, want 1s to 20s"},
		{"demo --gateway " + missing, missing},
		{"demo --gateway " + notJSON, "is not an executable file"},
		{"config check", "<file>"},
		{"config check " + missing, missing},
		{"completion tcsh", "tcsh"},
		{"mutants run", "--results"},
		{"mutants run --results x --seeds 4-1", "4-1"},
		{"mutants run --results x --parallel 0", "--parallel 0"},
		{"mutants run --results " + missing + "/x", missing},
		{"mutants run --results x --only no-such-mutant", "--only: there is no mutant no-such-mutant"},
		{"mutants check --mutants " + missing, "missing: no mutant files"},
		{"emulate " + missing, missing},
		{"emulate " + broken, "broken.toml:3: colour: unknown key"},
		{"experiment run " + broken, "broken.toml:3: colour: unknown key"},
		{"experiment run " + broken + " --workers=-1", "--workers is -1"},
		{"experiment list --store " + missing, missing},
		{"experiment list --store " + notJSON, "text"},
		{"experiment compare calm --before a --after b --store " + missing, missing},
		{"experiment compare calm --before a", "--after"},
		{"report", "neither a file"},
		{"report " + notJSON + " --store " + notJSON, "both"},
		{"report " + notJSON, "record 1"},
		{"report " + notJSON + " --format gif", "gif"},
		{gatewayProcessName, "RELAY_CONFIG"},
	} {
		t.Run(test.arguments, func(t *testing.T) {
			wantText(t, expect(t, statusBadInput, strings.Fields(test.arguments)...).stderr, test.reason)
		})
	}
}

// TestConfigCheckReportsProblemsAndUsability guards against problems with a wrong line, severity or path, and against
// an exit status of success for a file that a gateway cannot use.
func TestConfigCheckReportsProblemsAndUsability(t *testing.T) {
	const settings = `"settings": {"Balancers": 1,
"Classes": [{"Name": "search", "AimMs": 400, "HardLimitMs": 1000, "Repeat": "idempotent", "Value": 1}],
"Contracts": [{"Name": "team", "UnitsPerS": 10, "Burst": 20, "Pays": 1}]}}`
	usable := writeTestFile(t, "usable.json", `{"name": "g", "listen": "127.0.0.1:1", "seed": "1", "x": 1,
"discovery": "127.0.0.1:2", `+settings)
	got := expect(t, statusSuccess, "config", "check", usable)
	wantText(t, got.stdout, usable+":1: warning: $.x: unknown key", "can be used: 1 warning")

	unusable := writeTestFile(t, "unusable.json", `{"name": "g", "listen": "127.0.0.1:1", "seed": "x",
"discovery": "127.0.0.1", `+settings)
	got = expect(t, statusBadInput, "config", "check", unusable)
	wantText(t, got.stdout, unusable+":1: error: $.seed: ", unusable+":2: error: $.discovery: ")
	wantText(t, got.stderr, unusable+" cannot be used: 2 errors, 0 warnings")
}
