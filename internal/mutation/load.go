package mutation

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// FileError is one error in a mutant file.
type FileError struct {
	Path   string
	Line   int    // line of the error or of the mutant's table, from 1; 0 if unknown
	Mutant string // name of the mutant; "" if the error concerns none or the name is missing
	Reason string
}

// Error implements error.
func (e *FileError) Error() string {
	var text strings.Builder
	text.WriteString(e.Path)
	if e.Line > 0 {
		fmt.Fprintf(&text, ":%d", e.Line)
	}
	if e.Mutant != "" {
		fmt.Fprintf(&text, ": mutant %s", e.Mutant)
	}
	return text.String() + ": " + e.Reason
}

// LoadDirectory reads and validates all mutant files (*.toml) of a directory, in the order of their names. Its error
// joins a *FileError for each error in the files.
func LoadDirectory(directory string) ([]Mutant, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.toml"))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, &FileError{Path: directory, Reason: "no mutant files (*.toml)"}
	}
	var mutants []Mutant
	var errs []error
	definedIn := map[string]string{} // path of the file of each name
	for _, path := range paths {
		file, err := loadFile(path)
		errs = append(errs, err)
		for i := range file.Mutants {
			name := file.Mutants[i].Name
			if first, ok := definedIn[name]; ok && name != "" {
				errs = append(errs, file.errorAt(i, "name: already used in "+first))
			}
			definedIn[name] = path
		}
		mutants = append(mutants, file.Mutants...)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return mutants, nil
}

// mutantFile is the content of a mutant file.
type mutantFile struct {
	Mutants []Mutant `toml:"mutant"`
	path    string
	lines   []int // line of the table of each mutant
}

// loadFile reads a mutant file. If it returns an error, the file contains the mutants that could be decoded.
func loadFile(path string) (*mutantFile, error) {
	file := &mutantFile{path: path}
	text, err := os.ReadFile(path)
	if err != nil {
		return file, err // the error of os.ReadFile contains the path
	}
	file.lines = tableLines(text)
	errs := file.decode(text)
	for i := range file.Mutants {
		for _, problem := range file.Mutants[i].problems() {
			errs = append(errs, file.errorAt(i, problem))
		}
	}
	if len(errs) == 0 && len(file.Mutants) == 0 {
		errs = append(errs, &FileError{Path: path, Reason: "no mutants"})
	}
	return file, errors.Join(errs...)
}

// decode decodes the text of the file and returns the errors in it. Unknown keys are errors, but do not prevent other
// keys from being decoded. After any other error the file has no mutants.
func (f *mutantFile) decode(text []byte) []error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(f)
	var unknown *toml.StrictMissingError
	var malformed *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		var errs []error
		for i := range unknown.Errors {
			keyErr := &unknown.Errors[i]
			line, _ := keyErr.Position()
			errs = append(errs, f.errorAtLine(line, strings.Join(keyErr.Key(), ".")+": unknown key"))
		}
		return errs
	case errors.As(err, &malformed):
		f.Mutants = nil
		line, _ := malformed.Position()
		return []error{f.errorAtLine(line, strings.TrimPrefix(malformed.Error(), "toml: "))}
	default:
		f.Mutants = nil
		return []error{&FileError{Path: f.path, Reason: strings.TrimPrefix(err.Error(), "toml: ")}}
	}
}

// errorAt returns an error in the mutant with the given index.
func (f *mutantFile) errorAt(index int, reason string) error {
	err := &FileError{Path: f.path, Mutant: f.Mutants[index].Name, Reason: reason}
	if index < len(f.lines) {
		err.Line = f.lines[index]
	}
	return err
}

// errorAtLine returns an error at a line, with the name of the mutant whose table contains the line.
func (f *mutantFile) errorAtLine(line int, reason string) error {
	err := &FileError{Path: f.path, Line: line, Reason: reason}
	for index, tableLine := range f.lines {
		if tableLine <= line && index < len(f.Mutants) {
			err.Mutant = f.Mutants[index].Name
		}
	}
	return err
}

// tableLines returns the lines of the elements of the array of mutants, up to the first syntax error.
func tableLines(text []byte) []int {
	var lines []int
	var parser unstable.Parser
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		if expression.Kind != unstable.ArrayTable {
			continue
		}
		key := expression.Key()
		key.Next()
		lines = append(lines, parser.Shape(key.Node().Raw).Start.Line)
	}
	return lines
}
