package faultinjection

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/coverage"
	"strings"
	"time"
)

const (
	// CoverageVariable is the environment variable that names the directory of coverage counters.
	CoverageVariable = "GOCOVERDIR"

	// CoverageSnapshotPrefix begins the names of snapshots of coverage counters: the prefix, the hash of the meta-data
	// file, a dot and the process ID.
	CoverageSnapshotPrefix = "snapshot."

	// TemporarySnapshotSuffix ends the names of snapshots that are being written.
	TemporarySnapshotSuffix = ".new"

	coverageMetaPrefix       = "covmeta." // begins the names of meta-data files and is followed by their hash
	coverageSnapshotInterval = 500 * time.Millisecond
)

// StartCoverageSnapshots writes the coverage counters of this process periodically, because a process that is killed
// does not write them at its end. A snapshot replaces the one before it. StartCoverageSnapshots does nothing without a
// directory of coverage counters, and in builds without coverage.
func StartCoverageSnapshots() {
	directory := os.Getenv(CoverageVariable)
	if directory == "" || coverage.WriteCounters(&bytes.Buffer{}) != nil {
		return
	}
	go func() {
		for range time.Tick(coverageSnapshotInterval) {
			if err := writeCoverageSnapshot(directory); err != nil {
				slog.Warn("writing a snapshot of coverage counters failed", "err", err)
			}
		}
	}()
}

// writeCoverageSnapshot writes the current counters to a temporary file and then renames it, so that no snapshot is
// incomplete.
func writeCoverageSnapshot(directory string) error {
	metaFiles, err := filepath.Glob(filepath.Join(directory, coverageMetaPrefix+"*"))
	if err != nil {
		return err
	}
	if len(metaFiles) != 1 {
		return fmt.Errorf("%s holds %d meta-data files, want 1", directory, len(metaFiles))
	}
	var counters bytes.Buffer
	if err := coverage.WriteCounters(&counters); err != nil {
		return err
	}
	hash := strings.TrimPrefix(filepath.Base(metaFiles[0]), coverageMetaPrefix)
	path := filepath.Join(directory, fmt.Sprintf("%s%s.%d", CoverageSnapshotPrefix, hash, os.Getpid()))
	temporaryPath := path + TemporarySnapshotSuffix
	if err := os.WriteFile(temporaryPath, counters.Bytes(), 0o600); err != nil {
		return err
	}
	return os.Rename(temporaryPath, path)
}
