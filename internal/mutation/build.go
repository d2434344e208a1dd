package mutation

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

const (
	fileMode     = 0o600
	goModuleFile = "go.mod"
)

// FindRoot returns the root of the module that contains a directory: the nearest directory above it with a go.mod.
func FindRoot(directory string) (string, error) {
	start, err := filepath.Abs(directory)
	if err != nil {
		return "", err
	}
	for root := start; ; root = filepath.Dir(root) {
		_, err := os.Stat(filepath.Join(root, goModuleFile))
		if err == nil {
			return root, nil
		}
		if !errors.Is(err, fs.ErrNotExist) {
			return "", err
		}
		if root == filepath.Dir(root) {
			return "", fmt.Errorf("no directory above %s contains %s", start, goModuleFile)
		}
	}
}

// BuildError reports a mutant that does not compile.
type BuildError struct {
	Mutant string
	Output string // output of the go command
	Err    error
}

// Error implements error.
func (e *BuildError) Error() string {
	return fmt.Sprintf("mutant %s does not compile: %v: %s", e.Mutant, e.Err, strings.TrimSpace(e.Output))
}

// Unwrap returns the error of the go command.
func (e *BuildError) Unwrap() error { return e.Err }

// Build applies a mutant to the source tree at root and builds the program for the mutant's world into a directory,
// which must exist. It returns the path of the program: a gateway with fault injection for Sockets, and springfield for
// Virtual. The source tree is not changed.
func Build(ctx context.Context, root string, mutant *Mutant, directory string) (string, error) {
	arguments := []string{"build", "-buildvcs=false"}
	if !mutant.IsUnchanged() {
		overlay, err := writeOverlay(root, mutant, directory)
		if err != nil {
			return "", err
		}
		arguments = append(arguments, "-overlay", overlay)
	}
	program := filepath.Join(directory, "program")
	arguments = append(arguments, "-o", program)
	if mutant.World == Sockets {
		arguments = append(arguments, "-tags", "faultinjection", "./cmd/gateway")
	} else {
		arguments = append(arguments, "./cmd/springfield")
	}
	command := exec.CommandContext(ctx, "go", arguments...)
	command.Dir = root
	output, err := command.CombinedOutput()
	if ctx.Err() != nil {
		return "", ctx.Err()
	}
	if err != nil {
		return "", &BuildError{Mutant: mutant.Name, Output: string(output), Err: err}
	}
	return program, nil
}

// overlayFile is the content of a file for the -overlay flag of go build.
type overlayFile struct {
	Replace map[string]string // path of the file that is read instead of each source file
}

// writeOverlay writes the mutated source file and the overlay file to a directory. It returns the path of the overlay
// file.
func writeOverlay(root string, mutant *Mutant, directory string) (string, error) {
	mutated, err := mutant.Apply(root)
	if err != nil {
		return "", err
	}
	original, err := filepath.Abs(mutant.sourcePath(root))
	if err != nil {
		return "", err
	}
	replacement := filepath.Join(directory, "mutated.go")
	if err := os.WriteFile(replacement, mutated, fileMode); err != nil {
		return "", err
	}
	text, err := json.Marshal(overlayFile{Replace: map[string]string{original: replacement}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, "overlay.json")
	return path, os.WriteFile(path, text, fileMode)
}
