package branchcoverage

import (
	"bytes"
	"context"
	"debug/buildinfo"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"springfield/internal/faultinjection"
)

// Module is the path of the module whose blocks are counted.
const Module = "springfield"

// BuildCommand builds a gateway program with coverage. A program whose main package is not covered writes no counters.
const BuildCommand = "go build -cover -covermode=atomic " +
	"-coverpkg=springfield/cmd/gateway,springfield/policy,springfield/internal/... " +
	"-tags faultinjection -o gateway-coverage ./cmd/gateway"

// CheckProgram returns an error unless a program was built with coverage.
func CheckProgram(path string) error {
	info, err := buildinfo.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read how %s was built: %w", path, err)
	}
	for _, setting := range info.Settings {
		if setting.Key == "-cover" && setting.Value == "true" {
			return nil
		}
	}
	return fmt.Errorf("%s was built without coverage; build it with: %s", path, BuildCommand)
}

// ReadCounters returns the counts of all processes that wrote their counters to a directory. A process that was killed
// counts with its latest snapshot. ReadCounters renames and removes files of the directory.
func ReadCounters(ctx context.Context, directory string) (Profile, error) {
	if err := useSnapshots(directory); err != nil {
		return nil, fmt.Errorf("coverage counters: %w", err)
	}
	profilePath := filepath.Join(directory, "profile.txt")
	command := exec.CommandContext(ctx, "go", "tool", "covdata", "textfmt", "-i="+directory, "-o="+profilePath)
	if output, err := command.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("go tool covdata: %w: %s", err, bytes.TrimSpace(output))
	}
	text, err := os.ReadFile(profilePath)
	if err != nil {
		return nil, fmt.Errorf("coverage counters: %w", err)
	}
	profile, err := ParseProfile(bytes.NewReader(text), Module)
	if err == nil && len(profile) == 0 {
		err = fmt.Errorf("%s holds no coverage counters", directory)
	}
	return profile, err
}

const counterFilePrefix = "covcounters."

// useSnapshots removes the incomplete counter files of a directory. Then it turns the snapshots of the processes that
// have no counter file into counter files.
func useSnapshots(directory string) error {
	counterFiles, err := filepath.Glob(filepath.Join(directory, counterFilePrefix+"*"))
	if err != nil {
		return err
	}
	finished := map[string]bool{} // "hash.pid" of the processes with a complete counter file
	for _, path := range counterFiles {
		complete, err := hasFooter(path)
		if err != nil {
			return err
		}
		if !complete {
			if err := os.Remove(path); err != nil {
				return err
			}
			continue
		}
		process := strings.TrimPrefix(filepath.Base(path), counterFilePrefix)
		finished[strings.TrimSuffix(process, filepath.Ext(process))] = true
	}
	return renameSnapshots(directory, finished)
}

func renameSnapshots(directory string, finished map[string]bool) error {
	snapshots, err := filepath.Glob(filepath.Join(directory, faultinjection.CoverageSnapshotPrefix+"*.*"))
	if err != nil {
		return err
	}
	for _, path := range snapshots {
		process := strings.TrimPrefix(filepath.Base(path), faultinjection.CoverageSnapshotPrefix)
		if finished[process] || filepath.Ext(process) == faultinjection.TemporarySnapshotSuffix {
			continue
		}
		const noTime = ".0" // counter files end with the time of their creation
		if err := os.Rename(path, filepath.Join(directory, counterFilePrefix+process+noTime)); err != nil {
			return err
		}
	}
	return nil
}

// The footer of a counter file begins with a magic number.
const (
	footerSize  = 16
	footerMagic = "\x00cwm"
)

// hasFooter reports whether a counter file is complete. The file of a process that was killed at its end may not be.
func hasFooter(path string) (bool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	if len(text) < 2*footerSize { // the header takes as much
		return false, nil
	}
	return bytes.HasPrefix(text[len(text)-footerSize:], []byte(footerMagic)), nil
}

// NewCounterDirectory creates a directory for the counters of one run in the directory of its files.
func NewCounterDirectory(runDirectory string) (string, error) {
	const ownerOnly fs.FileMode = 0o700
	directory := filepath.Join(runDirectory, "coverage")
	return directory, os.Mkdir(directory, ownerOnly)
}
