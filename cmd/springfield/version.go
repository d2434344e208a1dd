package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"runtime/debug"
)

const (
	versionDigits = 12       // number of hexadecimal digits of a version
	develPrefix   = "devel-" // marks a version that is a digest of the executable
)

type versionCommand struct{}

// Run prints the version of this program and the Go version that built it.
func (*versionCommand) Run(env *environment) error {
	version, err := programVersion()
	if err != nil {
		return err
	}
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	_, err = fmt.Fprintf(env.stdout, "%s %s, built with %s\n", programName, version, goVersion)
	return err
}

// programVersion returns the version under which the results of this program are kept: the revision that it was built
// from, or a digest of the executable if the revision is unknown or the working tree was modified.
func programVersion() (string, error) {
	if info, ok := debug.ReadBuildInfo(); ok {
		if revision := cleanRevision(info.Settings); revision != "" {
			return revision[:min(len(revision), versionDigits)], nil
		}
	}
	digest, err := executableDigest()
	if err != nil {
		return "", fmt.Errorf("determine the version: %w", err)
	}
	return develPrefix + digest[:versionDigits], nil
}

// cleanRevision returns the revision in the build settings, or "" if it is missing or the working tree was modified.
func cleanRevision(settings []debug.BuildSetting) string {
	var revision string
	for _, setting := range settings {
		switch setting.Key {
		case "vcs.revision":
			revision = setting.Value
		case "vcs.modified":
			if setting.Value != "false" {
				return ""
			}
		}
	}
	return revision
}

// executableDigest returns the SHA-256 digest of this program's file, in hexadecimal.
func executableDigest() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", err
	}
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }() // the file was only read, so an error loses nothing
	hash := sha256.New()
	if _, err := io.Copy(hash, file); err != nil {
		return "", err
	}
	return hex.EncodeToString(hash.Sum(nil)), nil
}
