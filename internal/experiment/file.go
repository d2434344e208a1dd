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

// FileError is one error in an experiment or scenario file.
type FileError struct {
	Path   string
	Line   int    // 1 is the first line; 0 if the error has no line
	Key    string // full key, such as "scenario.classes[1].share"; "" if the error has none
	Reason string
}

// Error implements error. The text has the form "path:line: key: reason", as in the messages of compilers.
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

// Load reads and validates an experiment file. Unknown keys are errors. If the file itself can be read, the returned
// error joins a *FileError for each error in it.
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
		if experiment, base, err = document.decodeOverBase(experiment.ScenarioFile); err != nil {
			return nil, err
		}
	}
	if experiment.Scenario.Name == "" {
		experiment.Scenario.Name = experiment.Name
	}
	if keyErrs := experiment.validate(); len(keyErrs) > 0 {
		return nil, locateErrors(keyErrs, document, base)
	}
	return experiment, nil
}

// tomlDocument holds the text of a TOML file and the lines of its keys.
type tomlDocument struct {
	path  string
	text  []byte
	lines keyLines
}

func readDocument(path string) (*tomlDocument, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err // the error of os.ReadFile contains the path
	}
	return &tomlDocument{path: path, text: text, lines: findKeyLines(text)}, nil
}

// decodeOverBase decodes the document again, on top of the scenario of another file. Arrays of the document replace
// those of the other file.
func (d *tomlDocument) decodeOverBase(file string) (*Experiment, *tomlDocument, error) {
	path := file
	if !filepath.IsAbs(file) {
		path = filepath.Join(filepath.Dir(d.path), file)
	}
	base, err := readDocument(path)
	if err != nil {
		return nil, nil, &FileError{Path: d.path, Line: d.lines.lineOf("scenario_file"), Key: "scenario_file",
			Reason: err.Error()}
	}
	var scenario emulator.Scenario
	if err := base.decode(&scenario); err != nil {
		return nil, nil, err
	}
	d.clearReplacedArrays(&scenario)
	experiment := &Experiment{Scenario: scenario}
	if err := d.decode(experiment); err != nil {
		return nil, nil, err
	}
	return experiment, base, nil
}

// clearReplacedArrays removes those arrays of a base scenario that the document also sets. Otherwise decoding would
// keep fields of the base's elements.
func (d *tomlDocument) clearReplacedArrays(scenario *emulator.Scenario) {
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

// decode decodes the document and rejects unknown keys. Errors are of type *FileError, joined if there are several.
func (d *tomlDocument) decode(target any) error {
	err := toml.NewDecoder(bytes.NewReader(d.text)).DisallowUnknownFields().Decode(target)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		errs := make([]error, len(unknown.Errors))
		for i := range unknown.Errors {
			keyErr := &unknown.Errors[i]
			line, _ := keyErr.Position()
			errs[i] = &FileError{Path: d.path, Line: line, Key: strings.Join(keyErr.Key(), "."), Reason: "unknown key"}
		}
		return errors.Join(errs...)
	case errors.As(err, &malformed):
		line, _ := malformed.Position()
		return &FileError{Path: d.path, Line: line, Key: d.lines.keyAt(line),
			Reason: strings.TrimPrefix(malformed.Error(), "toml: ")}
	default:
		return &FileError{Path: d.path, Reason: strings.TrimPrefix(err.Error(), "toml: ")}
	}
}

// locateErrors adds the file and the line to each error. A scenario key that the experiment file does not contain is
// looked up in the base file.
func locateErrors(keyErrs []keyError, document, base *tomlDocument) error {
	errs := make([]error, len(keyErrs))
	for i, keyErr := range keyErrs {
		source, key := document, keyErr.key
		_, inDocument := document.lines[key]
		baseKey, inScenario := strings.CutPrefix(key, scenarioPrefix)
		if !inDocument && inScenario && base.lines.lineOf(baseKey) > 0 {
			source, key = base, baseKey
		}
		errs[i] = &FileError{Path: source.path, Line: source.lines.lineOf(key), Key: key, Reason: keyErr.reason}
	}
	return errors.Join(errs...)
}
