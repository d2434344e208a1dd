package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"springfield/internal/emulator"
)

// FileError is one fault of an experiment or scenario file.
type FileError struct {
	Path   string
	Line   int    // from 1; 0 if the fault has no line
	Key    string // in full, such as "scenario.classes[1].share"; "" if the fault has none
	Reason string
}

// Error implements error: the place as compilers write it, then the key and the reason.
func (e *FileError) Error() string {
	var text strings.Builder
	text.WriteString(e.Path)
	if e.Line > 0 {
		fmt.Fprintf(&text, ":%d", e.Line)
	}
	if e.Key != "" {
		fmt.Fprintf(&text, ": %s", e.Key)
	}
	return text.String() + ": " + e.Reason
}

// Load reads an experiment file. Keys that it does not know are errors. If the file itself can be read, the error joins
// a *FileError for each fault.
func Load(path string) (*Experiment, error) {
	document, err := readDocument(path)
	if err != nil {
		return nil, err
	}
	experiment := new(Experiment)
	if err := document.decode(experiment); err != nil {
		return nil, err
	}
	base := &tomlDocument{}
	if experiment.ScenarioFile != "" {
		if experiment, base, err = document.overBase(experiment.ScenarioFile); err != nil {
			return nil, err
		}
	}
	if experiment.Scenario.Name == "" {
		experiment.Scenario.Name = experiment.Name
	}
	if faults := experiment.validate(); len(faults) > 0 {
		return nil, locate(faults, document, base)
	}
	return experiment, nil
}

// tomlDocument is a file that has been read.
type tomlDocument struct {
	path  string
	text  []byte
	lines keyLines
}

func readDocument(path string) (*tomlDocument, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err // names the path
	}
	return &tomlDocument{path: path, text: text, lines: findKeyLines(text)}, nil
}

// overBase decodes the document once more, over the scenario of another file. Arrays of the document replace those of
// the other file.
func (d *tomlDocument) overBase(file string) (*Experiment, *tomlDocument, error) {
	path := file
	if !filepath.IsAbs(file) {
		path = filepath.Join(filepath.Dir(d.path), file)
	}
	base, err := readDocument(path)
	if err != nil {
		return nil, nil, &FileError{Path: d.path, Line: d.lines.of("scenario_file"), Key: "scenario_file",
			Reason: err.Error()}
	}
	var scenario emulator.Scenario
	if err := base.decode(&scenario); err != nil {
		return nil, nil, err
	}
	d.clearReplaced(&scenario)
	experiment := &Experiment{Scenario: scenario}
	if err := d.decode(experiment); err != nil {
		return nil, nil, err
	}
	return experiment, base, nil
}

// clearReplaced drops the arrays that the document has too, so that no field of their elements lives on.
func (d *tomlDocument) clearReplaced(scenario *emulator.Scenario) {
	if _, ok := d.lines["scenario.classes"]; ok {
		scenario.Classes = nil
	}
	if _, ok := d.lines["scenario.plans"]; ok {
		scenario.Plans = nil
	}
	if _, ok := d.lines["scenario.faults"]; ok {
		scenario.Faults = nil
	}
}

// decode decodes the document strictly. Its errors are *FileError, joined if there are several.
func (d *tomlDocument) decode(target any) error {
	err := toml.NewDecoder(bytes.NewReader(d.text)).DisallowUnknownFields().Decode(target)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		faults := make([]error, len(unknown.Errors))
		for i := range unknown.Errors {
			fault := &unknown.Errors[i]
			line, _ := fault.Position()
			faults[i] = &FileError{Path: d.path, Line: line, Key: strings.Join(fault.Key(), "."), Reason: "unknown key"}
		}
		return errors.Join(faults...)
	case errors.As(err, &malformed):
		line, _ := malformed.Position()
		return &FileError{Path: d.path, Line: line, Key: d.lines.at(line),
			Reason: strings.TrimPrefix(malformed.Error(), "toml: ")}
	default:
		return &FileError{Path: d.path, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
	}
}

// locate gives each fault its file and line. A key of the scenario that the experiment file does not have is looked up
// in the base.
func locate(faults []keyFault, document, base *tomlDocument) error {
	located := make([]error, len(faults))
	for i, fault := range faults {
		place, key := document, fault.key
		_, own := document.lines[key]
		inner, inScenario := strings.CutPrefix(key, scenarioKey)
		if !own && inScenario && base.lines.of(inner) > 0 {
			place, key = base, inner
		}
		located[i] = &FileError{Path: place.path, Line: place.lines.of(key), Key: key, Reason: fault.reason}
	}
	return errors.Join(located...)
}
