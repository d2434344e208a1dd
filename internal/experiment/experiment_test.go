package experiment

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"springfield/internal/emulator/model"
)

// experimentsDirectory is the directory of the repository's experiment files.
const experimentsDirectory = "../../experiments"

// writeFiles writes an experiment file and a base scenario, and returns the path of the experiment file.
func writeFiles(t *testing.T, experiment, base string) string {
	t.Helper()
	directory := t.TempDir()
	path := filepath.Join(directory, "experiment.toml")
	for name, text := range map[string]string{path: experiment, filepath.Join(directory, "base.toml"): base} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

// baseScenario returns the text of one of the deployments that the experiments of the repository use.
func baseScenario(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(experimentsDirectory, "deployments", "small.toml"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// absoluteBasePath returns the absolute path of the file that baseScenario reads.
func absoluteBasePath(t *testing.T) string {
	t.Helper()
	path, err := filepath.Abs(filepath.Join(experimentsDirectory, "deployments", "small.toml"))
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// validHeader is the beginning of a valid experiment file.
const validHeader = `name = "trial"
form = "virtual"
deciders = ["springfield"]
seeds = [1, 2]
scenario_file = "base.toml"
`

// Guards against experiment files of the repository that cannot be loaded or whose runs have an invalid scenario.
func TestRepositoryExperimentsAreValid(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(experimentsDirectory, "*.toml"))
	if err != nil || len(paths) < 8 {
		t.Fatalf("found %d experiments, error %v, want at least 8", len(paths), err)
	}
	for _, path := range paths {
		experiment, err := Load(path)
		if err != nil {
			t.Errorf("Load: %v", err)
			continue
		}
		if want := strings.TrimSuffix(filepath.Base(path), ".toml"); experiment.Name != want {
			t.Errorf("%s is named %q", path, experiment.Name)
		}
		if experiment.Description == "" {
			t.Errorf("%s has no description", path)
		}
		for _, run := range experiment.Runs() {
			if err := model.Validate(&run.Scenario); err != nil {
				t.Errorf("%s, size %g: %v", path, run.Size, err)
			}
		}
	}
}

// Guards against errors in an experiment file that are not detected, or are reported at the wrong line or key.
func TestLoadReportsLineAndKeyOfErrors(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []FileError // in order; Path is the base name, and Reason a part of the reason
	}{
		{"unknown key", validHeader + "[scenario.clients]\nlaod = 0.5\n",
			[]FileError{{"experiment.toml", 7, "scenario.clients.laod", "unknown key"}}},
		{"two unknown keys", "colour = 1\n" + validHeader + "[speed]\nx = 1\n",
			[]FileError{{"experiment.toml", 1, "colour", "unknown key"}, {"experiment.toml", 7, "speed", "unknown key"}}},
		{"wrong type", validHeader + "[scenario]\ngateways = \"many\"\n",
			[]FileError{{"experiment.toml", 7, "scenario.gateways", "string"}}},
		{"bad duration", validHeader + "[scenario]\nlength = \"20\"\n",
			[]FileError{{"experiment.toml", 7, "scenario.length", "want a number with a unit"}}},
		{"invalid TOML", validHeader + "[scenario\n", []FileError{{"experiment.toml", 6, "", ""}}},
		{"bad form and seeds", "name = \"trial\"\nform = \"real\"\ndeciders = [\"springfield\"]\nseeds = [1, 1]\n" +
			"scenario_file = \"base.toml\"\n",
			[]FileError{{"experiment.toml", 2, "form", "real"}, {"experiment.toml", 4, "seeds[1]", "twice"}}},
		{"unknown decider", strings.Replace(validHeader, "springfield", "unknown-decider", 1),
			[]FileError{{"experiment.toml", 3, "deciders[0]", "unknown-decider"}}},
		{"baseline over sockets", "form = \"loopback\"\n" + strings.Replace(strings.Replace(validHeader,
			"form = \"virtual\"\n", "", 1), "springfield", "even-split", 1),
			[]FileError{{"experiment.toml", 3, "deciders[0]", "even-split"}}},
		{"scenario value", validHeader + "[scenario.clients]\nload = -1.0\n",
			[]FileError{{"experiment.toml", 7, "scenario.clients.load", "-1"}}},
		{"fault kind", validHeader + "[[scenario.faults]]\nkind = \"discovery_down\"\nlength = \"1s\"\n" +
			"[[scenario.faults]]\nkind = \"flood\"\n",
			[]FileError{{"experiment.toml", 10, "scenario.faults[1].kind", "flood"}}},
		{"sweep key", validHeader + "[sweep]\nkey = \"colour\"\nvalues = [1]\n",
			[]FileError{{"experiment.toml", 7, "sweep.key", "colour"}}},
		{"sweep values", validHeader + "[sweep]\nkey = \"gateways\"\nvalues = [1.5, 10, 10]\n",
			[]FileError{{"experiment.toml", 8, "sweep.values[0]", "1.5"}, {"experiment.toml", 8, "sweep.values[2]", "twice"}}},
		{"no base file", strings.Replace(validHeader, "base.toml", "none.toml", 1),
			[]FileError{{"experiment.toml", 5, "scenario_file", "none.toml"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Load(writeFiles(t, c.text, baseScenario(t)))
			checkFileErrors(t, err, c.want)
		})
	}
}

// Guards against an error in the base file that is reported at a line of the experiment file.
func TestLoadReportsErrorsOfBaseFile(t *testing.T) {
	before, after, found := strings.Cut(baseScenario(t), "load = 0.6")
	if !found {
		t.Fatal("the base scenario does not contain load = 0.6")
	}
	base := before + "load = 0.0" + after
	line := strings.Count(before, "\n") + 1
	_, err := Load(writeFiles(t, validHeader, base))
	checkFileErrors(t, err, []FileError{{"base.toml", line, "clients.load", "0"}})
}

func checkFileErrors(t *testing.T, err error, want []FileError) {
	t.Helper()
	errs := splitJoinedErrors(err)
	if len(errs) != len(want) {
		t.Fatalf("%d errors, want %d: %v", len(errs), len(want), err)
	}
	for i, fileErr := range errs {
		var got *FileError
		if !errors.As(fileErr, &got) {
			t.Fatalf("%v is not a FileError", fileErr)
		}
		if filepath.Base(got.Path) != want[i].Path || got.Line != want[i].Line || got.Key != want[i].Key ||
			!strings.Contains(got.Reason, want[i].Reason) {
			t.Errorf("error %d is %+v, want %+v", i, *got, want[i])
		}
		if text := got.Error(); !strings.Contains(text, got.Path) || !strings.Contains(text, got.Key) {
			t.Errorf("the message %q lacks the path or the key", text)
		}
	}
}

// Guards against keys of the base scenario that override those of the experiment file, and against arrays that contain
// elements of both files.
func TestExperimentOverridesBaseScenario(t *testing.T) {
	text := validHeader + `[scenario.clients]
load = 0.25
[[scenario.plans]]
name = "only"
share = 1.0
rate = 5.0
burst = 10.0
price = 1.0
`
	experiment, err := Load(writeFiles(t, text, baseScenario(t)))
	if err != nil {
		t.Fatal(err)
	}
	scenario := experiment.Scenario
	if scenario.Clients.Load != 0.25 || scenario.Clients.Retries != 2 {
		t.Errorf("clients are %+v, want load 0.25 and 2 retries", scenario.Clients)
	}
	if len(scenario.Plans) != 1 || scenario.Plans[0].Name != "only" || scenario.Plans[0].OverQuotaValue != 0 {
		t.Errorf("plans are %+v, want those of the experiment alone", scenario.Plans)
	}
	if len(scenario.Classes) != 3 {
		t.Errorf("%d classes, want the three of the base", len(scenario.Classes))
	}
	if again, err := Load(writeFiles(t, strings.Replace(text, "base.toml", absoluteBasePath(t), 1), "")); err != nil {
		t.Errorf("with an absolute path: %v", err)
	} else if !reflect.DeepEqual(again.Scenario, scenario) {
		t.Error("with an absolute path the scenario differs")
	}
	if scenario.Name != "trial" {
		t.Errorf("the scenario is named %q, want the experiment's name", scenario.Name)
	}
}

// Guards against a sweep that changes the ratio of endpoints to gateways, or the scenario of the experiment itself.
func TestSweepScalesEndpointsWithGateways(t *testing.T) {
	text := validHeader + "[sweep]\nkey = \"gateways\"\nvalues = [6, 48]\n"
	experiment, err := Load(writeFiles(t, text, baseScenario(t)))
	if err != nil {
		t.Fatal(err)
	}
	runs := experiment.Runs()
	if len(runs) != 4 {
		t.Fatalf("%d runs, want 2 sizes x 2 seeds", len(runs))
	}
	for i, want := range []struct {
		gateways, endpoints int
		seed                uint64
	}{{6, 4, 1}, {6, 4, 2}, {48, 32, 1}, {48, 32, 2}} {
		run := runs[i]
		if run.Scenario.Gateways != want.gateways || run.Scenario.Endpoints.Count != want.endpoints ||
			run.Seed != want.seed || run.Size != float64(want.gateways) {
			t.Errorf("run %d has %d gateways, %d endpoints, seed %d, size %g, want %+v", i, run.Scenario.Gateways,
				run.Scenario.Endpoints.Count, run.Seed, run.Size, want)
		}
	}
	if experiment.Scenario.Gateways != 24 {
		t.Error("the sweep has changed the experiment's own scenario")
	}
}
